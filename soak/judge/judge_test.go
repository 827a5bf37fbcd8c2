package judge_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/judge"
)

// TestViolations guards against violations that go unreported and against reports of permitted behavior.
func TestViolations(t *testing.T) {
	now := time.Now()
	call := judge.Call{ID: "k", Daemon: "d1", AtMostOnce: true, Began: now, Ended: now.Add(time.Second)}
	callWith := func(modify func(*judge.Call)) judge.Call {
		c := call
		modify(&c)
		return c
	}
	for _, tt := range []struct {
		name   string
		record func(*judge.Checker)
		want   string // substring of the only violation; empty for none
	}{
		{"nothing", func(*judge.Checker) {}, ""},
		{"answered", func(checker *judge.Checker) {
			checker.RecordCall(callWith(func(c *judge.Call) { c.Outcome = judge.Answered }))
			checker.RecordRun("k", "u1", now)
		}, ""},
		{"unknown outcome and run", func(checker *judge.Checker) { checker.RecordCall(call); checker.RecordRun("k", "u1", now) }, ""},
		{"ran twice", func(checker *judge.Checker) {
			checker.RecordCall(call)
			checker.RecordRun("k", "u1", now)
			checker.RecordRun("k", "u2", now)
		}, "ran 2 times"},
		{"repeatable call ran twice", func(checker *judge.Checker) {
			checker.RecordCall(callWith(func(c *judge.Call) { c.AtMostOnce = false }))
			checker.RecordRun("k", "u1", now)
			checker.RecordRun("k", "u2", now)
		}, ""},
		{"refused but ran", func(checker *judge.Checker) {
			checker.RecordCall(callWith(func(c *judge.Call) { c.Outcome = judge.Refused }))
			checker.RecordRun("k", "u1", now)
		}, "refused as not run"},
		{"answered without a run", func(checker *judge.Checker) {
			checker.RecordCall(callWith(func(c *judge.Call) { c.Outcome = judge.Answered }))
		}, "did not run"},
		{"interrupted by a planned stop", func(checker *judge.Checker) {
			checker.RecordPlannedStop("d1")
			checker.RecordCall(callWith(func(c *judge.Call) { c.ConnectionLost, c.Ended = true, time.Now().Add(time.Second) }))
			checker.RecordRun("k", "u1", now)
		}, "interrupted by the planned stop"},
		{"interrupted during an unplanned fault", func(checker *judge.Checker) {
			checker.RecordPlannedStop("d1")
			checker.RecordFault("d2")
			checker.RecordCall(callWith(func(c *judge.Call) { c.ConnectionLost, c.Ended = true, time.Now().Add(time.Second) }))
			checker.RecordRun("k", "u1", now)
		}, ""},
		{"run after a leave", func(checker *judge.Checker) {
			checker.RecordLeave("u1", now.Add(-time.Minute))
			checker.RecordRun("k", "u1", now)
		}, "after its leave"},
		{"run after a rejoin", func(checker *judge.Checker) {
			checker.RecordLeave("u1", now.Add(-time.Minute))()
			checker.RecordRun("k", "u1", time.Now().Add(time.Second))
		}, ""},
		{"back", func(checker *judge.Checker) {
			checker.RecordVersion("d1", 4, time.Now())
			checker.RecordVersion("d1", 3, time.Now())
		}, "went back"},
		{"race", func(checker *judge.Checker) {
			checker.RecordChange(judge.Change{Mark: "a", Base: 0, Version: 1})
			checker.RecordChange(judge.Change{Mark: "m", Base: 0, Version: 3})
		}, "both accepted"},
		{"lost change", func(checker *judge.Checker) { checker.RecordChange(judge.Change{Mark: "n", Base: 2, Version: 4}) }, "is lost"},
		{"rejected change is current", func(checker *judge.Checker) { checker.RecordChange(judge.Change{Mark: "m", Base: 2}) }, "which no operator sent"},
		{"change with unknown outcome is current", func(checker *judge.Checker) {
			checker.RecordChange(judge.Change{Mark: "m", Base: 2, OutcomeUnknown: true})
		}, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			checker := judge.New()
			checker.RecordChange(judge.Change{Mark: "m", Base: 1, OutcomeUnknown: true})
			if strings.Contains(tt.name, "rejected change") {
				checker = judge.New()
			}
			tt.record(checker)
			violations := checker.Violations("m", 3)
			if tt.want == "" {
				is.Equal(len(violations), 0)
				return
			}
			is.Equal(len(violations), 1)
			is.True(strings.Contains(violations[0], tt.want))
		})
	}
}

// TestAnsweredRatio guards against a ratio that counts calls outside the given period.
func TestAnsweredRatio(t *testing.T) {
	is := is.New(t)
	checker := judge.New()
	now := time.Now()
	for i, fate := range []judge.Outcome{judge.Answered, judge.Unknown, judge.Answered, judge.Refused} {
		checker.RecordCall(judge.Call{Began: now.Add(time.Duration(i) * time.Second), Outcome: fate})
	}
	is.Equal(checker.AnsweredRatio(now.Add(time.Second), now.Add(2*time.Second)), 0.5)
	is.Equal(checker.AnsweredRatio(now.Add(time.Hour), now.Add(2*time.Hour)), 0.0)
}
