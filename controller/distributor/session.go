package distributor

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
)

// session is one connection of a daemon.
type session struct {
	d       *Distributor
	conn    *framer.Framer
	hello   atomic.Pointer[wire.Hello]
	held    atomic.Uint64
	pending atomic.Pointer[sentUpdate]
	hellos  chan wire.Hello
	replies chan wire.Frame
	slots   chan struct{}
	bye     chan struct{}
}

// sentUpdate is the last update sent on a session.
type sentUpdate struct {
	batch   string
	version uint64
	at      time.Time
}

func newSession(d *Distributor, conn *framer.Framer) *session {
	return &session{
		d:       d,
		conn:    conn,
		hellos:  make(chan wire.Hello),
		replies: make(chan wire.Frame),
		slots:   make(chan struct{}, proposalLimit),
		bye:     make(chan struct{}),
	}
}

// run serves the session until either side ends it.
func (s *session) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan error, 2)
	go func() { done <- s.read(ctx) }()
	go func() { done <- s.write(ctx) }()
	err := <-done
	cancel()
	s.conn.Close()
	<-done
	return err
}

// read takes frames from the daemon and starts the proposals that they ask for.
func (s *session) read(ctx context.Context) error {
	var proposals sync.WaitGroup
	defer proposals.Wait()
	for {
		frame, err := s.conn.Receive(ctx)
		if err != nil {
			return err
		}
		switch {
		case frame.Hello != nil:
			s.held.Store(frame.Hello.Held)
			s.hello.Store(frame.Hello)
			select {
			case s.hellos <- *frame.Hello:
			case <-ctx.Done():
				return ctx.Err()
			}
		case frame.Ack != nil:
			s.held.Store(frame.Ack.Version)
			s.observe(frame.Ack.Version)
		case frame.Claim != nil, frame.Release != nil, frame.Finish != nil:
			select {
			case s.slots <- struct{}{}:
			case <-ctx.Done():
				return ctx.Err()
			}
			proposals.Go(func() {
				s.answer(ctx, frame)
				<-s.slots
			})
		}
	}
}

// answer runs the claim command of a frame and replies with its verdict.
func (s *session) answer(ctx context.Context, frame wire.Frame) {
	cmd := wire.Command{Claim: frame.Claim, Release: frame.Release, Finish: frame.Finish}
	reply := wire.Frame{ID: frame.ID}
	proposeCtx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	result, err := s.d.propose(proposeCtx, cmd)
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

// write sends updates, beats and replies.
func (s *session) write(ctx context.Context) error {
	var hello wire.Hello
	select {
	case hello = <-s.hellos:
	case <-ctx.Done():
		return ctx.Err()
	}
	if to, ok := s.d.nearer(hello.Domain); ok && !hello.Stay {
		return s.conn.Send(ctx, wire.Frame{Refer: &wire.Refer{Addr: to, Domain: hello.Domain}})
	}
	beats := time.NewTicker(framer.BeatInterval)
	defer beats.Stop()
	sent, err := s.start(ctx, hello)
	if err != nil {
		return err
	}
	for {
		view := s.d.view()
		if sent, err = s.update(ctx, hello, sent); err != nil {
			return err
		}
		select {
		case <-view.Changed():
		case hello = <-s.hellos:
			if sent, err = s.start(ctx, hello); err != nil {
				return err
			}
		case reply := <-s.replies:
			err = s.conn.Send(ctx, reply)
		case <-beats.C:
			err = s.conn.Send(ctx, wire.Frame{Beat: &wire.Beat{Version: sent, Fresh: s.d.fresh()}})
		case <-s.bye:
			return s.conn.Send(ctx, wire.Frame{Bye: true})
		case <-ctx.Done():
			return ctx.Err()
		}
		if err != nil {
			return err
		}
	}
}

// start handles a hello and returns the version that the daemon holds.
func (s *session) start(ctx context.Context, hello wire.Hello) (uint64, error) {
	if !hello.Barrier {
		return hello.Held, s.conn.Send(ctx, wire.Frame{Beat: &wire.Beat{Version: hello.Held, Fresh: s.d.fresh()}})
	}
	if err := s.awaitBarrier(ctx, hello); err != nil {
		_ = s.conn.Send(ctx, wire.Frame{Error: "no majority: " + err.Error()})
		return 0, fmt.Errorf("%w: barrier: %v", framer.ErrSession, err)
	}
	return hello.Held, s.conn.Send(ctx, wire.Frame{Beat: &wire.Beat{Version: hello.Held, Fresh: true}})
}

// awaitBarrier waits for the barrier and sends beats meanwhile. Without them the daemon would take a node that is busy
// after a common restart for a silent one, and its next attempt would keep the node busy.
func (s *session) awaitBarrier(ctx context.Context, hello wire.Hello) error {
	ctx, cancel := context.WithTimeout(ctx, barrierTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- s.d.barrier(ctx) }()
	beats := time.NewTicker(framer.BeatInterval)
	defer beats.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-beats.C:
		}
		if err := s.conn.Send(ctx, wire.Frame{Beat: &wire.Beat{Version: hello.Held, Fresh: s.d.fresh()}}); err != nil {
			cancel()
			<-done
			return err
		}
	}
}

// update sends what the daemon lacks and returns the version that it will then hold.
func (s *session) update(ctx context.Context, hello wire.Hello, sent uint64) (uint64, error) {
	view := s.d.view()
	data, err := s.d.frames.get(view, frameKey{hello.Batch, sent, hello.Full && sent == hello.Held})
	if err != nil || data == nil {
		return sent, err
	}
	batch, _ := view.Batch(hello.Batch)
	s.pending.Store(&sentUpdate{batch: hello.Batch, version: batch.Version, at: time.Now()})
	if err := s.conn.SendEncoded(ctx, data); err != nil {
		return sent, err
	}
	return batch.Version, nil
}

// observe records the time from the sending of an update to its ack.
func (s *session) observe(version uint64) {
	sent := s.pending.Load()
	if sent == nil || sent.version != version {
		return
	}
	name := fmt.Sprintf(`bluebell_update_ack_seconds{batch=%q}`, sent.batch)
	metrics.GetOrCreateHistogram(name).UpdateDuration(sent.at)
}
