// Package relayer carries connections and datagrams between processes and disturbs them: it delays, holds, discards and
// resets what passes on a link.
package relayer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"bluebellhoist/core/waiter"
)

const (
	// chunk is the largest number of bytes that is passed on at once.
	chunk = 32 << 10
	// poll is the time between two looks at a link that holds its bytes.
	poll = 5 * time.Millisecond
	// dialTimeout bounds a connect to the process behind a relay.
	dialTimeout = 2 * time.Second
)

// Link is one direction between two processes.
type Link struct {
	From, To string
}

// State is what happens on a link.
type State struct {
	Cut   bool          // bytes of connections are held, datagrams are lost
	Delay time.Duration // added to each piece
	Loss  float64       // part of the datagrams that is lost
}

// Relayer holds the relays of one run. Its methods may be called concurrently.
type Relayer struct {
	mu     sync.Mutex
	links  map[Link]State
	names  map[netip.Addr]string
	public map[string]*net.UDPConn
	pairs  map[*pair]bool
	work   sync.WaitGroup
}

// New returns a relayer without relays.
func New() *Relayer {
	return &Relayer{
		links: map[Link]State{}, names: map[netip.Addr]string{}, public: map[string]*net.UDPConn{}, pairs: map[*pair]bool{},
	}
}

// Relay is a public address with the process behind it.
type Relay struct {
	Name      string
	Public    netip.AddrPort
	Private   netip.AddrPort
	Caller    string // who connects if the source address tells nothing
	Datagrams bool   // whether datagrams are relayed too
}

// Open starts a relay until ctx ends. Connections that start at its private IP address belong to it.
func (r *Relayer) Open(ctx context.Context, relay Relay) error {
	listener, err := net.Listen("tcp", relay.Public.String())
	if err != nil {
		return fmt.Errorf("relay of %s: %w", relay.Name, err)
	}
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		r.accept(ctx, relay, listener)
	}()
	context.AfterFunc(ctx, func() { _ = listener.Close() })
	if !relay.Datagrams {
		return nil
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(relay.Public))
	if err != nil {
		return fmt.Errorf("relay of %s: %w", relay.Name, err)
	}
	r.mu.Lock()
	r.names[relay.Private.Addr()] = relay.Name
	r.public[relay.Name] = socket
	r.mu.Unlock()
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		r.datagrams(relay, socket)
	}()
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	return nil
}

// Wait returns once all relays have ended, after the contexts of Open.
func (r *Relayer) Wait() {
	r.work.Wait()
}

// Set changes the state of a link.
func (r *Relayer) Set(link Link, change func(*State)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.links[link]
	change(&state)
	r.links[link] = state
}

// Heal undoes all changes of links. Silenced connections stay silent.
func (r *Relayer) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.links)
}

// Reset resets the open connections between two processes, in both directions; empty names stand for any.
func (r *Relayer) Reset(a, b string) {
	for _, p := range r.between(a, b) {
		p.reset()
	}
}

// Silence makes the open connections between two processes carry nothing more, without an end. New ones work.
func (r *Relayer) Silence(a, b string) {
	for _, p := range r.between(a, b) {
		p.silent.Store(true)
	}
}

func (r *Relayer) between(a, b string) []*pair {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*pair
	for p := range r.pairs {
		if p.joins(a, b) || p.joins(b, a) {
			found = append(found, p)
		}
	}
	return found
}

func (r *Relayer) state(link Link) State {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[link]
}

func (r *Relayer) name(addr net.Addr, fallback string) string {
	from := addr.(*net.TCPAddr).AddrPort().Addr().Unmap()
	r.mu.Lock()
	defer r.mu.Unlock()
	if name, ok := r.names[from]; ok {
		return name
	}
	return fallback
}

func (r *Relayer) accept(ctx context.Context, relay Relay, listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.work.Add(1)
		go func() {
			defer r.work.Done()
			r.serve(ctx, relay, conn.(*net.TCPConn))
		}()
	}
}

// serve carries one connection until both directions have ended.
func (r *Relayer) serve(ctx context.Context, relay Relay, near *net.TCPConn) {
	from := r.name(near.RemoteAddr(), relay.Caller)
	there := Link{from, relay.Name}
	if !r.pass(ctx, there) {
		_ = near.Close()
		return
	}
	far, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", relay.Private.String())
	if err != nil {
		abort(near)
		return
	}
	p := &pair{link: there, near: near, far: far.(*net.TCPConn)}
	r.track(p, true)
	defer r.track(p, false)
	stop := context.AfterFunc(ctx, p.reset)
	defer stop()
	ended := make(chan struct{}, 2)
	go func() { r.pump(ctx, p, there, p.near, p.far); ended <- struct{}{} }()
	go func() { r.pump(ctx, p, Link{relay.Name, from}, p.far, p.near); ended <- struct{}{} }()
	<-ended
	<-ended
	_, _ = p.near.Close(), p.far.Close()
}

func (r *Relayer) track(p *pair, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.pairs[p] = true
		return
	}
	delete(r.pairs, p)
}

// pass waits while a link is cut and for its delay. It returns false if ctx ends first.
func (r *Relayer) pass(ctx context.Context, link Link) bool {
	for ctx.Err() == nil {
		state := r.state(link)
		if !state.Cut {
			return waiter.Slept(ctx, state.Delay)
		}
		waiter.Slept(ctx, poll)
	}
	return false
}

// pump copies one direction.
func (r *Relayer) pump(ctx context.Context, p *pair, link Link, from, to *net.TCPConn) {
	buffer := make([]byte, chunk)
	for {
		n, err := from.Read(buffer)
		if p.silent.Load() {
			if err != nil {
				r.hold(ctx, p)
				return
			}
			continue
		}
		if n > 0 || err != nil {
			if !r.pass(ctx, link) {
				return
			}
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				p.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			p.reset()
			return
		}
	}
}

// hold keeps the end of one direction of a silent connection from the other side until that ends too.
func (r *Relayer) hold(ctx context.Context, p *pair) {
	p.ends.Add(1)
	for p.ends.Load() < 2 && waiter.Slept(ctx, poll) {
	}
}

// datagrams carries the datagrams to one process. Each is sent from the public address of its sender, so that an answer
// takes the same way.
func (r *Relayer) datagrams(relay Relay, socket *net.UDPConn) {
	buffer := make([]byte, chunk)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.mu.Lock()
		name := r.names[from.Addr().Unmap()]
		out := r.public[name]
		state := r.links[Link{name, relay.Name}]
		r.mu.Unlock()
		if out == nil || state.Cut || rand.Float64() < state.Loss {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		send := func() { _, _ = out.WriteToUDPAddrPort(data, relay.Private) } // a lost datagram is no fault
		if state.Delay > 0 {
			time.AfterFunc(state.Delay, send)
			continue
		}
		send()
	}
}
