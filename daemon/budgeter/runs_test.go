package budgeter_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/budgeter"
)

// daemon is a budgeter with a clock that the test moves.
type daemon struct {
	*budgeter.Budgeter
	is     *is.I
	now    time.Duration
	limits budgeter.Limits
}

func newDaemon(t *testing.T) *daemon {
	d := &daemon{is: is.New(t), now: time.Hour, limits: budgeter.Limits{Ratio: 0.2, Window: 10 * time.Second}}
	d.Budgeter = budgeter.New(
		budgeter.WithLimits(func() budgeter.Limits { return d.limits }),
		budgeter.WithClock(func() time.Duration { return d.now }),
	)
	return d
}

// begin starts a run of a call to the service "front", which takes at most a second.
func (d *daemon) begin(id string, kind budgeter.Kind) (end func(sent bool), err error) {
	return d.Begin(budgeter.Arrival{ID: id, Service: "front", Route: "r", Kind: kind, TimeLeft: time.Second})
}

// firstRuns plays first runs that make two calls each to the service "back", ten a second.
func (d *daemon) firstRuns(count int) {
	d.is.Helper()
	for i := range count {
		d.now += 100 * time.Millisecond
		id := fmt.Sprint("run", i)
		end, err := d.begin(id, budgeter.First)
		d.is.NoErr(err)
		for range 2 {
			kind, err := d.StartCall(id+".1", "back")
			d.is.NoErr(err)
			d.is.Equal(kind, budgeter.Nested)
		}
		end(true)
	}
}

// TestStartCall guards against calls of a retried run that are taken for calls of a caller or of a first run.
func TestStartCall(t *testing.T) {
	const uptime = time.Minute
	for _, c := range []struct {
		id    string
		after time.Duration
		want  budgeter.Kind
	}{
		{"", 0, budgeter.First},
		{"retry", 0, budgeter.First},
		{"first.1", 0, budgeter.Nested},
		{"retry.2", 0, budgeter.Caused},
		{"nested.1", 0, budgeter.Caused},
		{"both.1", 0, budgeter.Caused},
		{"other.1", 0, budgeter.First},
		{"retry.2", 1500 * time.Millisecond, budgeter.Caused},
		{"retry.2", time.Minute, budgeter.First},
		{"other.1", -uptime, budgeter.Caused},
		{"other", -uptime, budgeter.First},
	} {
		t.Run(fmt.Sprint(c.id, c.after), func(t *testing.T) {
			d := newDaemon(t)
			start := d.now
			d.firstRuns(600)
			d.now = start + uptime
			for id, kind := range map[string]budgeter.Kind{
				"first": budgeter.First, "retry": budgeter.Retry, "nested": budgeter.Caused, "both": budgeter.Retry,
			} {
				_, err := d.begin(id, kind)
				d.is.NoErr(err)
			}
			_, err := d.begin("both", budgeter.First)
			d.is.NoErr(err)
			d.now += c.after
			kind, _ := d.StartCall(c.id, "back")
			d.is.Equal(kind, c.want)
		})
	}
}

// TestReservation guards against retried runs whose calls are refused after the run has begun, since other runs have used up
// the room for them.
func TestReservation(t *testing.T) {
	d := newDaemon(t)
	d.firstRuns(200)
	var running []string
	for i := 0; ; i++ {
		id := fmt.Sprint("retry", i)
		if _, err := d.begin(id, budgeter.Retry); err != nil {
			d.is.True(errors.Is(err, budgeter.ErrSpent))
			break
		}
		running = append(running, id)
	}
	d.is.True(len(running) >= 3)
	for _, id := range running {
		for range 2 {
			kind, err := d.StartCall(id+".1", "back")
			d.is.NoErr(err)
			d.is.Equal(kind, budgeter.Caused)
		}
	}
	_, err := d.StartCall(running[0]+".1", "back")
	d.is.True(errors.Is(err, budgeter.ErrSpent)) // more than its share
}

// TestRelease guards against room that stays reserved for runs that have ended without making their calls.
func TestRelease(t *testing.T) {
	d := newDaemon(t)
	d.firstRuns(200)
	for range 8 { // more than can be reserved at once
		end, err := d.begin("retry", budgeter.Retry)
		d.is.NoErr(err)
		end(true)
	}
}

// TestUsed guards against a metric that does not show how close the retries are to their limit.
func TestUsed(t *testing.T) {
	d := newDaemon(t)
	d.is.Equal(d.Used("front"), 0.0)
	d.firstRuns(200)
	d.is.Equal(d.Used("front"), 0.0)
	for before := 0.0; ; {
		end, err := d.begin("retry", budgeter.Retry)
		if err != nil {
			break
		}
		end(true)
		used := d.Used("front")
		d.is.True(used > before)
		before = used
	}
	d.is.True(d.Used("front") > 0.9)
}

// TestLateNested guards against calls of a retried run that arrive in another window than the one that paid for them.
func TestLateNested(t *testing.T) {
	d := newDaemon(t)
	for _, c := range []struct {
		age  time.Duration
		want error
	}{{time.Second, nil}, {1500 * time.Millisecond, budgeter.ErrLate}} {
		err := d.Check(budgeter.Arrival{Service: "back", Kind: budgeter.Caused, Age: c.age})
		d.is.True(errors.Is(err, c.want))
	}
}

// TestCountedCalls guards against retries for calls that began long before they arrived, and for calls that did not arrive and
// count again at the next upstream.
func TestCountedCalls(t *testing.T) {
	for _, c := range []struct {
		name string
		age  time.Duration
		sent bool
		want error
	}{
		{"arrived", 0, true, nil},
		{"began long before", 9 * time.Second, true, budgeter.ErrSpent},
		{"not sent", 0, false, budgeter.ErrSpent},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDaemon(t)
			for range 200 {
				d.now += 100 * time.Millisecond
				end, err := d.Begin(budgeter.Arrival{Service: "front", Kind: budgeter.First, Age: c.age})
				d.is.NoErr(err)
				end(c.sent)
			}
			_, err := d.begin("retry", budgeter.Retry)
			d.is.True(errors.Is(err, c.want))
		})
	}
}

// TestChangedWindow guards against counts that are read with the length of another window, after a change of the settings.
func TestChangedWindow(t *testing.T) {
	for _, window := range []time.Duration{5 * time.Second, time.Minute} {
		t.Run(window.String(), func(t *testing.T) {
			d := newDaemon(t)
			d.firstRuns(200)
			reserving, err := d.begin("retry", budgeter.Retry)
			d.is.NoErr(err)
			d.limits.Window = window
			_, err = d.begin("retry", budgeter.Retry)
			d.is.True(errors.Is(err, budgeter.ErrSpent)) // nothing is counted in the new windows
			reserving(true)
			d.firstRuns(400)
			_, err = d.begin("retry", budgeter.Retry)
			d.is.NoErr(err)
		})
	}
}

// TestManyRuns guards against runs that are forgotten while they may still make calls.
func TestManyRuns(t *testing.T) {
	d := newDaemon(t)
	d.firstRuns(200)
	_, err := d.Begin(budgeter.Arrival{ID: "long", Service: "front", Route: "r", Kind: budgeter.Retry, TimeLeft: time.Hour})
	d.is.NoErr(err)
	d.firstRuns(2000)
	kind, err := d.StartCall("long.1", "back")
	d.is.NoErr(err)
	d.is.Equal(kind, budgeter.Caused)
}
