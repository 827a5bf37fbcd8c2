package spender

import (
	"slices"
	"time"
)

// tokenPool holds the unused tokens of one tenant.
type tokenPool struct {
	groups []tokenGroup // by expiry, the earliest first
}

// tokenGroup is a number of tokens that expire together.
type tokenGroup struct {
	expiry time.Duration
	count  int
}

// add adds tokens with the given expiry.
func (p *tokenPool) add(count int, expiry time.Duration) {
	if count <= 0 {
		return
	}
	i := len(p.groups)
	for i > 0 && p.groups[i-1].expiry > expiry {
		i--
	}
	if i > 0 && p.groups[i-1].expiry == expiry {
		p.groups[i-1].count += count
		return
	}
	p.groups = slices.Insert(p.groups, i, tokenGroup{expiry, count})
}

// take takes the valid token that expires first.
func (p *tokenPool) take(now time.Duration) (expiry time.Duration, ok bool) {
	p.dropExpired(now)
	if len(p.groups) == 0 {
		return 0, false
	}
	first := &p.groups[0]
	first.count--
	expiry = first.expiry
	if first.count == 0 {
		p.groups = slices.Delete(p.groups, 0, 1)
	}
	return expiry, true
}

// dropExpired drops the tokens that are not valid any more.
func (p *tokenPool) dropExpired(now time.Duration) {
	expired := 0
	for expired < len(p.groups) && p.groups[expired].expiry <= now {
		expired++
	}
	p.groups = slices.Delete(p.groups, 0, expired)
}
