package forwarder

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"

	"bluebellhoist/core/wire"
)

// pools holds the connections to the local upstream that is announced now.
type pools struct {
	dial func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	mu  sync.Mutex
	now *pool
}

// pool holds the connections to one upstream, at most as many as the upstream takes.
type pool struct {
	addr   netip.AddrPort
	conns  int
	tokens chan struct{} // one for each open connection
	dial   func(ctx context.Context, addr netip.AddrPort) (net.Conn, error)

	// reused keeps connections. net/http sends a call again on its own if a kept connection turns out to be closed.
	reused *http.Transport
	// fresh opens a connection for each call, because net/http never repeats a call on a connection that is new.
	fresh *http.Transport
}

// of returns the pool for the announced upstream. A pool for an earlier announcement ends with its last call.
func (p *pools) of(u wire.Upstream) *pool {
	conns := max(u.Conns, 1)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now != nil && p.now.addr == u.Address && p.now.conns == conns {
		return p.now
	}
	if p.now != nil {
		p.now.reused.CloseIdleConnections()
	}
	p.now = newPool(u.Address, conns, p.dial)
	return p.now
}

func (p *pools) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now != nil {
		p.now.reused.CloseIdleConnections()
	}
}

func newPool(addr netip.AddrPort, conns int, dial func(context.Context, netip.AddrPort) (net.Conn, error)) *pool {
	p := &pool{addr: addr, conns: conns, tokens: make(chan struct{}, conns), dial: dial}
	p.reused = &http.Transport{
		DialContext:         p.dialContext,
		Protocols:           plainHTTP1(),
		DisableCompression:  true,
		MaxIdleConns:        conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
	}
	p.fresh = &http.Transport{
		DialContext:        p.dialContext,
		Protocols:          plainHTTP1(),
		DisableCompression: true,
		DisableKeepAlives:  true,
	}
	return p
}

func plainHTTP1() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	return protocols
}

// dialContext opens a connection once fewer than conns are open. Idle connections make room for it.
func (p *pool) dialContext(ctx context.Context, _, _ string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	select {
	case p.tokens <- struct{}{}:
	default:
		p.reused.CloseIdleConnections()
		select {
		case p.tokens <- struct{}{}:
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
	}
	conn, err := p.dial(ctx, p.addr)
	if err != nil {
		<-p.tokens
		return nil, err
	}
	return &countedConn{Conn: conn, free: sync.OnceFunc(func() { <-p.tokens })}, nil
}

// countedConn gives its token back when it closes.
type countedConn struct {
	net.Conn
	free func()
}

// Close closes the connection.
func (c *countedConn) Close() error {
	defer c.free()
	return c.Conn.Close()
}
