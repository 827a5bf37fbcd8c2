package runner

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/limiter"
	"bluebellhoist/daemon/pipeliner"
)

// TestPlanStop guards against a stopping daemon that accepts calls which it cannot finish before it is killed, and against
// one that leaves the mesh before its callers could switch to another daemon although the grace allows it.
func TestPlanStop(t *testing.T) {
	cases := []struct {
		name   string
		grace  time.Duration
		routes bool
	}{
		{"usual grace", 6 * time.Second, true},
		{"short grace", 3 * time.Second, true},
		{"very short grace", 100 * time.Millisecond, true},
		{"long grace", time.Minute, true},
		{"no grace configured", 0, true},
		{"service calls only", 6 * time.Second, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			plan := planStop(c.grace, c.routes)
			is.True(c.grace == 0 || plan.end < c.grace) // it exits before it is killed
			is.True(plan.refuse <= plan.end/2)          // accepted calls have at least half of the time
			is.True(plan.leave <= plan.refuse)          // no call is accepted long after the upstream is withdrawn
			is.Equal(plan.leave == unreadyNoticeTime, c.routes && plan.refuse >= unreadyNoticeTime)
		})
	}
}

// TestRefusing guards against a daemon that accepts routed calls although it is about to exit.
func TestRefusing(t *testing.T) {
	is := is.New(t)
	r := &Runner{dispatcher: dispatcher.New()}
	r.refusingCalls.Store(true)
	a := r.handleRouted(context.Background(), &courier.Request{Method: http.MethodGet, Target: "/", Header: http.Header{}})
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.True(a.Header.Get("Retry-After") != "")
	is.Equal(r.inFlightCalls.Load(), int64(0))
}

// TestLastCall guards against a call that arrives after a stopping daemon's last check for calls in flight, is accepted and
// cut off by the exit.
func TestLastCall(t *testing.T) {
	is := is.New(t)
	r := &Runner{dispatcher: dispatcher.New(), limiter: limiter.New(), pipeliner: pipeliner.New()}
	r.drainRoutedCalls(t.Context())
	is.True(r.refusingCalls.Load())
}

// TestSlowAnswer guards against a stopping daemon that exits while an answer is still being written.
func TestSlowAnswer(t *testing.T) {
	is := is.New(t)
	answering := make(chan struct{})
	server := pipeliner.New(pipeliner.WithHandler(func(context.Context, *courier.Request) *courier.Answer {
		close(answering)
		return &courier.Answer{Status: http.StatusOK, Body: make([]byte, 64<<20)} // more than the socket buffers hold
	}))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	caller, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	<-answering
	r := &Runner{dispatcher: dispatcher.New(), limiter: limiter.New(), pipeliner: server}
	quiet := make(chan struct{})
	go func() {
		r.drainRoutedCalls(ctx)
		close(quiet)
	}()
	_, err = io.CopyN(io.Discard, caller, 1<<20)
	is.NoErr(err)
	select {
	case <-quiet:
		t.Fatal("the daemon would exit before the answer is written")
	default:
	}
	_, err = io.CopyN(io.Discard, caller, 63<<20)
	is.NoErr(err)
	<-quiet
	cancel()
	<-served
}
