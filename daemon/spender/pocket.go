package spender

import (
	"slices"
	"time"
)

// pocket holds the tokens of one tenant.
type pocket struct {
	lots []lot // by expiry, the earliest first
}

// lot is a number of tokens that expire together.
type lot struct {
	expiry time.Duration
	count  int
}

// add adds tokens.
func (p *pocket) add(count int, expiry time.Duration) {
	if count <= 0 {
		return
	}
	i := len(p.lots)
	for i > 0 && p.lots[i-1].expiry > expiry {
		i--
	}
	if i > 0 && p.lots[i-1].expiry == expiry {
		p.lots[i-1].count += count
		return
	}
	p.lots = slices.Insert(p.lots, i, lot{expiry, count})
}

// take takes the valid token that expires first.
func (p *pocket) take(now time.Duration) (expiry time.Duration, ok bool) {
	p.dropExpired(now)
	if len(p.lots) == 0 {
		return 0, false
	}
	first := &p.lots[0]
	first.count--
	expiry = first.expiry
	if first.count == 0 {
		p.lots = slices.Delete(p.lots, 0, 1)
	}
	return expiry, true
}

// dropExpired drops the tokens that are not valid any more.
func (p *pocket) dropExpired(now time.Duration) {
	expired := 0
	for expired < len(p.lots) && p.lots[expired].expiry <= now {
		expired++
	}
	p.lots = slices.Delete(p.lots, 0, expired)
}
