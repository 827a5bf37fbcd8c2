package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhoist/daemon/courier"
)

// pipelinedCall is a call on a connection whose response is written when its turn comes.
type pipelinedCall struct {
	method string
	close  bool
	answer chan *courier.Answer
}

// connection is a connection of a caller.
type connection struct {
	server  *Server
	raw     net.Conn
	limited *limitedReader
	r       *bufio.Reader
	queue   chan *pipelinedCall

	pending    atomic.Int32              // calls whose response has not been written
	lastAnswer atomic.Pointer[time.Time] // when the last response was written
	closing    atomic.Bool               // the last response is being written; calls read after that are discarded

	mu        sync.Mutex
	lingering bool // the write side is closed; the read deadline is final
}

func newConnection(s *Server, raw net.Conn) *connection {
	c := &connection{server: s, raw: raw, queue: make(chan *pipelinedCall, maxPipelined)}
	c.limited = &limitedReader{r: raw}
	c.r = bufio.NewReaderSize(c.limited, readBufferBytes)
	return c
}

func (c *connection) serve(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	writerDone := make(chan struct{})
	go func() {
		defer close(writerDone)
		c.writeAnswers(cancel)
	}()
	var calls sync.WaitGroup
	if lost := c.readCalls(ctx, &calls); lost {
		cancel()
	}
	close(c.queue)
	<-writerDone
	calls.Wait()
	c.discardInput()
	_ = c.raw.Close()
}

// readCalls reads calls and starts their handlers. It reports whether the calls in flight must be canceled,
// since the connection is lost.
func (c *connection) readCalls(ctx context.Context, calls *sync.WaitGroup) (lost bool) {
	for {
		request, rejection, err := c.readCall()
		if err != nil {
			return !errors.Is(err, errIdleTimeout)
		}
		if c.closing.Load() {
			return false
		}
		c.pending.Add(1)
		call := &pipelinedCall{answer: make(chan *courier.Answer, 1)}
		if rejection != nil {
			rejection.Close = true
			call.close = true
			call.answer <- rejection
			return !c.enqueue(ctx, call)
		}
		call.method, call.close = request.Method, request.Close
		if !c.enqueue(ctx, call) {
			return true
		}
		calls.Go(func() { call.answer <- c.server.handler(ctx, request) })
		if request.Close {
			return c.waitForClose()
		}
	}
}

// enqueue waits until the queue has room for a call. It returns false if the connection is lost before that.
func (c *connection) enqueue(ctx context.Context, call *pipelinedCall) bool {
	select {
	case c.queue <- call:
		return true
	default:
	}
	// Nothing is read while the queue is full, so a close of the caller would go unnoticed.
	ticker := time.NewTicker(closeCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case c.queue <- call:
			return true
		case <-ctx.Done():
			return false
		case <-ticker.C:
			if isClosedByPeer(c.raw) {
				return false
			}
		}
	}
}

// waitForClose waits until the caller closes the connection after its last call, and reports whether the caller did.
func (c *connection) waitForClose() bool {
	c.setReadDeadline(time.Time{})
	_, err := c.r.ReadByte()
	return err != nil && !errors.Is(err, net.ErrClosed)
}

// writeAnswers writes the responses in order until the queue is closed or the connection ends.
func (c *connection) writeAnswers(cancel context.CancelFunc) {
	for call := range c.queue {
		a := <-call.answer
		last := call.close || a.Close || c.server.draining.Load()
		a.Close = last
		c.closing.Store(last)
		_ = c.raw.SetWriteDeadline(time.Now().Add(writeTimeout))
		_, err := c.raw.Write(a.Encode(call.method))
		c.countAnswered()
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
	for range c.queue {
		continue
	}
}

// countAnswered records that a response was written.
func (c *connection) countAnswered() {
	now := time.Now()
	c.lastAnswer.Store(&now)
	c.pending.Add(-1)
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
	c.lingering = true
	_ = tcp.SetReadDeadline(time.Now().Add(lingerTimeout))
}

// setReadDeadline sets the read deadline unless the connection is lingering.
func (c *connection) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lingering {
		_ = c.raw.SetReadDeadline(t)
	}
}

// discardInput reads what the caller still sends on a lingering connection.
func (c *connection) discardInput() {
	c.mu.Lock()
	lingering := c.lingering
	c.mu.Unlock()
	if lingering {
		_, _ = io.Copy(io.Discard, c.raw) // ends at the read deadline at the latest
	}
}
