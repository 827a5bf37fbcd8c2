package subscriber

import (
	"time"

	"bluebellhoist/core/wire"
)

// proof shows that the configuration in effect was current when the daemon asked for it.
type proof struct {
	asked time.Duration // on the clock of the subscriber
}

// WithProofs makes the daemon ask its controller for proofs that its configuration is current while needed returns true. The
// clock must advance while the VM is suspended and must never go back.
func WithProofs(clock func() (time.Duration, error), needed func() bool) Option {
	return func(s *Subscriber) { s.clock, s.proofsNeeded = clock, needed }
}

// ProofAge returns the time since the configuration in effect is known to have been current, or false without a proof. It
// covers the configuration that Snapshot returns afterwards.
func (s *Subscriber) ProofAge() (time.Duration, bool) {
	p := s.proof.Load()
	if p == nil {
		return 0, false
	}
	now, err := s.clock()
	if err != nil || now < p.asked {
		return 0, false
	}
	return now - p.asked, true
}

// newHeartbeat returns the heartbeat to send, which asks for a proof if proofs are needed. The time is read before the
// frame is sent, so that it is not later than the start of the controller's read.
func (s *Subscriber) newHeartbeat() wire.Frame {
	heartbeat := &wire.Heartbeat{}
	if s.proofsNeeded() {
		now, err := s.clock()
		if err != nil {
			s.log.Error("clock cannot be read; calls with a key are refused", "error", err)
		} else {
			heartbeat.Ask = uint64(now)
		}
	}
	return wire.Frame{Heartbeat: heartbeat}
}

// recordProof stores the proof in a heartbeat if the configuration in effect is at least the newest one that the controller
// found. A controller that finds no configuration at all is not one of this daemon's.
func (s *Subscriber) recordProof(heartbeat wire.Heartbeat) {
	inEffect := s.Snapshot()
	if heartbeat.Ask == 0 || heartbeat.Newest == 0 || inEffect == nil || inEffect.Version() < heartbeat.Newest {
		return
	}
	asked := time.Duration(heartbeat.Ask)
	if now, err := s.clock(); err != nil || asked > now {
		return // not an ask of this process
	}
	if last := s.proof.Load(); last == nil || asked > last.asked {
		s.proof.Store(&proof{asked: asked})
	}
}
