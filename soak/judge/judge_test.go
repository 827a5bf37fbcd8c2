package judge_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/soak/judge"
)

// TestVerdict guards against broken promises that are missed, and against blame for what is allowed.
func TestVerdict(t *testing.T) {
	now := time.Now()
	call := judge.Call{ID: "k", Daemon: "d1", Once: true, Began: now, Ended: now.Add(time.Second)}
	with := func(change func(*judge.Call)) judge.Call {
		c := call
		change(&c)
		return c
	}
	for _, tt := range []struct {
		name string
		see  func(*judge.Judge)
		want string // part of the only finding; empty for none
	}{
		{"nothing", func(*judge.Judge) {}, ""},
		{"answered", func(j *judge.Judge) {
			j.Call(with(func(c *judge.Call) { c.Fate = judge.Ran }))
			j.Run("k", "u1", now)
		}, ""},
		{"open and run", func(j *judge.Judge) { j.Call(call); j.Run("k", "u1", now) }, ""},
		{"ran twice", func(j *judge.Judge) { j.Call(call); j.Run("k", "u1", now); j.Run("k", "u2", now) }, "ran 2 times"},
		{"may repeat", func(j *judge.Judge) {
			j.Call(with(func(c *judge.Call) { c.Once = false }))
			j.Run("k", "u1", now)
			j.Run("k", "u2", now)
		}, ""},
		{"refused and ran", func(j *judge.Judge) {
			j.Call(with(func(c *judge.Call) { c.Fate = judge.Refused }))
			j.Run("k", "u1", now)
		}, "refused as not run"},
		{"answer of nobody", func(j *judge.Judge) { j.Call(with(func(c *judge.Call) { c.Fate = judge.Ran })) }, "did not run"},
		{"cut by a stop", func(j *judge.Judge) {
			j.Stopping("d1")
			j.Call(with(func(c *judge.Call) { c.Lost, c.Ended = true, time.Now().Add(time.Second) }))
			j.Run("k", "u1", now)
		}, "cut by the planned stop"},
		{"cut beside another fault", func(j *judge.Judge) {
			j.Stopping("d1")
			j.Fault("d2")
			j.Call(with(func(c *judge.Call) { c.Lost, c.Ended = true, time.Now().Add(time.Second) }))
			j.Run("k", "u1", now)
		}, ""},
		{"work after a leave", func(j *judge.Judge) { j.Left("u1", now.Add(-time.Minute)); j.Run("k", "u1", now) }, "after its leave"},
		{"work after a return", func(j *judge.Judge) {
			j.Left("u1", now.Add(-time.Minute))()
			j.Run("k", "u1", time.Now().Add(time.Second))
		}, ""},
		{"back", func(j *judge.Judge) { j.Held("d1", 4); j.Held("d1", 3) }, "went back"},
		{"race", func(j *judge.Judge) {
			j.Change(judge.Change{Mark: "a", Base: 0, Version: 1})
			j.Change(judge.Change{Mark: "m", Base: 0, Version: 3})
		}, "both accepted"},
		{"lost change", func(j *judge.Judge) { j.Change(judge.Change{Mark: "n", Base: 2, Version: 4}) }, "is lost"},
		{"refused change in place", func(j *judge.Judge) { j.Change(judge.Change{Mark: "m", Base: 2}) }, "which nobody sent"},
		{"open change in place", func(j *judge.Judge) { j.Change(judge.Change{Mark: "m", Base: 2, Open: true}) }, ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			j := judge.New()
			j.Change(judge.Change{Mark: "m", Base: 1, Open: true})
			if strings.Contains(tt.name, "refused change") {
				j = judge.New()
			}
			tt.see(j)
			found := j.Verdict("m", 3)
			if tt.want == "" {
				is.Equal(len(found), 0)
				return
			}
			is.Equal(len(found), 1)
			is.True(strings.Contains(found[0], tt.want))
		})
	}
}

// TestServed guards against a recovery that counts calls of another time.
func TestServed(t *testing.T) {
	is := is.New(t)
	j := judge.New()
	now := time.Now()
	for i, fate := range []judge.Fate{judge.Ran, judge.Open, judge.Ran, judge.Refused} {
		j.Call(judge.Call{Began: now.Add(time.Duration(i) * time.Second), Fate: fate})
	}
	is.Equal(j.Served(now.Add(time.Second), now.Add(2*time.Second)), 0.5)
	is.Equal(j.Served(now.Add(time.Hour), now.Add(2*time.Hour)), 0.0)
}
