package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"bluebellhoist/core/inspector"
	"bluebellhoist/core/wire"
)

// currentPool holds the connection pool of the announced local upstream.
type currentPool struct {
	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	mu      sync.Mutex
	current *upstreamPool
}

// upstreamPool holds the connections to one upstream, at most as many as the upstream accepts.
type upstreamPool struct {
	addr      netip.AddrPort
	maxConns  int
	openConns chan struct{} // semaphore with one entry per open connection
	dial      func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	// keepAlive reuses connections. net/http repeats a call on its own if a reused connection turns out to be closed.
	keepAlive *inspector.Transport
	// singleUse opens a connection for each call, because net/http never repeats a call on a new connection.
	singleUse *inspector.Transport
}

// forUpstream returns the pool of the announced upstream. The pool of an earlier announcement closes its connections as
// its calls end.
func (p *currentPool) forUpstream(u wire.Upstream) *upstreamPool {
	maxConns := max(u.Conns, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && p.current.addr == u.Address && p.current.maxConns == maxConns {
		return p.current
	}
	if p.current != nil {
		p.current.keepAlive.CloseIdleConnections()
	}
	p.current = newUpstreamPool(u.Address, maxConns, p.dial)
	return p.current
}

func (p *currentPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil {
		p.current.keepAlive.CloseIdleConnections()
	}
}

func newUpstreamPool(addr netip.AddrPort, maxConns int, dial func(context.Context, netip.AddrPort) (net.Conn, error)) *upstreamPool {
	p := &upstreamPool{addr: addr, maxConns: maxConns, openConns: make(chan struct{}, maxConns), dial: dial}
	p.keepAlive = inspector.New(&http.Transport{
		DialContext:         p.dialContext,
		Protocols:           plainHTTP1(),
		MaxIdleConns:        maxConns,
		MaxIdleConnsPerHost: maxConns,
		IdleConnTimeout:     idleTimeout,
	})
	p.singleUse = inspector.New(&http.Transport{
		DialContext:       p.dialContext,
		Protocols:         plainHTTP1(),
		DisableKeepAlives: true,
	})
	return p
}

func plainHTTP1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// dialContext waits until fewer than maxConns connections are open and opens one. It closes idle connections if
// necessary.
func (p *upstreamPool) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case p.openConns <- struct{}{}:
	default:
		p.keepAlive.CloseIdleConnections()
		select {
		case p.openConns <- struct{}{}:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		<-p.openConns
		return nil, err
	}
	return &countedConn{Conn: conn, release: sync.OnceFunc(func() { <-p.openConns })}, nil
}

// countedConn releases its semaphore entry when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	defer c.release()
	return c.Conn.Close()
}
