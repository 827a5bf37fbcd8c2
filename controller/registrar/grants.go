package registrar

import (
	"errors"
	"slices"
	"time"

	"bluebellhoist/core/keyer"
	"bluebellhoist/core/wire"
)

type grantKey struct {
	service string
	key     string
}

// grants holds the claims by service and idempotency key, ordered by time.
type grants struct {
	order []grantKey
	byKey map[grantKey]wire.Grant
}

func newGrants(list ...wire.Grant) *grants {
	g := &grants{byKey: make(map[grantKey]wire.Grant, len(list))}
	for _, grant := range list {
		g.put(grant)
	}
	return g
}

func (g *grants) list() []wire.Grant {
	all := make([]wire.Grant, 0, len(g.order))
	for _, k := range g.order {
		all = append(all, g.byKey[k])
	}
	return all
}

// put stores grant. An existing key keeps the time of its first record, so that order remains sorted.
func (g *grants) put(grant wire.Grant) {
	k := grantKey{grant.Claim.Service, grant.Claim.Key}
	if old, ok := g.byKey[k]; ok {
		grant.At = old.At
	} else {
		g.order = append(g.order, k)
	}
	g.byKey[k] = grant
}

func (g *grants) prune(clock int64) {
	for len(g.order) > 0 && g.byKey[g.order[0]].At+millis(keyer.Retention) < clock {
		delete(g.byKey, g.order[0])
		g.order = g.order[1:]
	}
}

// claim grants the key to the attempt, unless another attempt may have run the call.
func (g *grants) claim(c wire.Claim, clock int64) wire.Verdict {
	if state := checkKey(c.Key, clock); state != "" {
		return wire.Verdict{State: state}
	}
	old, exists := g.byKey[grantKey{c.Service, c.Key}]
	if slices.Contains(old.Released, c.Attempt) {
		return wire.Verdict{State: wire.Released}
	}
	if !exists || old.State == wire.Released {
		g.put(wire.Grant{Claim: c, State: wire.Running, At: clock, Released: old.Released})
		return wire.Verdict{State: wire.Granted}
	}
	if old.Claim.Digest != c.Digest {
		return wire.Verdict{State: wire.Mismatch}
	}
	if old.State == wire.Done {
		return wire.Verdict{State: wire.Done, Status: old.Claim.Status, Kind: old.Claim.Kind, Complete: old.Claim.Complete, Body: old.Claim.Body}
	}
	if old.Claim.Attempt == c.Attempt {
		return wire.Verdict{State: wire.Granted}
	}
	return wire.Verdict{State: wire.Running}
}

// release frees the key. The releasing attempt has not run the call and can never be granted the key again.
func (g *grants) release(c wire.Claim, clock int64) wire.Verdict {
	old, exists := g.byKey[grantKey{c.Service, c.Key}]
	if exists && old.State != wire.Released && (old.State != wire.Running || old.Claim.Attempt != c.Attempt) {
		return wire.Verdict{State: old.State}
	}
	g.put(wire.Grant{Claim: c, State: wire.Released, At: clock, Released: addReleased(old.Released, c.Attempt)})
	return wire.Verdict{State: wire.Released}
}

// addReleased adds an attempt to the released attempts of a key. A late claim of any of them must not be granted, since
// nobody would run the call and the key would stay blocked. The list is bounded, since a caller may retry without limit.
func addReleased(attempts []string, attempt string) []string {
	const maxReleased = 16
	if slices.Contains(attempts, attempt) {
		return attempts
	}
	all := append(slices.Clone(attempts), attempt)
	return all[max(0, len(all)-maxReleased):]
}

// finish stores the response to the call, if the attempt holds the key.
func (g *grants) finish(c wire.Claim) wire.Verdict {
	old, exists := g.byKey[grantKey{c.Service, c.Key}]
	if !exists || old.State != wire.Running || old.Claim.Attempt != c.Attempt {
		return wire.Verdict{State: wire.Running}
	}
	c.Digest = old.Claim.Digest
	g.put(wire.Grant{Claim: c, State: wire.Done, At: old.At})
	return wire.Verdict{State: wire.Done}
}

// checkKey returns the state for which the key is rejected, or an empty string if it is valid.
func checkKey(key string, clock int64) string {
	id, err := keyer.Parse(key)
	if err != nil {
		return wire.Invalid
	}
	err = keyer.CheckAge(id, time.UnixMilli(clock))
	switch {
	case errors.Is(err, keyer.ErrExpired):
		return wire.Expired
	case err != nil:
		return wire.Invalid
	}
	return ""
}
