package responder

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Delay determines the duration of each call.
type Delay struct {
	mean        time.Duration
	spread      time.Duration
	warmUp      time.Duration
	startFactor float64
	start       time.Time

	mu  sync.Mutex
	rng *rand.Rand
}

// NewDelay returns a Delay whose durations are uniformly distributed around mean, by at most spread. During warmUp they
// are multiplied by a factor that falls linearly from startFactor to 1.
func NewDelay(mean, spread, warmUp time.Duration, startFactor float64, seed uint64) *Delay {
	return &Delay{
		mean:        mean,
		spread:      spread,
		warmUp:      warmUp,
		startFactor: startFactor,
		start:       time.Now(),
		rng:         rand.New(rand.NewPCG(seed, 0)),
	}
}

// Wait waits for the duration of one call, or until ctx ends.
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

// next returns the duration of a call that begins at the given time after the start.
func (d *Delay) next(age time.Duration) time.Duration {
	d.mu.Lock()
	u := 2*d.rng.Float64() - 1
	d.mu.Unlock()
	wait := float64(d.mean) + u*float64(d.spread)
	if age < d.warmUp {
		remaining := 1 - float64(age)/float64(d.warmUp)
		wait *= 1 + (d.startFactor-1)*remaining
	}
	return time.Duration(wait)
}

// withDeadline returns the context of the request, with a timeout of the milliseconds in its deadline header.
func withDeadline(req *http.Request) (context.Context, context.CancelFunc) {
	left, err := strconv.ParseInt(req.Header.Get(deadlineHeader), 10, 64)
	if err != nil {
		return context.WithCancel(req.Context())
	}
	return context.WithTimeout(req.Context(), time.Duration(left)*time.Millisecond)
}
