package spender

import "time"

// MaxValidity is the longest time for which a token is valid.
const MaxValidity = 2 * time.Second

// Limit is the limit on the calls of one tenant over the whole mesh.
type Limit struct {
	Rate  float64 // calls per second
	Burst float64 // calls beyond the rate
	Mod   uint64  // version at which the limit last changed
}

// Bound states how many calls of a tenant may arrive in any window: (rate * Window + burst) * (1 + Overage) + Slack.
type Bound struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// Validity returns for how long a token may be used after it was asked for. In any interval of length Window + validity the
// voters allot at most rate * (Window + validity) + burst + voters tokens, and each call of a window uses a token that was
// allotted in the window or at most validity before it.
func (b Bound) Validity(limit Limit, voters int) time.Duration {
	if limit.Rate <= 0 {
		return 0
	}
	spare := b.Overage*(limit.Rate*b.Window.Seconds()+limit.Burst) + b.Slack - float64(voters)
	return time.Duration(min(max(spare/limit.Rate, 0), MaxValidity.Seconds()) * float64(time.Second))
}
