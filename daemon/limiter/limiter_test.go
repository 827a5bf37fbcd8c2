package limiter_test

import (
	"context"
	"errors"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/limiter"
)

// fixture is a limiter and the calls that a test makes through it.
type fixture struct {
	*is.I
	limiter *limiter.Limiter
	mu      sync.Mutex
	order   []string // classes in the order of admission
}

func run(t *testing.T, slots int, test func(f *fixture), opts ...limiter.Option) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{I: is.New(t)}
		f.limiter = limiter.New(append([]limiter.Option{limiter.WithSlots(slots)}, opts...)...)
		test(f)
	})
}

// hold admits one call and returns the function that ends it.
func (f *fixture) hold() func(limiter.Outcome) {
	done, err := f.limiter.Acquire(context.Background(), "normal")
	f.NoErr(err)
	return done
}

// call makes one call of the given length in the background and sends its result.
func (f *fixture) call(ctx context.Context, class string, length time.Duration) <-chan error {
	result := make(chan error, 1)
	go func() {
		done, err := f.limiter.Acquire(ctx, class)
		if err == nil {
			f.mu.Lock()
			f.order = append(f.order, class)
			f.mu.Unlock()
			time.Sleep(length)
			done(limiter.OK)
		}
		result <- err
	}()
	return result
}

// queue makes one call and waits until it is admitted, queued or refused.
func (f *fixture) queue(ctx context.Context, class string, length time.Duration) <-chan error {
	result := f.call(ctx, class, length)
	synctest.Wait()
	return result
}

// admitted returns the classes in the order of admission.
func (f *fixture) admitted() []string {
	synctest.Wait()
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.order)
}

// learn makes calls of the given length one after the other, so that the limiter knows how long calls take.
func (f *fixture) learn(length time.Duration) {
	for range 100 {
		done := f.hold()
		time.Sleep(length)
		done(limiter.OK)
	}
}

// load makes calls that keep all open slots busy for the given number of round trips.
func (f *fixture) load(trips int, o limiter.Outcome) {
	for range trips {
		var ends []func(limiter.Outcome)
		for range f.limiter.Limit() {
			ends = append(ends, f.hold())
		}
		time.Sleep(10 * time.Millisecond)
		for _, end := range ends {
			end(o)
		}
	}
}

// TestWeights guards against starvation of bulk and against bulk that delays urgent calls.
func TestWeights(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.hold()
		for _, class := range []string{"bulk", "normal", "urgent"} {
			for range 100 {
				f.queue(context.Background(), class, time.Millisecond)
			}
		}
		done(limiter.OK)
		time.Sleep(105 * time.Millisecond)
		counts := make(map[string]int)
		for _, class := range f.admitted()[:105] {
			counts[class]++
		}
		f.Equal(counts, map[string]int{"urgent": 80, "normal": 20, "bulk": 5}) // shares are 16:4:1
		time.Sleep(time.Second)
		f.Equal(len(f.admitted()), 300) // all calls ran
	})
}

// TestImpatientBulk guards against starvation of callers that wait less than the turn of their class takes, whether
// they are refused at once or give up in the queue.
func TestImpatientBulk(t *testing.T) {
	contexts := map[string]func() (context.Context, context.CancelFunc){
		"deadline": func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 10*time.Millisecond)
		},
		"cancel": func() (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(10*time.Millisecond, cancel)
			return ctx, cancel
		},
	}
	for name, impatient := range contexts {
		t.Run(name, func(t *testing.T) {
			run(t, 1, func(f *fixture) {
				f.learn(time.Millisecond)
				for range 50 {
					go func() {
						for range 100 {
							<-f.call(context.Background(), "urgent", time.Millisecond)
						}
					}()
				}
				time.Sleep(100 * time.Millisecond)
				served := 0
				for range 200 {
					ctx, cancel := impatient()
					if err := <-f.call(ctx, "bulk", time.Millisecond); err == nil {
						served++
					}
					cancel()
					time.Sleep(5 * time.Millisecond)
				}
				t.Logf("served %d of 200", served)
				f.True(served >= 40)
				time.Sleep(10 * time.Second)
			})
		})
	}
}

// TestRefusals guards against calls that wait although they cannot be served.
func TestRefusals(t *testing.T) {
	cases := []struct {
		name     string
		queued   int
		class    string
		deadline time.Duration // 0 for none
		want     error
	}{
		{"free place", 1, "normal", 0, nil},
		{"full queue", 4, "normal", 0, limiter.ErrFull},
		{"full queue of another class", 4, "bulk", 0, nil},
		{"short deadline", 3, "normal", 35 * time.Millisecond, limiter.ErrDeadline},
		{"long deadline", 3, "normal", 45 * time.Millisecond, nil},
		{"urgent passes the queue", 3, "urgent", 25 * time.Millisecond, nil},
		{"bulk waits for the others", 3, "bulk", 35 * time.Millisecond, limiter.ErrDeadline},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			run(t, 1, func(f *fixture) {
				f.learn(10 * time.Millisecond)
				f.queue(context.Background(), "normal", 10*time.Millisecond)
				for range c.queued {
					f.queue(context.Background(), "normal", 10*time.Millisecond)
				}
				ctx := context.Background()
				if c.deadline > 0 {
					var cancel context.CancelFunc
					ctx, cancel = context.WithTimeout(ctx, c.deadline)
					defer cancel()
				}
				load := f.limiter.Load()
				result := f.queue(ctx, c.class, 10*time.Millisecond)
				if c.want == nil {
					f.NoErr(<-result)
				} else {
					f.Equal(f.limiter.Load(), load)     // refused at once
					f.True(errors.Is(<-result, c.want)) // with the reason
				}
				time.Sleep(time.Second)
				f.Equal(f.limiter.Load(), 0)
			}, limiter.WithQueue(4))
		})
	}
}

// TestFrozenUpstream guards against callers that queue behind calls which never end: the estimate grows with the silence.
func TestFrozenUpstream(t *testing.T) {
	run(t, 2, func(f *fixture) {
		f.learn(10 * time.Millisecond)
		ends := []func(limiter.Outcome){f.hold(), f.hold()}
		time.Sleep(3 * time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		start := time.Now()
		_, err := f.limiter.Acquire(ctx, "urgent")
		f.True(errors.Is(err, limiter.ErrDeadline))
		f.Equal(time.Since(start), time.Duration(0))
		for _, end := range ends {
			end(limiter.TimedOut)
		}
	})
}

// TestGiveUp guards against queue places and slots that are lost when callers give up.
func TestGiveUp(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.hold()
		ctx, cancel := context.WithCancel(context.Background())
		short, cancelShort := context.WithTimeout(context.Background(), time.Second)
		defer cancelShort()
		first := f.queue(ctx, "normal", time.Millisecond)
		second := f.queue(short, "urgent", time.Millisecond)
		third := f.queue(context.Background(), "normal", time.Millisecond)
		f.Equal(f.limiter.Load(), 4)
		cancel()
		f.True(errors.Is(<-first, limiter.ErrCanceled))
		f.True(errors.Is(<-second, limiter.ErrDeadline))
		f.Equal(f.limiter.Load(), 2)
		done(limiter.OK)
		done(limiter.OK) // a second call has no effect
		f.NoErr(<-third)
		f.Equal(f.limiter.Load(), 0)
		f.Equal(f.limiter.Limit(), 1)
	})
}

// TestLimit guards against a limit that collapses on one burst, falls below one, or doesn't recover.
func TestLimit(t *testing.T) {
	run(t, 20, func(f *fixture) {
		f.load(1, limiter.Overloaded)
		f.Equal(f.limiter.Limit(), 14) // 20 overloaded calls of one round trip count once
		f.load(20, limiter.TimedOut)
		f.Equal(f.limiter.Limit(), 1)
		f.load(5, limiter.OK)
		limit := f.limiter.Limit()
		f.True(limit >= 4 && limit <= 6) // about one more per round trip
		f.load(40, limiter.OK)
		f.Equal(f.limiter.Limit(), 20)
	})
}

// TestShortCallers guards against callers with very little time that shrink the limit of a healthy upstream.
func TestShortCallers(t *testing.T) {
	run(t, 20, func(f *fixture) {
		f.learn(100 * time.Millisecond)
		f.load(5, limiter.TimedOut) // after 10 ms
		f.Equal(f.limiter.Limit(), 20)
	})
}

// TestColdStart guards against full load on an upstream that has just started.
func TestColdStart(t *testing.T) {
	run(t, 0, func(f *fixture) {
		_, err := f.limiter.Acquire(context.Background(), "urgent")
		f.True(errors.Is(err, limiter.ErrNoUpstream))
		f.limiter.Resize(20)
		f.Equal(f.limiter.Limit(), 5)
		f.load(1, limiter.OK)
		f.Equal(f.limiter.Limit(), 10) // doubles per round trip
		f.limiter.Resize(20)
		f.Equal(f.limiter.Limit(), 10) // a repeated announcement has no effect
		f.load(1, limiter.OK)
		f.Equal(f.limiter.Limit(), 20)
		f.limiter.Resize(30)
		f.Equal(f.limiter.Limit(), 30) // a warm upstream that grows is open at once
		old := f.hold()
		queued := f.queue(context.Background(), "bulk", 0)
		f.NoErr(<-queued)
		f.limiter.Resize(0)
		f.limiter.Resize(8)
		old(limiter.Overloaded) // says nothing about the new process
		f.Equal(f.limiter.Limit(), 2)
	})
}

// TestGone guards against callers that stay queued for an upstream that went away.
func TestGone(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.hold()
		queued := f.queue(context.Background(), "bulk", 0)
		f.limiter.Resize(0)
		f.True(errors.Is(<-queued, limiter.ErrNoUpstream))
		done(limiter.OK)
		f.Equal(f.limiter.Load(), 0)
	})
}

// TestDrain guards against interrupted calls and against new work for a leaving upstream.
func TestDrain(t *testing.T) {
	run(t, 1, func(f *fixture) {
		running := f.queue(context.Background(), "normal", time.Second)
		soon := f.queue(context.Background(), "normal", 3*time.Second)
		late := f.queue(context.Background(), "normal", time.Second)
		start := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- f.limiter.Drain(context.Background()) }()
		synctest.Wait()
		_, err := f.limiter.Acquire(context.Background(), "urgent")
		f.True(errors.Is(err, limiter.ErrDraining))
		f.NoErr(<-running)
		f.True(errors.Is(<-late, limiter.ErrDraining)) // still queued after the grace period of 2 s
		f.Equal(time.Since(start), 2*time.Second)
		f.NoErr(<-soon)
		f.NoErr(<-drained)
		f.Equal(time.Since(start), 4*time.Second)
		f.limiter.Resize(1)
		_, err = f.limiter.Acquire(context.Background(), "urgent")
		f.True(errors.Is(err, limiter.ErrDraining)) // a late announcement does not end the drain
		f.limiter.Resize(0)
		f.limiter.Resize(1)
		f.hold()(limiter.OK) // a new upstream does
	})
}

// TestDrainEnds guards against a drain that waits for ever for a call that does not end.
func TestDrainEnds(t *testing.T) {
	run(t, 1, func(f *fixture) {
		done := f.hold()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		err := f.limiter.Drain(ctx)
		f.True(errors.Is(err, limiter.ErrDraining))
		f.True(errors.Is(err, context.DeadlineExceeded))
		done(limiter.OK)
		f.NoErr(f.limiter.Drain(context.Background()))
	})
}
