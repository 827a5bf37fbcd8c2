package spender

import (
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/carrier"
	"bluebellhoist/core/wire"
)

const (
	// tryTime is how long a controller has to answer before the next one is asked.
	tryTime = 60 * time.Millisecond
	// answerTime is how long calls wait for an allotment. A later one is ignored.
	answerTime = 250 * time.Millisecond
	// maxTries is the number of controllers that are asked for the same calls.
	maxTries = 3
	// skipTime is how long a controller that has not answered or does not allot tokens is skipped.
	skipTime = time.Second
	// minPruneSize is the smallest number of tenants or asks at which the idle ones are removed.
	minPruneSize = 64
)

// Ledger holds the tokens of one daemon and decides when to ask for more and which calls are refused. It has neither a clock
// nor a network: its methods take the time, of a clock that does not stop while the VM is suspended, and Outgoing returns the
// datagrams to send. It is not safe for concurrent use.
type Ledger struct {
	batch       string
	bound       func() Bound
	controllers func() []netip.AddrPort
	count       func(tenant string, outcome Outcome, err error) // counts a settled call

	tenants      map[string]*tenant
	pruneSize    int
	asks         map[uint64]*ask // without an answer, by sequence number
	lastSeq      uint64
	rounds       []*tenant                        // tenants with a round in progress
	skippedUntil map[netip.AddrPort]time.Duration // by controller
	voters       int                              // as stated by the last allotment
	outgoing     []Datagram
}

// Datagram is a message to a controller.
type Datagram struct {
	To      netip.AddrPort
	Message wire.Quota
}

// ask is an ask that was sent to a controller.
type ask struct {
	to     netip.AddrPort
	tenant *tenant
	sent   time.Duration
	tokens int // tokens that were asked for
}

// Outcome is what becomes of a call.
type Outcome int

// Outcomes of calls.
const (
	Admitted    Outcome = iota // the call has a token
	Refused                    // the tenant is over its limit
	Unavailable                // no controller has allotted or refused tokens
)

// NewLedger returns a ledger for the tenants of a batch. The function controllers returns the controllers in the order in which
// they are asked. The sequence numbers of asks begin after seq, which must differ between runs of the process.
func NewLedger(batch string, bound func() Bound, controllers func() []netip.AddrPort, seq uint64) *Ledger {
	return &Ledger{
		batch: batch, bound: bound, controllers: controllers, count: func(string, Outcome, error) {},
		tenants: map[string]*tenant{}, pruneSize: minPruneSize, asks: map[uint64]*ask{}, lastSeq: seq,
		skippedUntil: map[netip.AddrPort]time.Duration{}, voters: 1,
	}
}

// Take takes a token for a call. If the call has to wait for one, the returned request is not settled yet. The function settled
// is called when the request is settled, which may be before Take returns. The call must have been received before now.
func (l *Ledger) Take(now time.Duration, name string, limit Limit, settled func(*Request)) *Request {
	t := l.tenant(now, name)
	t.setLimit(limit)
	t.demand.add(now)
	r := &Request{tenant: t, settled: settled}
	if expiry, ok := t.tokens.take(now); ok {
		l.admit(r, expiry)
		return r
	}
	t.waiting = append(t.waiting, r)
	if t.round == nil {
		l.startRound(now, t)
	}
	return r
}

// Release returns the token of a call that was not sent to any upstream. It keeps its expiry.
func (l *Ledger) Release(now time.Duration, r *Request) {
	if !r.Settled || r.Err != nil || r.released {
		return
	}
	r.released = true
	r.tenant.tokens.add(1, r.expiry)
	l.serve(now, r.tenant)
}

// Cancel removes a request whose call does not wait any more.
func (l *Ledger) Cancel(now time.Duration, r *Request) {
	if r.Settled {
		l.Release(now, r)
		return
	}
	r.tenant.remove(r)
}

// Deliver handles a datagram from a controller.
func (l *Ledger) Deliver(now time.Duration, from netip.AddrPort, msg wire.Quota) {
	asked := l.asks[msg.Seq]
	if asked == nil || asked.to != from || msg.Kind == carrier.Ask {
		return
	}
	delete(l.asks, msg.Seq)
	if now-asked.sent > answerTime {
		return
	}
	if msg.Kind == carrier.Decline {
		l.decline(now, asked)
		return
	}
	delete(l.skippedUntil, from)
	l.voters = msg.Voters
	for _, item := range msg.Items {
		if item.Tenant == asked.tenant.name {
			l.credit(now, asked, item)
		}
	}
	l.serve(now, asked.tenant)
	l.continueRound(now, asked.tenant)
}

// credit adds allotted tokens. They are valid from when they were asked for, since the daemon does not know when they were
// allotted.
func (l *Ledger) credit(now time.Duration, asked *ask, item wire.QuotaItem) {
	t := asked.tenant
	t.tokens.add(min(item.Count, asked.tokens), asked.sent+l.bound().Validity(t.limit, l.voters))
	switch {
	case item.Wait > 0:
		t.blocked[asked.to] = now + item.Wait
	case item.Count > 0 && t.round != nil:
		// The calls that have come since the ask was sent are a new round.
		*t.round = round{started: now}
	}
}

// Expire handles the timeouts until now.
func (l *Ledger) Expire(now time.Duration) {
	for _, t := range slices.Clone(l.rounds) {
		switch {
		case now >= t.round.started+answerTime:
			l.endRound(now, t)
		case now >= t.round.nextTry:
			if len(t.round.asked) > 0 {
				l.skippedUntil[t.round.lastAsked()] = now + skipTime
			}
			l.continueRound(now, t)
		}
	}
}

// Next returns the time of the next timeout, or false if there is none.
func (l *Ledger) Next() (next time.Duration, ok bool) {
	for _, t := range l.rounds {
		due := min(t.round.nextTry, t.round.started+answerTime)
		if !ok || due < next {
			next, ok = due, true
		}
	}
	return next, ok
}

// Outgoing returns the datagrams to send and forgets them.
func (l *Ledger) Outgoing() []Datagram {
	out := l.outgoing
	l.outgoing = nil
	return out
}

// tenant returns the state of a tenant.
func (l *Ledger) tenant(now time.Duration, name string) *tenant {
	t := l.tenants[name]
	if t != nil {
		return t
	}
	if len(l.tenants) >= l.pruneSize {
		l.prune(now)
	}
	t = &tenant{name: name, blocked: map[netip.AddrPort]time.Duration{}}
	l.tenants[name] = t
	return t
}

// prune removes idle tenants.
func (l *Ledger) prune(now time.Duration) {
	for name, t := range l.tenants {
		if t.idle(now) {
			delete(l.tenants, name)
		}
	}
	l.pruneSize = max(2*len(l.tenants), minPruneSize)
}
