package distributor_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/framer"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// startProving runs the part of the distributor that answers asks, until the test ends.
func (f *fixture) startProving(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.distributor.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

func (d *fakeDaemon) ask(ask uint64) {
	d.t.Helper()
	d.send(wire.Frame{Heartbeat: &wire.Heartbeat{Ask: ask}})
}

// receiveAny returns the next frame.
func (d *fakeDaemon) receiveAny() wire.Frame {
	d.t.Helper()
	_, data, err := d.conn.Read(d.t.Context())
	is.New(d.t).NoErr(err)
	frame, err := framer.Decode(data)
	is.New(d.t).NoErr(err)
	return frame
}

// receiveProof acknowledges updates and returns the next answer to an ask, and the version of the last update before it.
func (d *fakeDaemon) receiveProof() (proof wire.Heartbeat, updated uint64) {
	d.t.Helper()
	for {
		frame := d.receiveAny()
		switch {
		case frame.Full != nil:
			updated = frame.Full.Batch.Version
			d.send(wire.Frame{Ack: &wire.Ack{Version: updated}})
		case frame.Delta != nil:
			updated = frame.Delta.Version
			d.send(wire.Frame{Ack: &wire.Ack{Version: updated}})
		case frame.Heartbeat != nil && frame.Heartbeat.Ask != 0:
			return *frame.Heartbeat, updated
		}
	}
}

// receivePlain returns the next heartbeats that answer no ask, and fails the test if one does.
func (d *fakeDaemon) receivePlain(count int) {
	d.t.Helper()
	for count > 0 {
		frame := d.receiveAny()
		if frame.Heartbeat == nil {
			continue
		}
		is.New(d.t).Equal(frame.Heartbeat.Ask, uint64(0))
		count--
	}
}

// TestProof guards against an answer that names another ask or version than the newest, or that arrives before the update.
func TestProof(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.startProving(t)
	f.applyChange(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1"})
	d.ask(77)
	proof, updated := d.receiveProof()
	is.Equal(proof.Ask, uint64(77))
	is.Equal(proof.Newest, uint64(1))
	is.Equal(proof.Version, uint64(1))
	is.Equal(updated, uint64(1))
}

// TestProofAfterBarrier guards against an answer by a view that was read before the linearizable read ended, and against one
// that the daemon gets before the update of that view.
func TestProofAfterBarrier(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.applyChange(t, "1", "a")
	version := uint64(1)
	f.barrierEnd = func() {
		version++
		f.applyChange(t, strconv.FormatUint(version, 10), "a", "b"+strconv.FormatUint(version, 10))
	}
	f.startProving(t)
	d := f.connect(t, wire.Hello{Name: "d1", Held: 1})

	for ask := uint64(1); ask <= 10; ask++ {
		d.ask(ask)
		proof, updated := d.receiveProof()
		is.Equal(proof.Ask, ask)
		is.Equal(proof.Newest, ask+1)
		is.Equal(updated, ask+1)
	}
}

// awaitBarriers waits until the given number of linearizable reads have started.
func (f *fixture) awaitBarriers(t *testing.T, count int64) {
	t.Helper()
	for f.barrierCount.Load() < count {
		time.Sleep(time.Millisecond)
	}
	is.New(t).Equal(f.barrierCount.Load(), count)
}

// TestProofShared guards against a linearizable read for each daemon, which would overload the leader, and against an ask that
// is answered by a read that began before it arrived.
func TestProofShared(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.barrierGate = make(chan struct{})
	f.startProving(t)
	f.applyChange(t, "1", "a")
	first := f.connect(t, wire.Hello{Name: "d0", Held: 1})
	first.ask(1)
	f.awaitBarriers(t, 1)
	var others []*fakeDaemon
	for range 20 {
		d := f.connect(t, wire.Hello{Name: "d", Held: 1})
		d.ask(2)
		d.ask(3) // replaces the ask before
		// Frames are handled in order, so the reply shows that the asks have arrived.
		d.send(wire.Frame{ID: 1, Claim: &wire.Claim{}})
		is.Equal(d.receive().ID, uint64(1))
		others = append(others, d)
	}
	is.Equal(f.barrierCount.Load(), int64(1))
	close(f.barrierGate)
	proof, _ := first.receiveProof()
	is.Equal(proof.Ask, uint64(1))
	for _, d := range others {
		proof, _ := d.receiveProof()
		is.Equal(proof.Ask, uint64(3))
	}
	is.Equal(f.barrierCount.Load(), int64(2))
}

// TestProofWithoutMajority guards against a controller without a majority that answers asks, and against one that stops sending
// heartbeats because its reads fail.
func TestProofWithoutMajority(t *testing.T) {
	f := newFixture(t)
	f.startProving(t)
	f.applyChange(t, "1", "a")
	f.barrierErr.Store(&errNoMajority)
	d := f.connect(t, wire.Hello{Name: "d1", Held: 1})
	d.ask(7)
	d.receivePlain(3)
	f.barrierErr.Store(nil)
	d.ask(8)
	proof, _ := d.receiveProof()
	is.New(t).Equal(proof.Ask, uint64(8)) // not the one that the failed read covered
}

// TestProofDoesNotBlock guards against a session whose updates, replies and heartbeats wait for a linearizable read.
func TestProofDoesNotBlock(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	f.barrierGate = make(chan struct{})
	f.startProving(t)
	f.applyChange(t, "1", "a")
	d := f.connect(t, wire.Hello{Name: "d1", Held: 1})
	d.ask(7)
	f.awaitBarriers(t, 1)
	f.applyChange(t, "2", "b")
	is.Equal(d.receive().Delta.Version, uint64(2))
	d.send(wire.Frame{ID: 9, Claim: &wire.Claim{}})
	is.Equal(d.receive().ID, uint64(9))
	d.receivePlain(2)
	close(f.barrierGate)
	proof, _ := d.receiveProof()
	is.Equal(proof.Newest, uint64(2))
}

// TestProofOfEndedSession guards against a read that blocks or fails because a daemon left while its ask waited.
func TestProofOfEndedSession(t *testing.T) {
	f := newFixture(t)
	f.barrierGate = make(chan struct{})
	f.startProving(t)
	f.applyChange(t, "1", "a")
	gone := f.connect(t, wire.Hello{Name: "gone", Held: 1})
	gone.ask(1)
	f.awaitBarriers(t, 1)
	gone.ask(2)
	_ = gone.conn.CloseNow()
	for len(f.distributor.Daemons()) > 0 {
		time.Sleep(time.Millisecond)
	}
	d := f.connect(t, wire.Hello{Name: "d1", Held: 1})
	d.ask(3)
	close(f.barrierGate)
	proof, _ := d.receiveProof()
	is.New(t).Equal(proof.Ask, uint64(3))
	is.New(t).Equal(f.distributor.Daemons(), []presenter.Daemon{{Name: "d1", Batch: "counter", Held: 1}})
}
