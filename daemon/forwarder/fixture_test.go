package forwarder_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/forwarder"
)

var (
	egressAddr   = netip.MustParseAddrPort("10.0.0.1:80")
	upstreamAddr = netip.MustParseAddrPort("10.0.0.9:80")
)

// network connects addresses by net.Pipe, so that time in a synctest bubble advances while connections wait. Benchmarks
// use loopback TCP instead.
type network struct {
	loopback      bool
	mu            sync.Mutex
	listeners     map[netip.AddrPort]*listener
	open, maxOpen int // connections to the upstream: open now, and the highest number at one time
}

type listener struct {
	tcp    net.Listener // set only on loopback
	conns  chan net.Conn
	done   context.Context
	stop   context.CancelFunc
	silent *atomic.Bool // shared by the connections that are open now
}

func (l *listener) Close() error   { l.stop(); return nil }
func (l *listener) Addr() net.Addr { return &net.TCPAddr{} }
func (l *listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done.Done():
		return nil, net.ErrClosed
	}
}

// pipe is one end of a connection. Once it is silent, the other end receives nothing from it, not even its close.
type pipe struct {
	net.Conn
	silent *atomic.Bool
	closed func()
}

func (p *pipe) RemoteAddr() net.Addr { return &net.TCPAddr{IP: net.IPv4(192, 0, 2, 7), Port: 7} }

func (p *pipe) Write(b []byte) (int, error) {
	if p.silent.Load() {
		return len(b), nil
	}
	return p.Conn.Write(b)
}

func (p *pipe) Close() error {
	p.closed()
	if p.silent.Load() {
		return p.SetReadDeadline(time.Now())
	}
	return p.Conn.Close()
}

func (n *network) listen(addr netip.AddrPort) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{conns: make(chan net.Conn), silent: &atomic.Bool{}}
	l.done, l.stop = context.WithCancel(context.Background())
	n.listeners[addr] = l
	if n.loopback {
		l.tcp, _ = net.Listen("tcp", "127.0.0.1:0")
		return l.tcp
	}
	return l
}

func (n *network) dial(ctx context.Context, addr netip.AddrPort) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errors.New("connection refused")
	}
	if n.loopback {
		return net.Dial("tcp", l.tcp.Addr().String())
	}
	near, far := net.Pipe()
	select {
	case l.conns <- &pipe{far, l.silent, func() {}}:
		n.count(addr, 1)
		return &pipe{near, l.silent, sync.OnceFunc(func() { n.count(addr, -1) })}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// silence makes the open connections to addr silent. New connections work.
func (n *network) silence(addr netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr].silent.Store(true)
	l := *n.listeners[addr]
	l.silent = &atomic.Bool{}
	n.listeners[addr] = &l
}

func (n *network) count(addr netip.AddrPort, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if addr == upstreamAddr {
		n.open += change
		n.maxOpen = max(n.maxOpen, n.open)
	}
}

// maxOpenConns returns the highest number of connections to the upstream that were open at one time.
func (n *network) maxOpenConns() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.maxOpen
}

// mesh consists of an egress side, members with an ingress side, and one upstream that all members share.
type mesh struct {
	t       testing.TB
	is      *is.I
	net     network
	metrics *metrics.Set
	client  *http.Client
	egress  *forwarder.Forwarder
	members []wire.Member
	claims  claims

	snapshot *compiler.Snapshot
	service  string // service of the upstream
	maxConns int    // connections that the upstream accepts
	slotErr  error  // error that every member returns for a slot
	onSlot   func() // called when a member waits for a slot; optional
	account  *accountant.Account
	budget   budget

	mu              sync.Mutex
	picks           int
	routerOutcomes  []forwarder.Outcome // reported to the router
	limiterOutcomes []forwarder.Outcome // reported to the limiter
}

func newMesh(t testing.TB, members int, loopback bool) *mesh {
	m := &mesh{t: t, is: is.New(t), metrics: metrics.NewSet(), maxConns: 8, service: "stock"}
	m.net.loopback, m.net.listeners = loopback, map[netip.AddrPort]*listener{}
	m.claims.grants, m.claims.done = map[string]wire.Claim{}, map[string]bool{}
	m.snapshot = snapshot(t, time.Now().Add(time.Hour))
	m.account = accountant.New(accountant.WithMemory(1 << 20))
	m.egress = forwarder.New(forwarder.WithSnapshot(func() *compiler.Snapshot { return m.snapshot }),
		forwarder.WithPick(m.pick), forwarder.WithDial(m.net.dial), forwarder.WithMetrics(m.metrics), forwarder.WithBudget(m.budget.functions()),
		forwarder.WithAccount(m.account))
	m.serve(egressAddr, forwarder.NewCallServer(m.egress.Egress()))
	for range members {
		m.addMember(m.newIngress().Ingress())
	}
	m.client = m.newClient(egressAddr)
	t.Cleanup(m.egress.Close)
	return m
}

// newClient returns a client that sends all calls to addr.
func (m *mesh) newClient(addr netip.AddrPort) *http.Client {
	transport := &http.Transport{DisableCompression: true, DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return m.net.dial(ctx, addr)
	}}
	m.t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport}
}

// run calls f in a subtest and a synctest bubble, with a mesh of the given number of members.
func run(t *testing.T, name string, members int, f func(m *mesh)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { f(newMesh(t, members, false)) })
	})
}

// addMember adds a member with the given ingress handler. If h is nil, the member refuses connections.
func (m *mesh) addMember(h http.Handler) {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, byte(len(m.members))}), 80)
	m.members = append(m.members, wire.Member{Name: addr.String(), Addr: addr})
	if h != nil {
		m.serve(addr, forwarder.NewPeerServer(h))
	}
}

func (m *mesh) newIngress() *forwarder.Forwarder {
	f := forwarder.New(
		forwarder.WithUpstream(func() (wire.Upstream, bool) {
			return wire.Upstream{Address: upstreamAddr, Service: m.service, Conns: m.maxConns}, true
		}),
		forwarder.WithSnapshot(func() *compiler.Snapshot { return m.snapshot }),
		forwarder.WithAcquire(func(context.Context, string) (func(forwarder.Outcome), error) {
			if m.onSlot != nil {
				m.onSlot()
			}
			return func(o forwarder.Outcome) { m.record(&m.limiterOutcomes, o) }, m.slotErr
		}),
		forwarder.WithLoad(func() int { return 3 }),
		forwarder.WithClaim(m.claims.claim), forwarder.WithRelease(m.claims.release), forwarder.WithFinish(m.claims.finish),
		forwarder.WithDial(m.net.dial), forwarder.WithMetrics(m.metrics), forwarder.WithBudget(m.budget.functions()))
	m.t.Cleanup(f.Close)
	return f
}

func (m *mesh) serve(addr netip.AddrPort, s *http.Server) {
	l := m.net.listen(addr)
	go s.Serve(l)
	m.t.Cleanup(func() { s.Close() })
}

// upstream starts the upstream with the handler h.
func (m *mesh) upstream(h http.HandlerFunc) {
	m.serve(upstreamAddr, &http.Server{Handler: h})
}

// rawUpstream starts an upstream that calls f for each connection.
func (m *mesh) rawUpstream(f func(net.Conn)) {
	l := m.net.listen(upstreamAddr)
	m.t.Cleanup(func() { l.Close() })
	go func() {
		for conn, err := l.Accept(); err == nil; conn, err = l.Accept() {
			go func() { defer conn.Close(); f(conn) }()
		}
	}()
}

func (m *mesh) record(to *[]forwarder.Outcome, o forwarder.Outcome) {
	m.mu.Lock()
	defer m.mu.Unlock()
	*to = append(*to, o)
}

func (m *mesh) pick(_ string, skip []string) (wire.Member, func(forwarder.Outcome), error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.picks++
	for _, member := range m.members {
		if !slices.Contains(skip, member.Name) {
			return member, func(o forwarder.Outcome) { m.record(&m.routerOutcomes, o) }, nil
		}
	}
	return wire.Member{}, nil, errors.New("no member left")
}

// call sends one call and returns the response, its body, and the error of sending the call or reading the body.
func (m *mesh) call(method, service, body string, header ...string) (*http.Response, string, error) {
	req, err := http.NewRequest(method, "http://"+service+"/run?x=1", strings.NewReader(body))
	m.is.NoErr(err)
	for i := 0; i < len(header); i += 2 {
		req.Header.Add(header[i], header[i+1])
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// expect checks the status and outcome of a response. It may be called from any goroutine.
func (m *mesh) expect(resp *http.Response, err error, status int, outcome string) {
	m.t.Helper()
	if err != nil {
		m.t.Errorf("error %v, want status %d", err, status)
		return
	}
	if got := resp.Header.Get(forwarder.HeaderOutcome); resp.StatusCode != status || got != outcome {
		m.t.Errorf("status %d, outcome %q, want %d, %q", resp.StatusCode, got, status, outcome)
	}
}

func snapshot(t testing.TB, until time.Time) *compiler.Snapshot {
	return newSnapshot(t, wire.Batch{Name: "counter", Version: 1, Until: until.UnixMilli(), Services: []wire.Service{
		{Name: "archive", Class: compiler.Bulk, Limit: 10 * time.Second},
		{Name: "payout", Class: compiler.Urgent, Limit: 5 * time.Second, Once: true},
		{Name: "stock", Class: compiler.Normal, Limit: 10 * time.Second},
	}})
}

func newSnapshot(t testing.TB, batch wire.Batch) *compiler.Snapshot {
	sum, err := compiler.Checksum(batch)
	is.New(t).NoErr(err)
	s, err := compiler.New(batch, sum)
	is.New(t).NoErr(err)
	return s
}

// bubbleStart is the time at which each synctest bubble starts.
var bubbleStart = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// newKey returns a UUIDv7 with the given time. uuid.NewV7 cannot be used because its times never decrease.
func newKey(at time.Time) string {
	id := uuid.New()
	binary.BigEndian.PutUint64(id[:], uint64(at.UnixMilli())<<16|7<<12)
	return id.String()
}

// claims is a fake of the controllers that grants each key to one attempt.
type claims struct {
	mu          sync.Mutex
	grants      map[string]wire.Claim
	done        map[string]bool
	loseAnswers int // number of verdicts to lose after granting the claim
}

func (c *claims) claim(_ context.Context, claim wire.Claim) (wire.Verdict, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	held, exists := c.grants[claim.Key]
	switch {
	case !exists:
		c.grants[claim.Key] = claim
	case held.Digest != claim.Digest:
		return wire.Verdict{State: "mismatch"}, nil
	case c.done[claim.Key]:
		return wire.Verdict{State: "done", Status: held.Status, Kind: held.Kind, Complete: held.Complete, Body: held.Body}, nil
	case held.Attempt != claim.Attempt:
		return wire.Verdict{State: "running"}, nil
	}
	if c.loseAnswers--; c.loseAnswers >= 0 {
		return wire.Verdict{}, errors.New("answer lost")
	}
	return wire.Verdict{State: "granted"}, nil
}

func (c *claims) release(claim wire.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.grants[claim.Key].Attempt == claim.Attempt {
		delete(c.grants, claim.Key)
	}
}

func (c *claims) finish(claim wire.Claim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants[claim.Key], c.done[claim.Key] = claim, true
}
