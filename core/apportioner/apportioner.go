// Package apportioner divides what the bound on the calls of a tenant permits beyond its limit between the validity of tokens at
// daemons and the capacity of buckets at controllers.
package apportioner

import "time"

// MaxValidity is the longest time for which a token is valid. Tokens that are valid for longer save few asks, and what is left of
// the bound makes the buckets of small tenants larger.
const MaxValidity = time.Second

// Limit is the limit on the calls of one tenant over the whole mesh.
type Limit struct {
	Rate  float64 // calls per second
	Burst float64 // calls beyond the rate
	Mod   uint64  // version at which the limit last changed
}

// Bound states how many calls of a tenant may arrive in any window: (rate * Window + burst) * (1 + Overage) + Slack.
//
// The voters together allot at most rate * (Window + validity) + capacity + voters tokens in any interval of length
// Window + validity. The calls of a window use tokens that were allotted in the window or at most validity before it. So the
// bound holds if rate * validity + capacity - burst is at most what spare returns.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// spare returns the calls that the bound permits beyond the limit, without the tokens that buckets hold since tokens are not
// divided: one for each voter, and one for a voter more while the membership changes.
func (b Bound) spare(limit Limit, voters int) float64 {
	return max(b.Overage*(limit.Rate*b.Window.Seconds()+limit.Burst)+b.Slack-float64(voters+1), 0)
}

// Validity returns for how long a token may be used after it was asked for.
func (b Bound) Validity(limit Limit, voters int) time.Duration {
	if limit.Rate <= 0 {
		return 0
	}
	return time.Duration(min(b.spare(limit, voters)/limit.Rate, MaxValidity.Seconds()) * float64(time.Second))
}

// Capacity returns how many tokens the buckets of all voters may hold together, without one for each voter.
func (b Bound) Capacity(limit Limit, voters int) float64 {
	return limit.Burst + max(b.spare(limit, voters)-limit.Rate*MaxValidity.Seconds(), 0)
}
