package limiter

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"
)

// call is an admitted call.
type call struct {
	limiter *Limiter
	class   string
	seq     uint64
	start   time.Time
	ended   atomic.Bool
}

// Acquire waits until a call of the given class may be sent to the upstream, or returns an error if it is not admitted.
// The caller must call done once the call has ended; further calls of done have no effect. Unknown classes count as
// normal.
func (l *Limiter) Acquire(ctx context.Context, class string) (done func(Outcome), err error) {
	latestStart, _ := ctx.Deadline()
	return l.AcquireBefore(ctx, class, latestStart)
}

// AcquireBefore is like Acquire, but a call that has to wait must start by latest. A free slot is granted even after
// latest.
func (l *Limiter) AcquireBefore(ctx context.Context, class string, latestStart time.Time) (done func(Outcome), err error) {
	arrival := l.now()
	c, err := l.admitOrWait(ctx, class, latestStart, arrival)
	if err != nil {
		if l.hooks.Refused != nil {
			l.hooks.Refused(class, err)
		}
		return nil, err
	}
	if l.hooks.Admitted != nil {
		l.hooks.Admitted(class, c.start.Sub(arrival))
	}
	return c.done, nil
}

func (l *Limiter) admitOrWait(ctx context.Context, class string, latestStart, now time.Time) (*call, error) {
	if ctx.Err() != nil {
		return nil, contextError(ctx)
	}
	l.mu.Lock()
	seq, w, err := l.admit(classIndexOf(class), latestStart, now)
	l.mu.Unlock()
	if err != nil {
		return nil, err
	}
	if w == nil {
		return &call{limiter: l, class: class, seq: seq, start: now}, nil
	}
	if !latestStart.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, latestStart)
		defer cancel()
	}
	if err := l.wait(ctx, w); err != nil {
		return nil, err
	}
	return &call{limiter: l, class: class, seq: w.seq, start: l.now()}, nil
}

// admit grants a slot and returns the sequence number of the call, or queues the call and returns its waiter, or
// returns an error if it refuses the call. The lock must be held.
func (l *Limiter) admit(classIndex int, latestStart, now time.Time) (uint64, *waiter, error) {
	switch {
	case l.draining:
		return 0, nil, ErrDraining
	case l.capacity.slots == 0:
		return 0, nil, ErrNoUpstream
	case l.schedule.length == 0 && l.inflight < l.capacity.maxInflight():
		l.load.Add(1)
		return l.grant(now), nil, nil
	case l.schedule.queues[classIndex].length >= l.maxQueue:
		return 0, nil, fmt.Errorf("%w: %d calls of class %s", ErrFull, l.maxQueue, classes[classIndex].name)
	}
	l.schedule.arrive(classIndex)
	if wait := l.estimate(classIndex, now); !latestStart.IsZero() && !now.Add(wait).Before(latestStart) {
		return 0, nil, fmt.Errorf("%w: estimated wait %v, time left %v", ErrDeadline, wait, latestStart.Sub(now))
	}
	w := &waiter{classIndex: classIndex, latestStart: latestStart, ready: make(chan struct{})}
	l.schedule.push(w)
	l.load.Add(1)
	return 0, w, nil
}

// estimate returns how long a new call of the given class would wait. The lock must be held.
func (l *Limiter) estimate(classIndex int, now time.Time) time.Duration {
	// All in-flight calls have lasted at least since the last change, so a frozen upstream raises the estimate before
	// any of them has ended.
	serviceTime := max(l.capacity.meanServiceTime, now.Sub(l.lastChange))
	return time.Duration(l.schedule.position(classIndex)) * serviceTime / time.Duration(max(l.capacity.maxInflight(), 1))
}

// wait blocks until w is granted or refused, or ctx ends.
func (l *Limiter) wait(ctx context.Context, w *waiter) error {
	select {
	case <-w.ready:
		return w.err
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case w.queued:
		l.schedule.remove(w)
		l.decrementLoad()
	case w.err == nil:
		// The slot was granted concurrently with the end of ctx, so it goes to the next call.
		l.release(l.now())
	}
	return contextError(ctx)
}

// grant takes a slot and returns the sequence number of the call. The lock must be held.
func (l *Limiter) grant(now time.Time) uint64 {
	l.inflight++
	l.lastChange = now
	return l.capacity.grant(l.inflight)
}

// dispatch grants free slots to queued calls and refuses those whose latest start has passed. The lock must be held.
func (l *Limiter) dispatch(now time.Time) {
	for l.schedule.length > 0 && l.inflight < l.capacity.maxInflight() {
		w := l.schedule.first()
		if !w.latestStart.IsZero() && !now.Before(w.latestStart) {
			l.refuseOne(w, ErrDeadline)
			continue
		}
		l.schedule.serve(w)
		w.seq = l.grant(now)
		close(w.ready)
	}
}

// refuseQueued refuses all queued calls. The lock must be held.
func (l *Limiter) refuseQueued(err error) {
	for l.schedule.length > 0 {
		l.refuseOne(l.schedule.first(), err)
	}
}

// refuseOne refuses one queued call. The lock must be held.
func (l *Limiter) refuseOne(w *waiter, err error) {
	l.schedule.remove(w)
	w.err = err
	close(w.ready)
	l.decrementLoad()
}

// release frees the slot of a call. The lock must be held.
func (l *Limiter) release(now time.Time) {
	l.inflight--
	l.lastChange = now
	l.dispatch(now)
	l.decrementLoad()
}

// decrementLoad decrements the load and wakes Drain after the last call. The lock must be held.
func (l *Limiter) decrementLoad() {
	if l.load.Add(-1) == 0 {
		l.wakeDrain()
	}
}

func (c *call) done(outcome Outcome) {
	if c.ended.Swap(true) {
		return
	}
	l := c.limiter
	now := l.now()
	serviceTime := now.Sub(c.start)

	l.mu.Lock()
	lowered := l.capacity.observe(c.seq, serviceTime, outcome, l.inflight)
	l.release(now)
	limit := l.capacity.maxInflight()
	l.mu.Unlock()

	if lowered && l.hooks.Limited != nil {
		l.hooks.Limited(limit)
	}
	if l.hooks.Ended != nil {
		l.hooks.Ended(c.class, serviceTime, outcome)
	}
}

// contextError returns the error for a call whose context has ended.
func contextError(ctx context.Context) error {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", ErrDeadline, ctx.Err())
	}
	return fmt.Errorf("%w: %w", ErrCanceled, ctx.Err())
}
