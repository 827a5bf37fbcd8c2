package distributor

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// proofTimeout bounds the linearizable read that asks wait for. Daemons ask again twice a second, so a read that takes
	// longer is given up in favor of one for the newer asks.
	proofTimeout = time.Second
	// proofInterval is the minimum time between the starts of two reads. It bounds the load on the leader, whatever the number
	// of daemons.
	proofInterval = 50 * time.Millisecond
)

var (
	proofReads    = metrics.NewCounter(`bluebell_proof_reads_total{result="confirmed"}`)
	proofFailures = metrics.NewCounter(`bluebell_proof_reads_total{result="failed"}`)
)

// prover runs the linearizable reads that the asks of daemons wait for. At most one read is in flight. The next one covers all
// asks that have arrived since the last one started.
type prover struct {
	barrier func(context.Context) error
	arrived chan struct{} // signals that an ask waits; capacity 1

	mu      sync.Mutex
	waiting map[*session]uint64 // latest ask of each session
}

func newProver() *prover {
	return &prover{arrived: make(chan struct{}, 1), waiting: map[*session]uint64{}}
}

// ask registers an ask of a session. It replaces an earlier one that no read covers yet. It does not block.
func (p *prover) ask(s *session, ask uint64) {
	p.mu.Lock()
	p.waiting[s] = ask
	p.mu.Unlock()
	select {
	case p.arrived <- struct{}{}:
	default:
	}
}

// forget removes the ask of a session that has ended.
func (p *prover) forget(s *session) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, s)
}

// take returns the waiting asks and removes them.
func (p *prover) take() map[*session]uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	asks := p.waiting
	p.waiting = make(map[*session]uint64, len(asks))
	return asks
}

// run answers asks until ctx ends.
func (p *prover) run(ctx context.Context) error {
	for {
		select {
		case <-p.arrived:
		case <-ctx.Done():
			return ctx.Err()
		}
		pause := time.After(proofInterval)
		p.answer(ctx)
		select {
		case <-pause:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// answer runs one read for all waiting asks and passes them on to the writers of their sessions. If the read fails, the asks
// get no answer.
func (p *prover) answer(ctx context.Context) {
	asks := p.take()
	if len(asks) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, proofTimeout)
	defer cancel()
	if err := p.barrier(ctx); err != nil {
		proofFailures.Inc()
		return
	}
	proofReads.Inc()
	for s, ask := range asks {
		s.offerProof(ask)
	}
}
