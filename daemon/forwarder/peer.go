package forwarder

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/inspector"
)

// maxIdleConnsPerPeer is the number of idle connections kept to each other daemon.
const maxIdleConnsPerPeer = 256

// maxConcurrentStreams is the number of calls that another daemon may have in flight on one connection. It should
// exceed the slots plus the queued calls of a usual member, so that the limiter refuses calls instead of HTTP/2 delaying
// them.
const maxConcurrentStreams = 4096

const (
	// maxHeaderBytes is the largest header section of a call. It exceeds the bounds of usual configurations.
	maxHeaderBytes = 256 << 10
	// streamBufferBytes is the memory for long bodies that have arrived on an HTTP/2 connection and have not been read.
	streamBufferBytes = 256 << 10
)

// newPeerTransport returns the transport for calls to other daemons whose body is buffered. It uses HTTP/1.1, which
// adds less latency than HTTP/2. The socket options of dialPeer detect silent connections.
func (f *Forwarder) newPeerTransport() *inspector.Transport {
	return inspector.New(&http.Transport{
		DialContext:         f.dialContext,
		Protocols:           plainHTTP1(),
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleTimeout,
	})
}

// newStreamTransport returns the transport for calls to other daemons with a long body. It uses HTTP/2 without TLS: the
// other daemon may leave a long body unread while the call is queued, and only HTTP/2 pings distinguish that from a
// silent connection.
func (f *Forwarder) newStreamTransport() *inspector.Transport {
	return inspector.New(&http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			return f.dialTo(ctx, address, f.dial)
		},
		Protocols: unencryptedHTTP2(),
		HTTP2:     &http.HTTP2Config{SendPingTimeout: pingTimeout, PingTimeout: pingTimeout},
		// Pings on idle connections count towards the control traffic, so idle connections are closed early.
		IdleConnTimeout: idleTimeout,
	})
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

// NewPeerServer returns a server for calls from other daemons.
func NewPeerServer(handler http.Handler) *http.Server {
	protocols := unencryptedHTTP2()
	protocols.SetHTTP1(true)
	return &http.Server{
		Handler:   handler,
		Protocols: protocols,
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxConcurrentStreams, SendPingTimeout: pingTimeout, PingTimeout: pingTimeout,
			MaxReceiveBufferPerConnection: streamBufferBytes, MaxReceiveBufferPerStream: streamBufferBytes,
		},
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * idleTimeout, // longer than the client's timeout, so that the client closes first
	}
}

// NewCallServer returns a server for calls from callers. Its write timeout is the longest call limit plus time to write
// the response, so that a caller that does not read its response cannot block a planned stop.
func NewCallServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: 5 * time.Second,
		WriteTimeout:      compiler.MaxCallLimit + 15*time.Second,
		IdleTimeout:       2 * time.Minute,
	}
}
