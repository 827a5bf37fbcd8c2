package gatekeeper

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"bluebellhoist/core/accountant"
)

// bodyReservation is the step in which the memory for a body is reserved.
const bodyReservation = 16 << 10

// Handler returns a handler that accounts for the memory of request bodies while next handles them. Reading a body that
// finds no memory fails with accountant.ErrShed or accountant.ErrTooLarge.
func (g *Gate) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Body == nil || r.Body == http.NoBody {
			next.ServeHTTP(w, r)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		control := http.NewResponseController(w)
		b := &body{ReadCloser: r.Body, ctx: ctx, cost: g.bodyCost}
		b.conn, _ = ctx.Value(connKey{}).(*conn)
		b.holder = g.account.Open(r.RemoteAddr, func() {
			cancel()
			_ = control.SetReadDeadline(time.Unix(1, 0)) // fails only for response writers that are not from net/http
		})
		defer b.holder.Close()
		b.setReading(true)
		defer b.setReading(false)
		request := r.WithContext(ctx)
		request.Body = b
		next.ServeHTTP(w, request)
	})
}

// body is a request body whose memory is accounted for.
type body struct {
	io.ReadCloser
	ctx      context.Context
	conn     *conn // nil if the connection does not come from a gate
	holder   *accountant.Holder
	cost     int64 // memory that a byte of the body takes
	reserved int64 // bytes for which memory is reserved and which have not been read
	reading  bool  // counted by conn.addBody
}

// Read reads from the body after it has reserved memory.
func (b *body) Read(p []byte) (int, error) {
	if b.reserved <= 0 {
		if err := b.holder.Grow(b.ctx, b.cost*bodyReservation); err != nil {
			return 0, b.explain(err)
		}
		b.reserved = bodyReservation
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.reserved)])
	b.reserved -= int64(n)
	if err != nil {
		b.setReading(false)
	}
	if errors.Is(err, io.EOF) {
		b.holder.SetRunning(true)
		return n, err
	}
	return n, b.explain(err)
}

// explain returns accountant.ErrShed for an error that shedding has caused.
func (b *body) explain(err error) error {
	if err != nil && b.holder.IsShed() {
		return accountant.ErrShed
	}
	return err
}

// setReading records whether the body is still arriving, so that the connection may be closed for a new one.
func (b *body) setReading(reading bool) {
	if b.conn == nil || b.reading == reading {
		return
	}
	b.reading = reading
	if reading {
		b.conn.addBody(1)
	} else {
		b.conn.addBody(-1)
	}
}
