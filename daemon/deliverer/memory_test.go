package deliverer_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
)

// TestMemory guards against calls from other daemons that together exceed the memory for calls, and against a wrong result
// for a call that finds no memory.
func TestMemory(t *testing.T) {
	is := is.New(t)
	const size = 1 << 20
	account := accountant.New(accountant.WithMemory(4 << 20))
	f := newFixture(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		reply(200, "Proof", "p")(w, r)
	})
	d := deliverer.New(
		deliverer.WithUpstream(func() (wire.Upstream, bool) { return f.upstream, true }),
		deliverer.WithAcquire(func(context.Context, string, time.Time) (func(deliverer.SlotOutcome), error) {
			return func(deliverer.SlotOutcome) {}, nil
		}),
		deliverer.WithAccount(account),
	)
	peer := httptest.NewServer(d)
	defer peer.Close()
	to := netip.MustParseAddrPort(peer.Listener.Addr().String())
	send := func(size int) (deliverer.Result, bool) {
		c := newCall(false)
		c.Request.Method, c.Request.Body = http.MethodPost, courier.NewBody(make([]byte, size))
		answer, err := courier.New().Do(context.Background(), to, courier.Call{Request: c.Pack()})
		is.NoErr(err)
		return deliverer.UnpackResult(answer)
	}
	result, valid := send(2 * size) // more than the process could ever hold
	is.True(valid)
	is.Equal(result.Outcome, deliverer.NotRun)

	packed := newCall(false)
	packed.Request.Method = http.MethodPost
	stalled, err := net.Dial("tcp", to.String())
	is.NoErr(err)
	_, _ = fmt.Fprintf(stalled, "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n", size)
	_ = packed.Pack().Header.Write(stalled)
	_, _ = fmt.Fprintf(stalled, "\r\n%s", make([]byte, size-1))
	for account.Used() < size {
		time.Sleep(time.Millisecond)
	}
	result, valid = send(size) // the stalled call gives way
	is.True(valid)
	is.Equal(result.Outcome, deliverer.Answered)
	resp, err := http.ReadResponse(bufio.NewReader(stalled), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Bluebell-Result") != "")
	_ = stalled.Close()
}
