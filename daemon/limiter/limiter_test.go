package limiter_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/limiter"
)

const ms = time.Millisecond

var forever = context.Background()

// fixture is a limiter and the calls that a test makes through it.
type fixture struct {
	*is.I
	*limiter.Limiter
	order   chan string   // classes in the order of admission
	stopped time.Duration // time that the process was stopped
}

func run(t *testing.T, slots int, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{I: is.New(t), order: make(chan string, 10000)}
		clock := func() time.Time { return time.Now().Add(f.stopped) }
		f.Limiter = limiter.New(limiter.WithSlots(slots), limiter.WithQueue(100), limiter.WithClock(clock))
		test(f)
	})
}

// hold admits a call and returns the function that ends it.
func (f *fixture) hold() func(limiter.Outcome) {
	f.Helper()
	done, err := f.Acquire(forever, "normal")
	f.NoErr(err)
	return done
}

// call makes one call of the given length and returns when it has ended or was refused.
func (f *fixture) call(ctx context.Context, class string, length time.Duration) error {
	done, err := f.Acquire(ctx, class)
	if err != nil {
		return err
	}
	f.order <- class
	time.Sleep(length)
	done(limiter.OK)
	return nil
}

// queue makes a call in the background and returns when it was admitted, queued or refused.
func (f *fixture) queue(ctx context.Context, class string, length time.Duration) <-chan error {
	result := make(chan error, 1)
	go func() { result <- f.call(ctx, class, length) }()
	synctest.Wait()
	return result
}

// load makes calls of 10 ms that fill the limit for the given number of round trips, and expects a limit after them.
func (f *fixture) load(trips int, o limiter.Outcome, limit int) {
	for range trips {
		var ends []func(limiter.Outcome)
		for range f.Limit() {
			ends = append(ends, f.hold())
		}
		time.Sleep(10 * ms)
		for _, end := range ends {
			end(o)
		}
	}
	f.Helper()
	f.Equal(f.Limit(), limit)
}

// refused expects that a call is refused at once with the given error.
func (f *fixture) refused(ctx context.Context, class string, want error) {
	f.Helper()
	start, load := time.Now(), f.Load()
	err := f.call(ctx, class, 0)
	f.True(errors.Is(err, want))
	f.Equal(time.Since(start), time.Duration(0))
	f.Equal(f.Load(), load) // the call holds no place
}

// TestWeights guards against starvation of bulk and against bulk that delays urgent calls.
func TestWeights(t *testing.T) {
	run(t, 1, func(f *fixture) {
		for range 100 {
			f.queue(forever, "urgent", ms)
		}
		time.Sleep(time.Second) // bulk collects no turns while it is not waiting
		f.queue(forever, "normal", ms)
		for range 101 {
			<-f.order
		}
		for _, class := range []string{"bulk", "normal", "urgent"} {
			for range 100 {
				f.queue(forever, class, ms)
			}
		}
		counts := make(map[string]int)
		for range 105 {
			counts[<-f.order]++
		}
		f.Equal(counts, map[string]int{"urgent": 80, "normal": 20, "bulk": 5}) // shares are 16:4:1
		time.Sleep(time.Second)
		f.Equal(len(f.order), 195) // all others ran
	})
}

// TestImpatientBulk guards against starvation of callers that wait less than the turn of their class takes (17 calls),
// whether they are refused at once or give up in the queue.
func TestImpatientBulk(t *testing.T) {
	for _, deadline := range []time.Duration{10 * ms, time.Hour} {
		run(t, 1, func(f *fixture) {
			for range 50 {
				go func() {
					for range 100 {
						_ = f.call(forever, "urgent", ms)
					}
				}()
			}
			time.Sleep(100 * ms)
			served := 0
			for range 200 {
				ctx, cancel := context.WithTimeout(forever, deadline)
				time.AfterFunc(10*ms, cancel)
				if f.call(ctx, "bulk", ms) == nil {
					served++
				}
				time.Sleep(5 * ms)
			}
			t.Logf("deadline %v: served %d of 200", deadline, served)
			f.True(served >= 40)
			time.Sleep(10 * time.Second)
		})
	}
}

// TestShedding guards against calls that wait although they cannot be served, and against refusals without need.
func TestShedding(t *testing.T) {
	cases := []struct {
		name     string
		queued   int // calls of class normal and 10 ms each
		class    string
		deadline time.Duration
		want     error
	}{
		{"free place", 99, "normal", time.Hour, nil},
		{"full queue", 100, "normal", time.Hour, limiter.ErrFull},
		{"full queue of another class", 100, "bulk", time.Hour, nil},
		{"short deadline", 3, "normal", 35 * ms, limiter.ErrDeadline},
		{"long deadline", 3, "normal", 45 * ms, nil},
		{"urgent passes the queue", 3, "urgent", 25 * ms, nil},
		{"bulk waits for the others", 3, "bulk", 35 * ms, limiter.ErrDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, func(f *fixture) {
				f.load(100, limiter.OK, 1)
				for range c.queued + 1 {
					f.queue(forever, "normal", 10*ms)
				}
				ctx, cancel := context.WithTimeout(forever, c.deadline)
				defer cancel()
				if c.want == nil {
					f.NoErr(f.call(ctx, c.class, 10*ms))
				} else {
					f.refused(ctx, c.class, c.want)
				}
				time.Sleep(2 * time.Second)
				f.Equal(f.Load(), 0)
			})
		})
	}
}

// TestFrozenUpstream guards against callers that queue behind calls which never end: the estimate grows with the silence.
func TestFrozenUpstream(t *testing.T) {
	run(t, 2, func(f *fixture) {
		f.load(10, limiter.OK, 2)
		f.queue(forever, "normal", time.Minute)
		f.queue(forever, "normal", time.Minute)
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(forever, time.Second)
		defer cancel()
		f.refused(ctx, "urgent", limiter.ErrDeadline)
		time.Sleep(time.Minute)
	})
}

// TestGiveUp guards against queue places and slots that are lost when callers give up.
func TestGiveUp(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.hold()
		canceled, cancel := context.WithCancel(forever)
		short, stop := context.WithTimeout(forever, time.Second)
		defer stop()
		first, second := f.queue(canceled, "normal", ms), f.queue(short, "urgent", ms)
		third := f.queue(forever, "normal", ms)
		f.Equal(f.Load(), 4)
		cancel()
		f.True(errors.Is(<-first, limiter.ErrCanceled))
		f.True(errors.Is(<-second, limiter.ErrDeadline))
		f.Equal(f.Load(), 2)
		done(limiter.OK)
		done(limiter.OK) // a second call has no effect
		f.NoErr(<-third)
		f.Equal(f.Load(), 0)
		for range 100 { // the slot is often granted to a caller that is about to give up
			done := f.hold()
			ctx, cancel := context.WithCancel(forever)
			queued := f.queue(ctx, "normal", ms)
			cancel()
			done(limiter.OK)
			<-queued
			f.Equal(f.Load(), 0)
		}
	})
}

// TestResume guards against calls whose deadline passed while the daemon was stopped and that get a slot after it.
func TestResume(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.hold()
		ctx, cancel := context.WithTimeout(forever, time.Second)
		defer cancel()
		late, patient := f.queue(ctx, "urgent", 0), f.queue(forever, "bulk", 0)
		f.stopped = time.Minute
		done(limiter.OK)
		f.True(errors.Is(<-late, limiter.ErrDeadline))
		f.NoErr(<-patient)
	})
}

// TestLimit guards against a limit that collapses on one burst, falls below one, or doesn't recover.
func TestLimit(t *testing.T) {
	run(t, 20, func(f *fixture) {
		f.load(1, limiter.Overloaded, 14) // 20 overloaded calls of one round trip count once
		for range 50 {
			f.NoErr(f.call(forever, "normal", 10*ms))
		}
		f.Equal(f.Limit(), 14) // one call at a time is no test of 14
		f.load(20, limiter.TimedOut, 1)
		f.load(5, limiter.OK, 5) // about one more per round trip
		f.load(40, limiter.OK, 20)
		for range 100 {
			f.NoErr(f.call(forever, "normal", 100*ms))
		}
		f.load(5, limiter.TimedOut, 20) // callers with 10 ms say nothing about an upstream that takes 100 ms
	})
}

// TestColdStart guards against full load on an upstream that has just started, and against callers that stay queued for
// one that went away.
func TestColdStart(t *testing.T) {
	run(t, 0, func(f *fixture) {
		f.refused(forever, "urgent", limiter.ErrNoUpstream)
		f.Resize(20)
		f.Equal(f.Limit(), 5)
		f.load(1, limiter.OK, 10) // doubles per round trip
		f.Resize(20)
		f.load(1, limiter.OK, 20) // a repeated announcement has no effect
		f.Resize(30)
		f.Equal(f.Limit(), 30) // a warm upstream that grows is open at once
		f.Resize(2)
		overloaded, quick := f.hold(), f.hold()
		queued := f.queue(forever, "bulk", 0)
		f.Resize(0)
		f.True(errors.Is(<-queued, limiter.ErrNoUpstream))
		f.Resize(8)
		f.Equal(f.Limit(), 2)
		quick(limiter.OK) // old calls say nothing about the new process
		overloaded(limiter.Overloaded)
		f.Equal(f.Limit(), 2)
		f.Equal(f.Load(), 0)
	})
}

// TestDrain guards against interrupted calls, new work for a leaving upstream, and a drain without end.
func TestDrain(t *testing.T) {
	run(t, 1, func(f *fixture) {
		running := f.queue(forever, "normal", time.Second)
		soon := f.queue(forever, "normal", 3*time.Second)
		late := f.queue(forever, "normal", time.Second)
		start := time.Now()
		ctx, cancel := context.WithTimeout(forever, 3*time.Second)
		defer cancel()
		early, drained := make(chan error, 1), make(chan error, 1)
		go func() { early <- f.Drain(ctx) }()
		go func() { drained <- f.Drain(forever) }()
		synctest.Wait()
		f.refused(forever, "urgent", limiter.ErrDraining)
		f.NoErr(<-running)
		f.True(errors.Is(<-late, limiter.ErrDraining)) // still queued after the grace period of 2 s
		f.Equal(time.Since(start), 2*time.Second)
		f.True(errors.Is(<-early, context.DeadlineExceeded))
		f.NoErr(<-soon)
		f.NoErr(<-drained)
		f.Equal(time.Since(start), 4*time.Second)
		f.Resize(1) // a late announcement does not end the drain
		f.refused(forever, "urgent", limiter.ErrDraining)
		f.Resize(0)
		f.Resize(1) // a new upstream does
		done := f.hold()
		go func() { drained <- f.Drain(forever) }()
		synctest.Wait()
		f.Resize(0)
		f.Resize(1)
		f.True(errors.Is(<-drained, limiter.ErrDraining)) // the drain does not wait for calls of the next upstream
		done(limiter.OK)
	})
}
