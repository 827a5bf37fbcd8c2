package pipeliner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhoist/core/accountant"
	"bluebellhoist/daemon/courier"
)

// pipelinedCall is a call on a connection whose response is written when its turn comes.
type pipelinedCall struct {
	method string
	close  bool
	answer chan *courier.Answer
	holder *accountant.Holder
}

// connection is a connection of a caller.
type connection struct {
	server   *Server
	raw      net.Conn
	input    *inputReader
	r        *bufio.Reader
	queue    chan *pipelinedCall
	unsent   []*pipelinedCall // calls whose response was not written; set when writeAnswers returns
	slotOnce sync.Once        // guards the release of the slot

	evicted bool // closed in favor of a new connection; guarded by server.mu

	pending    atomic.Int32              // calls whose response has not been written
	lastAnswer atomic.Pointer[time.Time] // when the last response was written
	waiting    atomic.Pointer[time.Time] // since when no call is being read, or nil
	closing    atomic.Bool               // the last response is being written; calls read after that are discarded

	mu            sync.Mutex
	lingering     bool               // the write side is closed
	deadlineFinal bool               // the read deadline must not be changed any more
	receiving     *accountant.Holder // holder of the call that is being read, or nil
	receivedFrom  time.Time          // when the first byte of that call arrived
}

func newConnection(s *Server, raw net.Conn) *connection {
	c := &connection{server: s, raw: raw, queue: make(chan *pipelinedCall, maxPipelined)}
	c.input = &inputReader{r: raw}
	c.r = bufio.NewReaderSize(c.input, readBufferBytes)
	now := time.Now()
	c.waiting.Store(&now)
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
	for _, call := range c.unsent {
		call.holder.Close()
	}
	c.discardInput()
	_ = c.raw.Close()
}

// readCalls reads calls and starts their handlers. It reports whether the calls in flight must be canceled,
// since the connection is lost.
func (c *connection) readCalls(ctx context.Context, calls *sync.WaitGroup) (lost bool) {
	for {
		if err := c.awaitCall(); err != nil {
			return !errors.Is(err, errIdleTimeout)
		}
		holder := c.beginReceiving()
		request, rejection, err := c.readCall(ctx, holder)
		if err != nil || c.closing.Load() {
			holder.Close()
			return err != nil
		}
		c.pending.Add(1)
		c.endReceiving()
		if rejection == nil && holder.IsShed() {
			rejection = refuse(http.StatusServiceUnavailable, accountant.ErrShed.Error())
		}
		call := &pipelinedCall{answer: make(chan *courier.Answer, 1), holder: holder}
		if rejection != nil {
			holder.Close()
			rejection.Close = true
			call.close = true
			call.answer <- rejection
			return !c.enqueue(ctx, call)
		}
		call.method, call.close = request.Method, request.Close
		if !c.enqueue(ctx, call) {
			holder.Close()
			return true
		}
		calls.Go(func() { c.run(ctx, call, request) })
		if request.Close {
			return c.waitForClose()
		}
	}
}

// run handles a call. Afterwards the call occupies the memory of its response instead of that of its request.
func (c *connection) run(ctx context.Context, call *pipelinedCall, request *courier.Request) {
	call.holder.SetRunning(true)
	answer := c.server.handler(ctx, request)
	call.holder.SetRunning(false)
	call.holder.Replace(int64(len(answer.Body)) + courier.HeaderBytes(answer.Header))
	call.answer <- answer
}

// enqueue waits until the queue has room for a call. It returns false if the connection is lost before that.
func (c *connection) enqueue(ctx context.Context, call *pipelinedCall) bool {
	select {
	case c.queue <- call:
		return true
	default:
	}
	c.server.countLimited(reasonPipelined, c.raw)
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

// beginReceiving opens the holder of the call that is about to be read.
func (c *connection) beginReceiving() *accountant.Holder {
	var holder *accountant.Holder
	holder = c.server.account.Open(c.raw.RemoteAddr().String(), func() { c.shed(holder) })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving, c.receivedFrom = holder, time.Now()
	c.waiting.Store(nil)
	return holder
}

// endReceiving records that no call is being read any more.
func (c *connection) endReceiving() {
	now := time.Now()
	c.waiting.Store(&now)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.receiving = nil
}

// shed makes a call release its memory: a call that is being read is refused, otherwise the connection is closed.
func (c *connection) shed(holder *accountant.Holder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receiving != holder || c.lingering {
		_ = c.raw.Close()
		return
	}
	c.deadlineFinal = true
	_ = c.raw.SetReadDeadline(time.Unix(1, 0)) // in the past, so that a pending read ends
}

// setReadDeadline sets the read deadline unless it is final.
func (c *connection) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.deadlineFinal {
		_ = c.raw.SetReadDeadline(t)
	}
}

// isDeadlineFinal reports whether the connection is about to be closed.
func (c *connection) isDeadlineFinal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.deadlineFinal
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

// idleSince returns since when the connection has no call, or false if it has one.
func (c *connection) idleSince() (time.Time, bool) {
	since := c.waiting.Load()
	if since == nil || c.pending.Load() > 0 {
		return time.Time{}, false
	}
	if answered := c.lastAnswer.Load(); answered != nil && answered.After(*since) {
		return *answered, true
	}
	return *since, true
}

// receivingSince returns when the first byte of the call that is being read arrived, or false if none is being read.
func (c *connection) receivingSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.receivedFrom, c.receiving != nil
}
