// Package relayer relays TCP connections and UDP datagrams between processes and injects network faults: latency,
// partitions, datagram loss, connection resets and connections that go silent.
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
	// bufferSize is the maximum number of bytes that are relayed at once.
	bufferSize = 32 << 10
	// pollInterval is the time between two checks whether a link is still cut or a silent connection has closed.
	pollInterval = 5 * time.Millisecond
	// dialTimeout bounds the connection attempt to the process behind a relay.
	dialTimeout = 2 * time.Second
)

// Link is one direction of the network path between two processes.
type Link struct {
	From, To string
}

// LinkState describes the faults on a link.
type LinkState struct {
	Cut   bool          // connections stall until the link is restored; datagrams are lost
	Delay time.Duration // added to each connection attempt, relayed buffer and datagram
	Loss  float64       // ratio of datagrams that are lost
}

// Relayer manages the relays of one soak. Its methods may be called concurrently.
type Relayer struct {
	mu         sync.Mutex
	links      map[Link]LinkState
	nameByAddr map[netip.Addr]string   // processes by private address
	udpSockets map[string]*net.UDPConn // sockets at the public addresses, by process
	conns      map[*relayedConn]bool
	work       sync.WaitGroup
}

// New returns a relayer without relays.
func New() *Relayer {
	return &Relayer{
		links: map[Link]LinkState{}, nameByAddr: map[netip.Addr]string{}, udpSockets: map[string]*net.UDPConn{},
		conns: map[*relayedConn]bool{},
	}
}

// Relay forwards traffic from a public address to the process behind it.
type Relay struct {
	Name          string // of the process
	Public        netip.AddrPort
	Private       netip.AddrPort
	DefaultClient string // name of the connecting process if its source address is unknown
	UDP           bool   // relay UDP datagrams too
}

// Open starts a relay that runs until ctx ends. If it relays UDP too, connections and datagrams from its private IP
// address are attributed to its process.
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
	if !relay.UDP {
		return nil
	}
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(relay.Public))
	if err != nil {
		return fmt.Errorf("relay of %s: %w", relay.Name, err)
	}
	r.mu.Lock()
	r.nameByAddr[relay.Private.Addr()] = relay.Name
	r.udpSockets[relay.Name] = socket
	r.mu.Unlock()
	r.work.Add(1)
	go func() {
		defer r.work.Done()
		r.relayDatagrams(relay, socket)
	}()
	context.AfterFunc(ctx, func() { _ = socket.Close() })
	return nil
}

// Wait waits until all relays have ended. They end with the contexts passed to Open.
func (r *Relayer) Wait() {
	r.work.Wait()
}

// UpdateLink changes the state of a link.
func (r *Relayer) UpdateLink(link Link, update func(*LinkState)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state := r.links[link]
	update(&state)
	r.links[link] = state
}

// Heal removes the faults of all links. Silenced connections stay silent.
func (r *Relayer) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.links)
}

// Reset resets the open connections between two processes, in both directions; empty names stand for any.
func (r *Relayer) Reset(a, b string) {
	for _, conn := range r.connsBetween(a, b) {
		conn.reset()
	}
}

// Silence makes the open connections between two processes discard all data without closing. New connections work;
// empty names stand for any.
func (r *Relayer) Silence(a, b string) {
	for _, conn := range r.connsBetween(a, b) {
		conn.silent.Store(true)
	}
}

// connsBetween returns the open connections between two processes; empty names stand for any.
func (r *Relayer) connsBetween(a, b string) []*relayedConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []*relayedConn
	for conn := range r.conns {
		if conn.connects(a, b) || conn.connects(b, a) {
			found = append(found, conn)
		}
	}
	return found
}

func (r *Relayer) state(link Link) LinkState {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.links[link]
}

// clientName returns the name of the process at a source address, or the fallback if the address is unknown.
func (r *Relayer) clientName(addr net.Addr, fallback string) string {
	from := addr.(*net.TCPAddr).AddrPort().Addr().Unmap()
	r.mu.Lock()
	defer r.mu.Unlock()
	if name, ok := r.nameByAddr[from]; ok {
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
			r.relayConn(ctx, relay, conn.(*net.TCPConn))
		}()
	}
}

// relayConn relays one connection until both directions have ended.
func (r *Relayer) relayConn(ctx context.Context, relay Relay, client *net.TCPConn) {
	from := r.clientName(client.RemoteAddr(), relay.DefaultClient)
	toServer := Link{from, relay.Name}
	if !r.waitForLink(ctx, toServer) {
		_ = client.Close()
		return
	}
	server, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", relay.Private.String())
	if err != nil {
		abort(client)
		return
	}
	conn := &relayedConn{link: toServer, client: client, server: server.(*net.TCPConn)}
	r.track(conn, true)
	defer r.track(conn, false)
	stop := context.AfterFunc(ctx, conn.reset)
	defer stop()
	ended := make(chan struct{}, 2)
	go func() { r.copyDirection(ctx, conn, toServer, conn.client, conn.server); ended <- struct{}{} }()
	go func() {
		r.copyDirection(ctx, conn, Link{relay.Name, from}, conn.server, conn.client)
		ended <- struct{}{}
	}()
	<-ended
	<-ended
	_, _ = conn.client.Close(), conn.server.Close()
}

// track adds an open connection to the set of connections or removes a closed one.
func (r *Relayer) track(conn *relayedConn, open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if open {
		r.conns[conn] = true
		return
	}
	delete(r.conns, conn)
}

// waitForLink waits until a link is not cut and its delay has passed. It returns false if ctx ends first.
func (r *Relayer) waitForLink(ctx context.Context, link Link) bool {
	for ctx.Err() == nil {
		state := r.state(link)
		if !state.Cut {
			return waiter.SleepCompleted(ctx, state.Delay)
		}
		waiter.SleepCompleted(ctx, pollInterval)
	}
	return false
}

// copyDirection relays one direction of a connection until that direction ends or the connection is reset.
func (r *Relayer) copyDirection(ctx context.Context, conn *relayedConn, link Link, from, to *net.TCPConn) {
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		if conn.silent.Load() {
			if err != nil {
				r.waitForBothEnds(ctx, conn)
				return
			}
			continue
		}
		if n > 0 || err != nil {
			if !r.waitForLink(ctx, link) {
				return
			}
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				conn.reset()
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		case err != nil:
			conn.reset()
			return
		}
	}
}

// waitForBothEnds records that one direction of a silent connection has ended and waits for the other one to end, so
// that neither side sees the close of the other.
func (r *Relayer) waitForBothEnds(ctx context.Context, conn *relayedConn) {
	conn.closedDirections.Add(1)
	for conn.closedDirections.Load() < 2 && waiter.SleepCompleted(ctx, pollInterval) {
	}
}

// relayDatagrams relays datagrams to one process. Each one is sent from the public address of its sender, so that the
// answer passes through the relay of the sender.
func (r *Relayer) relayDatagrams(relay Relay, socket *net.UDPConn) {
	buffer := make([]byte, bufferSize)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r.mu.Lock()
		name := r.nameByAddr[from.Addr().Unmap()]
		out := r.udpSockets[name]
		state := r.links[Link{name, relay.Name}]
		r.mu.Unlock()
		if out == nil || state.Cut || rand.Float64() < state.Loss {
			continue
		}
		data := append([]byte(nil), buffer[:n]...)
		send := func() { _, _ = out.WriteToUDPAddrPort(data, relay.Private) } // UDP permits loss
		if state.Delay > 0 {
			time.AfterFunc(state.Delay, send)
			continue
		}
		send()
	}
}
