package framer

import (
	"context"
	"errors"
	"io"
	"time"
)

// errStalled reports a connection that has carried no data for the time allowed.
var errStalled = errors.New("connection carries no data")

// stallGuard cancels a context when no progress has been reported for a time.
type stallGuard struct {
	limit  time.Duration
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

// guardStall returns a context that ends with errStalled if the guard gets no progress for limit.
func guardStall(ctx context.Context, limit time.Duration) (context.Context, *stallGuard) {
	ctx, cancel := context.WithCancelCause(ctx)
	return ctx, &stallGuard{limit, cancel, time.AfterFunc(limit, func() { cancel(errStalled) })}
}

// progress restarts the time allowed.
func (g *stallGuard) progress() {
	g.timer.Reset(g.limit)
}

// stop releases the guard and ends its context.
func (g *stallGuard) stop() {
	g.timer.Stop()
	g.cancel(context.Canceled)
}

// progressReader reports each successful read.
type progressReader struct {
	io.Reader
	onRead func()
}

// Read reads from the reader within.
func (r progressReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.onRead()
	}
	return n, err
}
