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

var background = context.Background()

// fixture is a limiter and the calls that a test makes through it.
type fixture struct {
	*is.I
	*limiter.Limiter
	order     chan string   // classes in the order of admission
	suspended time.Duration // how long the process was suspended
}

func run(t *testing.T, slots int, test func(f *fixture)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{I: is.New(t), order: make(chan string, 10000)}
		clock := func() time.Time { return time.Now().Add(f.suspended) }
		f.Limiter = limiter.New(limiter.WithSlots(slots), limiter.WithQueue(100), limiter.WithClock(clock))
		test(f)
	})
}

// acquire admits a call and returns the function that ends it.
func (f *fixture) acquire() func(limiter.Outcome) {
	f.Helper()
	done, err := f.Acquire(background, "normal")
	f.NoErr(err)
	return done
}

// call makes one call of the given duration and returns when it has ended or was refused.
func (f *fixture) call(ctx context.Context, class string, duration time.Duration) error {
	done, err := f.Acquire(ctx, class)
	if err != nil {
		return err
	}
	f.order <- class
	time.Sleep(duration)
	done(limiter.OK)
	return nil
}

// start starts a call in the background and returns when it was admitted, queued or refused.
func (f *fixture) start(ctx context.Context, class string, duration time.Duration) <-chan error {
	result := make(chan error, 1)
	go func() { result <- f.call(ctx, class, duration) }()
	synctest.Wait()
	return result
}

// fill makes calls of 10 ms that use the whole limit for the given number of round trips, and expects a limit after
// them.
func (f *fixture) fill(roundTrips int, outcome limiter.Outcome, limit int) {
	for range roundTrips {
		var dones []func(limiter.Outcome)
		for range f.Limit() {
			dones = append(dones, f.acquire())
		}
		time.Sleep(10 * ms)
		for _, done := range dones {
			done(outcome)
		}
	}
	f.Helper()
	f.Equal(f.Limit(), limit)
}

// expectRefused expects that a call is refused immediately with the given error.
func (f *fixture) expectRefused(ctx context.Context, class string, want error) {
	f.Helper()
	start, load := time.Now(), f.Load()
	err := f.call(ctx, class, 0)
	f.True(errors.Is(err, want))
	f.Equal(time.Since(start), time.Duration(0))
	f.Equal(f.Load(), load) // the call is not counted
}

// TestWeights guards against starvation of bulk calls and against bulk calls that delay urgent ones.
func TestWeights(t *testing.T) {
	run(t, 1, func(f *fixture) {
		for range 100 {
			f.start(background, "urgent", ms)
		}
		time.Sleep(time.Second) // idle classes collect no credit
		f.start(background, "normal", ms)
		for range 101 {
			<-f.order
		}
		for _, class := range []string{"bulk", "normal", "urgent"} {
			for range 100 {
				f.start(background, class, ms)
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

// TestImpatientBulk guards against starvation of callers that do not wait until the next turn of their class (17 calls),
// whether they are refused immediately or give up in the queue.
func TestImpatientBulk(t *testing.T) {
	for _, deadline := range []time.Duration{10 * ms, time.Hour} {
		run(t, 1, func(f *fixture) {
			for range 50 {
				go func() {
					for range 100 {
						_ = f.call(background, "urgent", ms)
					}
				}()
			}
			time.Sleep(100 * ms)
			served := 0
			for range 200 {
				ctx, cancel := context.WithTimeout(background, deadline)
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

// TestShedding guards against calls that wait although they cannot be served in time, and against unnecessary refusals.
func TestShedding(t *testing.T) {
	cases := []struct {
		name     string
		queued   int // calls of class normal that take 10 ms each
		class    string
		deadline time.Duration
		want     error
	}{
		{"free place in the queue", 99, "normal", time.Hour, nil},
		{"full queue", 100, "normal", time.Hour, limiter.ErrFull},
		{"full queue of another class", 100, "bulk", time.Hour, nil},
		{"short deadline", 3, "normal", 35 * ms, limiter.ErrDeadline},
		{"long deadline", 3, "normal", 45 * ms, nil},
		{"urgent overtakes the queue", 3, "urgent", 25 * ms, nil},
		{"bulk waits for the others", 3, "bulk", 35 * ms, limiter.ErrDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, func(f *fixture) {
				f.fill(100, limiter.OK, 1)
				for range c.queued + 1 {
					f.start(background, "normal", 10*ms)
				}
				ctx, cancel := context.WithTimeout(background, c.deadline)
				defer cancel()
				if c.want == nil {
					f.NoErr(f.call(ctx, c.class, 10*ms))
				} else {
					f.expectRefused(ctx, c.class, c.want)
				}
				time.Sleep(2 * time.Second)
				f.Equal(f.Load(), 0)
			})
		})
	}
}

// TestFrozenUpstream guards against callers that queue behind calls that never end: the estimated wait must grow while
// no call ends.
func TestFrozenUpstream(t *testing.T) {
	run(t, 2, func(f *fixture) {
		f.fill(10, limiter.OK, 2)
		f.start(background, "normal", time.Minute)
		f.start(background, "normal", time.Minute)
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(background, time.Second)
		defer cancel()
		f.expectRefused(ctx, "urgent", limiter.ErrDeadline)
		time.Sleep(time.Minute)
	})
}

// TestGiveUp guards against queue places and slots that leak when callers give up.
func TestGiveUp(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.acquire()
		canceled, cancel := context.WithCancel(background)
		short, stop := context.WithTimeout(background, time.Second)
		defer stop()
		first, second := f.start(canceled, "normal", ms), f.start(short, "urgent", ms)
		third := f.start(background, "normal", ms)
		f.Equal(f.Load(), 4)
		cancel()
		f.True(errors.Is(<-first, limiter.ErrCanceled))
		f.True(errors.Is(<-second, limiter.ErrDeadline))
		f.Equal(f.Load(), 2)
		done(limiter.OK)
		done(limiter.OK) // a second call of done has no effect
		f.NoErr(<-third)
		f.Equal(f.Load(), 0)
		for range 100 { // the slot is often granted to a caller that is about to give up
			done := f.acquire()
			ctx, cancel := context.WithCancel(background)
			queued := f.start(ctx, "normal", ms)
			cancel()
			done(limiter.OK)
			<-queued
			f.Equal(f.Load(), 0)
		}
	})
}

// TestResume guards against slots granted to calls whose latest start passed while the daemon was suspended.
func TestResume(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.acquire()
		ctx, cancel := context.WithTimeout(background, time.Second)
		defer cancel()
		late, waiting := f.start(ctx, "urgent", 0), f.start(background, "bulk", 0)
		f.suspended = time.Minute
		done(limiter.OK)
		f.True(errors.Is(<-late, limiter.ErrDeadline))
		f.NoErr(<-waiting)
	})
}

// TestLimit guards against a limit that collapses after one burst, falls below one, or does not recover.
func TestLimit(t *testing.T) {
	run(t, 20, func(f *fixture) {
		f.fill(1, limiter.Overloaded, 14) // overloads of one round trip count once
		for range 50 {
			f.NoErr(f.call(background, "normal", 10*ms))
		}
		f.Equal(f.Limit(), 14) // one call at a time does not test the limit
		f.fill(20, limiter.TimedOut, 1)
		f.fill(5, limiter.OK, 5) // grows by about one per round trip
		f.fill(40, limiter.OK, 20)
		for range 100 {
			f.NoErr(f.call(background, "normal", 100*ms))
		}
		f.fill(5, limiter.TimedOut, 20) // timeouts of 10 ms say nothing about an upstream that takes 100 ms
	})
}

// TestColdStart guards against full load on an upstream that has just started, and against callers that stay queued
// after the upstream has left.
func TestColdStart(t *testing.T) {
	run(t, 0, func(f *fixture) {
		f.expectRefused(background, "urgent", limiter.ErrNoUpstream)
		f.SetSlots(20)
		f.Equal(f.Limit(), 5)
		f.fill(1, limiter.OK, 10) // doubles per round trip
		f.SetSlots(20)
		f.fill(1, limiter.OK, 20) // a repeated announcement has no effect
		f.SetSlots(30)
		f.Equal(f.Limit(), 30) // new slots of a warm upstream are available immediately
		f.SetSlots(2)
		overloaded, quick := f.acquire(), f.acquire()
		queued := f.start(background, "bulk", 0)
		f.SetSlots(0)
		f.True(errors.Is(<-queued, limiter.ErrNoUpstream))
		f.SetSlots(8)
		f.Equal(f.Limit(), 2)
		quick(limiter.OK) // calls to the old process do not change the limit
		overloaded(limiter.Overloaded)
		f.Equal(f.Limit(), 2)
		f.Equal(f.Load(), 0)
	})
}

// TestDrain guards against interrupted calls, new calls to a leaving upstream, and a drain that does not end.
func TestDrain(t *testing.T) {
	run(t, 1, func(f *fixture) {
		running := f.start(background, "normal", time.Second)
		soon := f.start(background, "normal", 3*time.Second)
		late := f.start(background, "normal", time.Second)
		start := time.Now()
		ctx, cancel := context.WithTimeout(background, 3*time.Second)
		defer cancel()
		early, drained := make(chan error, 1), make(chan error, 1)
		go func() { early <- f.Drain(ctx) }()
		go func() { drained <- f.Drain(background) }()
		synctest.Wait()
		f.expectRefused(background, "urgent", limiter.ErrDraining)
		f.NoErr(<-running)
		f.True(errors.Is(<-late, limiter.ErrDraining)) // still queued after the grace period of 2 s
		f.Equal(time.Since(start), 2*time.Second)
		f.True(errors.Is(<-early, context.DeadlineExceeded))
		f.NoErr(<-soon)
		f.NoErr(<-drained)
		f.Equal(time.Since(start), 4*time.Second)
		f.SetSlots(1) // a late announcement does not end the drain
		f.expectRefused(background, "urgent", limiter.ErrDraining)
		f.SetSlots(0)
		f.SetSlots(1) // a new upstream ends the drain
		done := f.acquire()
		go func() { drained <- f.Drain(background) }()
		synctest.Wait()
		f.SetSlots(0)
		f.SetSlots(1)
		f.True(errors.Is(<-drained, limiter.ErrDraining)) // the drain does not wait for calls of the next upstream
		done(limiter.OK)
	})
}
