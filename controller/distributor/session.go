package distributor

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// session is one connection of a daemon. Only the writer sends on the connection, only the reader receives.
type session struct {
	distributor   *Distributor
	conn          *framer.Framer
	hello         atomic.Pointer[wire.Hello] // last hello received
	heldVersion   atomic.Uint64              // version in effect on the daemon
	lastUpdate    atomic.Pointer[sentUpdate]
	acked         chan struct{}   // from the reader to the writer, after heldVersion has grown
	unacked       []uint64        // versions sent that the daemon has not acknowledged, in order; used by the writer only
	hellos        chan wire.Hello // from the reader to the writer
	replies       chan wire.Frame // from the proposals to the writer
	proofs        chan uint64     // asks that a linearizable read covers, from the prover to the writer; capacity 1
	proposalSlots chan struct{}   // semaphore that bounds the proposals in flight
	stopping      chan struct{}   // closed when the controller stops
}

// sentUpdate describes an update that was sent on a session.
type sentUpdate struct {
	batch   string
	version uint64
	at      time.Time
}

// newSession returns a session on conn, which run serves.
func newSession(d *Distributor, conn *framer.Framer) *session {
	return &session{
		distributor:   d,
		conn:          conn,
		acked:         make(chan struct{}, 1),
		hellos:        make(chan wire.Hello),
		replies:       make(chan wire.Frame),
		proofs:        make(chan uint64, 1),
		proposalSlots: make(chan struct{}, maxProposals),
		stopping:      make(chan struct{}),
	}
}

// run serves the session until either side ends it.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 2)
	go func() { done <- s.readLoop(ctx) }()
	go func() { done <- s.writeLoop(ctx) }()
	err := <-done
	cancel()
	s.conn.Close()
	<-done
	return err
}

// readLoop handles the daemon's frames and starts a proposal for each claim, release, finish or departure.
func (s *session) readLoop(ctx context.Context) error {
	var proposals sync.WaitGroup
	defer proposals.Wait()
	for {
		frame, err := s.conn.Receive(ctx)
		if err != nil {
			return err
		}
		switch {
		case frame.Hello != nil:
			s.heldVersion.Store(frame.Hello.Held)
			s.hello.Store(frame.Hello)
			select {
			case s.hellos <- *frame.Hello:
			case <-ctx.Done():
				return ctx.Err()
			}
		case frame.Ack != nil:
			s.heldVersion.Store(frame.Ack.Version)
			s.observeAck(frame.Ack.Version)
			select {
			case s.acked <- struct{}{}:
			default: // the writer has yet to see an earlier one
			}
		case frame.Heartbeat != nil:
			if frame.Heartbeat.Ask != 0 {
				s.distributor.prover.ask(s, frame.Heartbeat.Ask)
			}
		case frame.Claim != nil, frame.Release != nil, frame.Finish != nil, frame.Leave != nil:
			select {
			case s.proposalSlots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			proposals.Go(func() {
				s.handleRequest(ctx, frame)
				<-s.proposalSlots
			})
		}
	}
}

// handleRequest proposes the claim, release, finish or departure in a frame and replies with its verdict.
func (s *session) handleRequest(ctx context.Context, frame wire.Frame) {
	cmd := wire.Command{Claim: frame.Claim, Release: frame.Release, Finish: frame.Finish}
	if hello := s.hello.Load(); frame.Leave != nil && hello != nil {
		cmd.Leave = &wire.Leave{Name: hello.Name, Gone: *frame.Leave}
	}
	reply := wire.Frame{ID: frame.ID}
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.distributor.propose(proposeCtx, cmd)
	switch {
	case err != nil:
		reply.Error = err.Error()
	case result.Verdict == nil:
		reply.Error = result.Error
	default:
		reply.Verdict = result.Verdict
	}
	select {
	case s.replies <- reply:
	case <-ctx.Done():
	}
}

// writeLoop waits for the hello and then sends updates, heartbeats and replies. A daemon that has a controller in its own
// failure domain is referred to that one instead, unless it asked to stay.
func (s *session) writeLoop(ctx context.Context) error {
	var hello wire.Hello
	select {
	case hello = <-s.hellos:
	case <-ctx.Done():
		return ctx.Err()
	}
	if hello.Watch {
		return s.serveWatch(ctx, hello.Batch)
	}
	if to, ok := s.distributor.referTo(hello.Domain); ok && !hello.Stay {
		return s.conn.Send(ctx, wire.Frame{Refer: &wire.Refer{Addr: to, Domain: hello.Domain}})
	}
	heartbeats := time.NewTicker(framer.HeartbeatInterval)
	defer heartbeats.Stop()
	sent, err := s.handleHello(ctx, hello)
	if err != nil {
		return err
	}
	for {
		view := s.distributor.view()
		if sent, err = s.sendUpdate(ctx, hello, sent); err != nil {
			return err
		}
		select {
		case <-view.Changed():
		case <-s.acked:
		case hello = <-s.hellos:
			if sent, err = s.handleHello(ctx, hello); err != nil {
				return err
			}
		case reply := <-s.replies:
			err = s.conn.Send(ctx, reply)
		case ask := <-s.proofs:
			sent, err = s.sendProof(ctx, hello, sent, ask)
		case <-heartbeats.C:
			err = s.conn.Send(ctx, wire.Frame{Heartbeat: &wire.Heartbeat{Version: sent, Fresh: s.distributor.fresh()}})
		case <-s.stopping:
			return s.conn.Send(ctx, wire.Frame{Bye: true})
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// handleHello waits for the barrier if the hello asks for one, confirms the session with a heartbeat and returns the version
// that the daemon holds. After a barrier it first sends the departures of the daemon's VM. Updates that were sent before no
// longer count: the daemon has rejected one of them.
func (s *session) handleHello(ctx context.Context, hello wire.Hello) (uint64, error) {
	s.unacked = nil
	if !hello.Barrier {
		return hello.Held, s.conn.Send(ctx, wire.Frame{Heartbeat: &wire.Heartbeat{Version: hello.Held, Fresh: s.distributor.fresh()}})
	}
	if err := s.awaitBarrier(ctx, hello); err != nil {
		_ = s.conn.Send(ctx, wire.Frame{Error: "no majority: " + err.Error()})
		return 0, fmt.Errorf("%w: barrier: %v", framer.ErrSession, err)
	}
	if err := s.conn.Send(ctx, wire.Frame{Gone: &wire.Gone{List: s.distributor.gone(hello.Name)}}); err != nil {
		return 0, err
	}
	return hello.Held, s.conn.Send(ctx, wire.Frame{Heartbeat: &wire.Heartbeat{Version: hello.Held, Fresh: true}})
}

// awaitBarrier runs the barrier and sends heartbeats meanwhile. After all nodes have restarted together, a node may be busy
// for long. Without heartbeats a daemon would give up and reconnect, which would add to the load.
func (s *session) awaitBarrier(ctx context.Context, hello wire.Hello) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.distributor.barrier(ctx) }()
	heartbeats := time.NewTicker(framer.HeartbeatInterval)
	defer heartbeats.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-heartbeats.C:
		}
		if err := s.conn.Send(ctx, wire.Frame{Heartbeat: &wire.Heartbeat{Version: hello.Held, Fresh: s.distributor.fresh()}}); err != nil {
			cancel()
			<-done
			return err
		}
	}
}

// sendUpdate sends the update that the daemon lacks, if any, and returns the version last sent. The daemon may reject the
// update and ask for a full snapshot with another hello. While MaxUnacknowledged updates are unacknowledged it sends none:
// the next one then holds all changes since.
func (s *session) sendUpdate(ctx context.Context, hello wire.Hello, sent uint64) (uint64, error) {
	held := s.heldVersion.Load()
	s.unacked = slices.DeleteFunc(s.unacked, func(version uint64) bool { return version <= held })
	if len(s.unacked) >= MaxUnacknowledged {
		return sent, nil
	}
	view := s.distributor.view()
	data, err := s.distributor.cache.get(view, frameKey{hello.Batch, sent, hello.Full && sent == hello.Held})
	if err != nil || data == nil {
		return sent, err
	}
	batch, _ := view.Batch(hello.Batch)
	if len(data) >= announceBytes {
		if err := s.conn.Send(ctx, wire.Frame{Coming: batch.Version}); err != nil {
			return sent, err
		}
	}
	s.lastUpdate.Store(&sentUpdate{batch: hello.Batch, version: batch.Version, at: time.Now()})
	if err := s.conn.SendEncoded(ctx, data); err != nil {
		return sent, err
	}
	s.unacked = append(s.unacked, batch.Version)
	return batch.Version, nil
}

// offerProof passes an ask that a linearizable read covers to the writer, in place of an earlier one that it has not sent. Only
// the prover calls it. It does not block.
func (s *session) offerProof(ask uint64) {
	select {
	case <-s.proofs:
	default:
	}
	s.proofs <- ask
}

// sendProof answers an ask after the read that covers it: with the updates that the daemon lacks and then a heartbeat with the
// newest version of the batch. It returns the version last sent. It gives no answer while an update has to wait for
// acknowledgements; the daemon asks again.
func (s *session) sendProof(ctx context.Context, hello wire.Hello, sent, ask uint64) (uint64, error) {
	// The view must be read after the linearizable read and before the updates are sent, which then contain its versions.
	newest, _ := s.distributor.view().Batch(hello.Batch)
	sent, err := s.sendUpdate(ctx, hello, sent)
	if err != nil || sent < newest.Version {
		return sent, err
	}
	heartbeat := &wire.Heartbeat{Version: sent, Fresh: s.distributor.fresh(), Ask: ask, Newest: newest.Version}
	return sent, s.conn.Send(ctx, wire.Frame{Heartbeat: heartbeat})
}

// observeAck records the time from sending the last update to its acknowledgement.
func (s *session) observeAck(version uint64) {
	sent := s.lastUpdate.Load()
	if sent == nil || sent.version != version {
		return
	}
	name := fmt.Sprintf(`bluebell_update_ack_seconds{batch=%q}`, sent.batch)
	metrics.GetOrCreateHistogram(name).UpdateDuration(sent.at)
}
