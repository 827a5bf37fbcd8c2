package spender

import (
	"net/netip"
	"slices"
	"time"
)

// idleTime is the time without calls after which the state of a tenant is removed.
const idleTime = 30 * time.Second

// tenant is the state of one tenant.
type tenant struct {
	name    string
	limit   Limit
	tokens  tokenPool
	demand  demand
	waiting []*Request                       // calls that wait for a token, the first one first
	round   *round                           // nil while no tokens are asked for
	blocked map[netip.AddrPort]time.Duration // until when a controller that has refused tokens is not asked again
}

// round is the attempt to get tokens for the calls that wait.
type round struct {
	started time.Duration
	nextTry time.Duration // when the next controller is asked if the last one has not answered
	asked   []netip.AddrPort
	tries   int // asks that were not declined
}

// lastAsked returns the controller that was asked last.
func (r *round) lastAsked() netip.AddrPort {
	return r.asked[len(r.asked)-1]
}

// Request is a call that takes a token.
type Request struct {
	Settled bool  // the call has a token, or Err says why it has none
	Err     error // valid once Settled

	tenant   *tenant
	settled  func(*Request) // called when the request is settled; may be nil
	expiry   time.Duration  // of the token
	released bool           // the token was returned
}

// setLimit sets the limit of the tenant, unless a newer one is known. Waits that follow from an older limit do not count any
// more.
func (t *tenant) setLimit(limit Limit) {
	if t.limit != limit && limit.Mod >= t.limit.Mod {
		t.limit = limit
		clear(t.blocked)
	}
}

// wait returns the time until the first controller may have room, or false if no controller has refused tokens lately.
func (t *tenant) wait(now time.Duration) (time.Duration, bool) {
	wait, ok := time.Duration(0), false
	for controller, until := range t.blocked {
		if until <= now {
			delete(t.blocked, controller)
			continue
		}
		if left := until - now; !ok || left < wait {
			wait, ok = left, true
		}
	}
	return wait, ok
}

// remove removes a request that does not wait any more.
func (t *tenant) remove(r *Request) {
	if i := slices.Index(t.waiting, r); i >= 0 {
		t.waiting = slices.Delete(t.waiting, i, i+1)
	}
}

// idle reports whether the state of the tenant can be removed.
func (t *tenant) idle(now time.Duration) bool {
	return t.round == nil && len(t.waiting) == 0 && now-t.demand.at > idleTime
}
