package deliverer

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/compiler"
	"bluebellhoist/daemon/courier"
)

const (
	// bodyGrace is how long after the deadline of a call its body may still arrive.
	bodyGrace = time.Second
	// discardTime is how long the rest of a body is read and dropped, so that the other daemon gets the refusal.
	discardTime = 2 * time.Second
)

// peerCall is a call from another daemon.
type peerCall struct {
	deliverer *Deliverer
	request   *http.Request
	writer    http.ResponseWriter
	control   *http.ResponseController
	holder    *accountant.Holder
	writing   atomic.Bool // the result is being written
}

// ServeHTTP answers a call from another daemon.
func (d *Deliverer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c, err := unpackCall(r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	p := &peerCall{deliverer: d, request: r, writer: w, control: http.NewResponseController(w)}
	p.holder = d.account.Open(r.RemoteAddr, func() { p.shed(cancel) })
	defer p.holder.Close()
	if err := p.readBody(ctx, &c); err != nil {
		p.refuse(err)
		return
	}
	p.holder.SetRunning(true)
	result := d.Deliver(ctx, c)
	p.holder.SetRunning(false)
	p.write(result)
}

// readBody reads the body of a call. The daemon of the caller has applied the limit of the configuration in force.
func (p *peerCall) readBody(ctx context.Context, c *Call) error {
	now := time.Now()
	left := max(0, min(c.Deadline.Sub(now), compiler.MaxCallLimit))
	_ = p.control.SetReadDeadline(now.Add(left + bodyGrace)) // fails only for response writers that are not from net/http
	reader := courier.BodyReader{Grow: func(bytes int64) error { return p.holder.Grow(ctx, bytes) }}
	var err error
	if c.Request.Body, err = reader.Read(p.request.Body, p.request.ContentLength); err != nil {
		return err
	}
	// Clears the deadline: net/http treats a read timeout after the body as a lost caller and cancels the call.
	_ = p.control.SetReadDeadline(time.Time{})
	return nil
}

// refuse answers a call whose body could not be read. The call has not run.
func (p *peerCall) refuse(err error) {
	if errors.Is(err, accountant.ErrShed) || errors.Is(err, accountant.ErrTooLarge) || p.holder.IsShed() {
		p.holder.Close()
		_ = p.control.SetReadDeadline(time.Now().Add(discardTime))
		_, _ = io.Copy(io.Discard, p.request.Body)
	}
	result := notRun("body: " + err.Error())
	result.Load = p.deliverer.load()
	result.write(p.writer)
}

// write writes the result. From here on the call occupies the memory of the answer instead of that of its request.
func (p *peerCall) write(result Result) {
	if result.Answer != nil {
		p.holder.Replace(int64(len(result.Answer.Body)) + courier.HeaderBytes(result.Answer.Header))
	}
	p.writing.Store(true)
	// There is no memory for the answer of a shed call. Since the call may have run, it is aborted and not refused.
	if p.holder.IsShed() && result.Outcome != NotRun {
		panic(http.ErrAbortHandler)
	}
	result.write(p.writer)
}

// shed makes the call release its memory.
func (p *peerCall) shed(cancel context.CancelFunc) {
	cancel()
	_ = p.control.SetReadDeadline(time.Unix(1, 0)) // in the past, so that a pending read ends
	if p.writing.Load() {
		_ = p.control.SetWriteDeadline(time.Unix(1, 0))
	}
}
