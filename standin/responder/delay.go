package responder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Delay gives the time that each call takes.
type Delay struct {
	mean   time.Duration
	spread time.Duration
	cold   time.Duration
	factor float64
	start  time.Time

	mu     sync.Mutex
	source *rand.Rand
}

// NewDelay returns delays spread evenly around mean, by at most spread.
// They begin at factor times that and fall to it evenly within the time cold.
func NewDelay(mean, spread, cold time.Duration, factor float64, seed uint64) *Delay {
	return &Delay{
		mean:   mean,
		spread: spread,
		cold:   cold,
		factor: factor,
		start:  time.Now(),
		source: rand.New(rand.NewPCG(seed, 0)),
	}
}

// Wait waits for the time of one call, or until ctx ends.
func (d *Delay) Wait(ctx context.Context) error {
	wait := d.next(time.Since(d.start))
	if wait <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// next returns the time of a call that begins when the stand-in has the given age.
func (d *Delay) next(age time.Duration) time.Duration {
	d.mu.Lock()
	u := 2*d.source.Float64() - 1
	d.mu.Unlock()
	wait := float64(d.mean) + u*float64(d.spread)
	if age < d.cold {
		left := 1 - float64(age)/float64(d.cold)
		wait *= 1 + (d.factor-1)*left
	}
	return time.Duration(wait)
}

// withDeadline bounds the request's context by the milliseconds left in its deadline header.
func withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(req.Header.Get(deadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(left)*time.Millisecond)
}
