package spender

import (
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/carrier"
	"bluebellhoist/core/wire"
)

// startRound asks for tokens for the calls that wait, or refuses them if all controllers have refused tokens lately.
func (l *Ledger) startRound(now time.Duration, t *tenant) {
	t.round = &round{started: now}
	l.rounds = append(l.rounds, t)
	l.continueRound(now, t)
}

// continueRound asks the next controller if calls still wait. It ends the round if none wait or no controller is left.
func (l *Ledger) continueRound(now time.Duration, t *tenant) {
	switch {
	case t.round == nil:
		return
	case len(t.waiting) == 0:
		l.endRound(now, t)
		return
	}
	if controller, ok := l.nextController(now, t); ok {
		l.ask(now, t, controller)
		return
	}
	if until := l.awaitedUntil(now, t); until > now {
		t.round.nextTry = until
		return
	}
	l.endRound(now, t)
}

// nextController returns the first controller that was not asked in this round, allots tokens as far as is known, and has not
// refused tokens of the tenant lately. If all are skipped, the first one is asked nevertheless.
func (l *Ledger) nextController(now time.Duration, t *tenant) (netip.AddrPort, bool) {
	if t.round.tries >= maxTries {
		return netip.AddrPort{}, false
	}
	var skipped netip.AddrPort
	refused := false
	for _, controller := range l.controllers() {
		switch {
		case t.blocked[controller] > now:
			refused = true
		case slices.Contains(t.round.asked, controller):
		case l.skippedUntil[controller] > now:
			if !skipped.IsValid() {
				skipped = controller
			}
		default:
			return controller, true
		}
	}
	return skipped, skipped.IsValid() && !refused && len(t.round.asked) == 0
}

// decline skips a controller that does not allot tokens, for example since it is no voter.
func (l *Ledger) decline(now time.Duration, asked *ask) {
	l.skippedUntil[asked.to] = now + skipTime
	if round := asked.tenant.round; round != nil && asked.sent >= round.started {
		round.tries--
	}
	l.continueRound(now, asked.tenant)
}

// ask asks a controller for tokens for the calls that wait, and for those that are expected within half of the validity of
// tokens.
func (l *Ledger) ask(now time.Duration, t *tenant, controller netip.AddrPort) {
	validity := l.bound().Validity(t.limit, l.voters)
	count := min(len(t.waiting), carrier.MaxCount)
	extra := min(int(t.demand.rate(now)*validity.Seconds()/2), carrier.MaxCount)
	l.lastSeq++
	l.pruneAsks(now)
	l.asks[l.lastSeq] = &ask{to: controller, tenant: t, sent: now, tokens: count + extra}
	t.round.asked = append(t.round.asked, controller)
	t.round.tries++
	t.round.nextTry = now + tryTime
	l.outgoing = append(l.outgoing, Datagram{To: controller, Message: wire.Quota{
		Kind: carrier.Ask, Seq: l.lastSeq, Batch: l.batch,
		Items: []wire.QuotaItem{{Tenant: t.name, Mod: t.limit.Mod, Count: count, Extra: extra}},
	}})
}

// pruneAsks removes asks whose answers would be ignored.
func (l *Ledger) pruneAsks(now time.Duration) {
	if len(l.asks) < minPruneSize {
		return
	}
	for seq, a := range l.asks {
		if now-a.sent > answerTime {
			delete(l.asks, seq)
		}
	}
}

// awaitedUntil returns until when the calls of a round wait for answers to asks that were sent. Once a controller has refused
// tokens, they do not wait for one that is slow to answer.
func (l *Ledger) awaitedUntil(now time.Duration, t *tenant) (until time.Duration) {
	timeout := answerTime
	if _, refused := t.wait(now); refused {
		timeout = tryTime
	}
	for _, a := range l.asks {
		if a.tenant == t && a.sent >= t.round.started {
			until = max(until, a.sent+timeout)
		}
	}
	return min(until, t.round.started+answerTime)
}

// serve gives the tokens of a tenant to the calls that wait.
func (l *Ledger) serve(now time.Duration, t *tenant) {
	for len(t.waiting) > 0 {
		expiry, ok := t.tokens.take(now)
		if !ok {
			return
		}
		first := t.waiting[0]
		t.waiting = slices.Delete(t.waiting, 0, 1)
		l.admit(first, expiry)
	}
}

// endRound ends the round of a tenant and refuses the calls that still wait.
func (l *Ledger) endRound(now time.Duration, t *tenant) {
	t.round = nil
	l.rounds = slices.DeleteFunc(l.rounds, func(other *tenant) bool { return other == t })
	waiting := t.waiting
	t.waiting = nil
	for _, r := range waiting {
		l.refuse(now, r)
	}
}

func (l *Ledger) admit(r *Request, expiry time.Duration) {
	r.expiry = expiry
	l.settle(r, nil, Admitted)
}

// refuse refuses a call: over the limit if a controller has refused tokens lately, unavailable otherwise.
func (l *Ledger) refuse(now time.Duration, r *Request) {
	if wait, refused := r.tenant.wait(now); refused {
		l.settle(r, &OverLimitError{Wait: wait}, Refused)
		return
	}
	l.settle(r, ErrUnavailable, Unavailable)
}

func (l *Ledger) settle(r *Request, err error, outcome Outcome) {
	r.Settled, r.Err = true, err
	l.count(r.tenant.name, outcome, err)
	if r.settled != nil {
		r.settled(r)
	}
}
