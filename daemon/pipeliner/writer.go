package pipeliner

import (
	"context"
	"net"
	"net/http"
	"time"

	"bluebellhoist/daemon/courier"
)

// writeAnswers writes the responses in order until the queue is closed or the connection ends.
func (c *connection) writeAnswers(cancel context.CancelFunc) {
	for call := range c.queue {
		a := <-call.answer
		last := call.close || a.Close || c.server.draining.Load()
		a.Close = last
		c.closing.Store(last)
		err := c.writeAnswer(a, call.method)
		call.holder.Close()
		c.recordAnswer()
		if err != nil {
			cancel()
		}
		if err != nil || last {
			c.closeGracefully()
			break
		}
	}
	// Calls after the last response are treated as not received. Canceling the context ends their handlers.
	cancel()
	for call := range c.queue {
		c.unsent = append(c.unsent, call)
	}
}

// writeAnswer writes a response in pieces. Each piece must be accepted within writeTimeout.
func (c *connection) writeAnswer(a *courier.Answer, method string) error {
	head, body := a.Encode(method)
	pieces := net.Buffers{head}
	for {
		n := min(len(body), writePieceBytes)
		if n > 0 {
			pieces = append(pieces, body[:n])
		}
		body = body[n:]
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		if _, err := pieces.WriteTo(c.raw); err != nil {
			if isTimeout(err) {
				c.server.countLimited(reasonWriteRate, c.raw)
			}
			return err
		}
		if len(body) == 0 {
			return nil
		}
		pieces = nil
	}
}

// recordAnswer records that a response was written.
func (c *connection) recordAnswer() {
	now := time.Now()
	c.lastAnswer.Store(&now)
	c.pending.Add(-1)
}

// writeContinue tells the caller to send the body of its call, after the responses to its earlier calls.
func (c *connection) writeContinue(ctx context.Context) error {
	ticker := time.NewTicker(continueCheckInterval)
	defer ticker.Stop()
	for c.pending.Load() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
	return err
}

// closeGracefully closes the write side and lets the reader consume the remaining input, so that the last response
// arrives.
func (c *connection) closeGracefully() {
	tcp, ok := c.raw.(*net.TCPConn)
	if !ok {
		_ = c.raw.Close()
		return
	}
	_ = tcp.CloseWrite()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lingering, c.deadlineFinal = true, true
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// refusalRetryAfter is how many seconds after a refusal for lack of memory a caller is told to retry.
const refusalRetryAfter = "1"

// refuse returns the response that refuses a call which has not run.
func refuse(status int, text string) *courier.Answer {
	h := http.Header{"Content-Type": {"text/plain"}, courier.HeaderOutcome: {"not-run"}}
	if status == http.StatusServiceUnavailable {
		h.Set("Retry-After", refusalRetryAfter)
	}
	return &courier.Answer{Status: status, Header: h, Body: []byte(text + "\n")}
}
