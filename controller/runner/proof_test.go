package runner

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/coder/websocket"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// proofDuration is the duration of the proof history, in fake time.
const proofDuration = 2 * time.Minute

// ledger holds the versions that were acknowledged to operators, and the proofs that daemons got.
type ledger struct {
	mu      sync.Mutex
	highest uint64            // highest version acknowledged so far
	askedAt map[uint64]uint64 // highest version acknowledged when an ask was made, by ask
	proofs  int
	terms   map[uint64]bool // terms in which a proof was given
}

func (l *ledger) acknowledge(version uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.highest = max(l.highest, version)
}

// ask returns a new ask.
func (l *ledger) ask() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ask := uint64(len(l.askedAt) + 1)
	l.askedAt[ask] = l.highest
	return ask
}

// check fails the test if a proof names a version below one that was acknowledged before the ask.
func (l *ledger) check(t *testing.T, proof wire.Heartbeat, updated, term uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	least, known := l.askedAt[proof.Ask]
	if !known || proof.Newest < least || updated < proof.Newest {
		t.Errorf("ask %d got version %d with update %d, want at least %d", proof.Ask, proof.Newest, updated, least)
	}
	l.proofs++
	l.terms[term] = true
}

// pipeListener accepts the other ends of pipes.
type pipeListener struct {
	conns chan net.Conn
	ctx   context.Context
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// runDaemon keeps a session with random nodes open until ctx ends. It asks for a proof with each heartbeat and checks the
// proofs.
func (c *cluster) runDaemon(ctx context.Context, l *ledger, random *rand.Rand) {
	for ctx.Err() == nil {
		c.runSession(ctx, l, c.nodes[random.IntN(clusterSize)], time.Duration(random.IntN(20))*time.Second)
		time.Sleep(200 * time.Millisecond)
	}
}

// runSession holds a session with a node for the given time, or until the node ends it.
func (c *cluster) runSession(ctx context.Context, l *ledger, n *node, duration time.Duration) {
	running, handler := n.currentRunner(), n.currentHandler()
	if running == nil || handler == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, duration)
	defer cancel()
	listener := &pipeListener{conns: make(chan net.Conn), ctx: ctx}
	server := &http.Server{Handler: handler, BaseContext: func(net.Listener) context.Context { return ctx }}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	defer func() {
		_ = server.Close()
		<-served
	}()
	transport := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		client, server := net.Pipe()
		select {
		case listener.conns <- server:
			return client, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}}
	defer transport.CloseIdleConnections()
	conn, _, err := websocket.Dial(ctx, "ws://node/v1/session", &websocket.DialOptions{HTTPClient: &http.Client{Transport: transport}})
	if err != nil {
		return
	}
	defer func() { _ = conn.CloseNow() }()
	conn.SetReadLimit(encoder.MaxMessage)
	f := framer.New(conn)
	sent := make(chan struct{})
	acks := make(chan uint64, 1)
	go func() {
		defer close(sent)
		sendAsks(ctx, f, l, acks)
	}()
	var updated uint64
	for {
		frame, err := f.Receive(ctx)
		if err != nil || frame.Error != "" {
			break
		}
		switch {
		case frame.Full != nil:
			updated = frame.Full.Batch.Version
			acknowledge(acks, updated)
		case frame.Delta != nil:
			updated = frame.Delta.Version
			acknowledge(acks, updated)
		case frame.Heartbeat != nil && frame.Heartbeat.Ask != 0:
			l.check(c.t, *frame.Heartbeat, updated, running.replicator.Status().Term)
		}
	}
	cancel()
	<-sent
}

// acknowledge replaces the acknowledgement that was not sent yet.
func acknowledge(acks chan uint64, version uint64) {
	select {
	case <-acks:
	default:
	}
	acks <- version
}

// sendAsks sends a hello and then asks for proofs and acknowledges updates until ctx ends.
func sendAsks(ctx context.Context, f *framer.Framer, l *ledger, acks <-chan uint64) {
	frame := wire.Frame{Hello: &wire.Hello{Name: "d", Domain: "f", Batch: "b", Stay: true, Barrier: true}}
	for f.Send(ctx, frame) == nil {
		select {
		case version := <-acks:
			frame = wire.Frame{Ack: &wire.Ack{Version: version}}
		case <-time.After(framer.HeartbeatInterval / 10):
			frame = wire.Frame{Heartbeat: &wire.Heartbeat{Ask: l.ask()}}
		case <-ctx.Done():
			return
		}
	}
}

// runChanger changes the batch until ctx ends.
func (c *cluster) runChanger(ctx context.Context, l *ledger, random *rand.Rand) {
	for ctx.Err() == nil {
		seen, ok := c.readBatch(ctx, random)
		if ok {
			in := changeInput{base: seen.version, content: "s-" + uuid.Must(uuid.NewRandomFromReader(randomReader{random})).String()}
			if out := c.submitChange(ctx, random, in); out.code == "" {
				l.acknowledge(out.version)
			}
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	}
}

// TestProofHistory guards against a proof for a configuration that lacks a change which was acknowledged before the daemon
// asked, although controllers crash, are isolated, lose their disks and elect new leaders meanwhile.
func TestProofHistory(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			l := &ledger{askedAt: map[uint64]uint64{}, terms: map[uint64]bool{}}
			c := newCluster(t, seed)
			c.awaitVoters()
			ctx, cancel := context.WithTimeout(t.Context(), proofDuration)
			defer cancel()
			var clients sync.WaitGroup
			for i := range uint64(2) {
				clients.Go(func() { c.runChanger(ctx, l, rand.New(rand.NewPCG(seed, i+1))) })
			}
			for i := range uint64(4) {
				clients.Go(func() { c.runDaemon(ctx, l, rand.New(rand.NewPCG(seed, i+10))) })
			}
			c.injectFaults(ctx, rand.New(rand.NewPCG(seed, 1000)))
			clients.Wait()
			// Without many proofs, changes and leaders the history proves nothing.
			is.True(l.proofs > 1000)
			is.True(l.highest > 50)
			is.True(len(l.terms) > 3)
		})
	}
}

// TestProofPartition guards against a node that is cut off from the majority and still proves its configuration, and against
// one that gives no proofs after the partition or after its leader is gone.
func TestProofPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := &ledger{askedAt: map[uint64]uint64{}, terms: map[uint64]bool{}}
		c := newCluster(t, 7)
		c.awaitVoters()
		ctx, cancel := context.WithCancel(t.Context())
		random := rand.New(rand.NewPCG(7, 7))
		lead := c.leader()
		follower := (lead + 1) % clusterSize
		var clients sync.WaitGroup
		clients.Go(func() {
			for ctx.Err() == nil {
				c.runSession(ctx, l, c.nodes[follower], time.Hour)
				time.Sleep(100 * time.Millisecond)
			}
		})
		clients.Go(func() { c.runChanger(ctx, l, random) })
		count := func() int {
			l.mu.Lock()
			defer l.mu.Unlock()
			return l.proofs
		}
		time.Sleep(5 * time.Second)
		is.True(count() > 10)

		c.crash(lead)
		time.Sleep(5 * time.Second)
		before := count()
		time.Sleep(5 * time.Second)
		is.True(count() > before) // a new leader confirms reads
		c.start(lead)
		time.Sleep(5 * time.Second)

		c.isolate(follower, true)
		time.Sleep(time.Second) // packets that are under way
		before = count()
		time.Sleep(20 * time.Second)
		is.Equal(count(), before)

		c.isolate(follower, false)
		time.Sleep(10 * time.Second)
		is.True(count() > before)
		cancel()
		clients.Wait()
	})
}

// leader returns the number of the node that leads.
func (c *cluster) leader() int {
	for {
		for i, n := range c.nodes {
			if running := n.currentRunner(); running != nil && running.replicator.Status().Role == "leader" {
				return i
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
}
