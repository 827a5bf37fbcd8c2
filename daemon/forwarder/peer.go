package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bluebellhoist/core/compiler"
)

// maxIdlePeers is the number of idle connections kept to one other daemon.
const maxIdlePeers = 256

// maxStreams is the number of calls that another daemon may have in progress on one connection. It exceeds the slots
// and the queue of a member, so that calls are refused by its limiter and not held back by HTTP/2.
const maxStreams = 4096

// newPeerTransport returns the transport to other daemons for calls whose body is buffered. HTTP/1.1 takes less time
// than HTTP/2 on the way of a call. Silent connections are found by the socket options of dialPeer.
func (f *Forwarder) newPeerTransport() *http.Transport {
	return &http.Transport{
		DialContext:         f.dialContext,
		Protocols:           plainHTTP1(),
		DisableCompression:  true,
		MaxIdleConnsPerHost: maxIdlePeers,
		IdleConnTimeout:     idleTimeout,
	}
}

// newStreamTransport returns the transport to other daemons for calls with a long body: HTTP/2 without TLS. The other
// daemon may leave a long body unread while the call is queued, which only pings can tell from a silent connection.
func (f *Forwarder) newStreamTransport() *http.Transport {
	return &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.dialTo(ctx, address, f.dial)
		},
		Protocols:          unencryptedHTTP2(),
		HTTP2:              &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
		DisableCompression: true,
		// Pings on idle connections count as control bytes, so idle connections do not stay for long.
		IdleConnTimeout: idleTimeout,
	}
}

func (f *Forwarder) dialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return f.dialTo(ctx, address, f.dialPeer)
}

func (f *Forwarder) dialTo(ctx context.Context, address string, dial dialFunc) (net.Conn, error) {
	addr, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("address %q: %w", address, err)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	return dial(ctx, addr)
}

func unencryptedHTTP2() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	return protocols
}

// NewPeerServer returns a server for other daemons.
func NewPeerServer(handler http.Handler) *http.Server {
	protocols := unencryptedHTTP2()
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:   handler,
		Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxStreams, SendPingTimeout: pingTimeout, PingTimeout: pingTimeout,
		},
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * idleTimeout, // longer than the client's, so that the client closes first
	}
}

// NewCallServer returns a server for callers. A caller that does not read its answer holds a call no longer than the
// longest limit and some time for the answer, so that a planned stop ends.
func NewCallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: 5 * time.Second,
		WriteTimeout:      compiler.MaxLimit + 15*time.Second,
		IdleTimeout:       2 * time.Minute,
	}
}
