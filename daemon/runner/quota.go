package runner

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bluebellhoist/core/carrier"
	"bluebellhoist/core/chronometer"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/spender"
	"bluebellhoist/daemon/subscriber"
)

// buildQuota creates the components that limit the calls of tenants.
func (r *Runner) buildQuota(s Settings) {
	clock := chronometer.New()
	order := &controllerOrder{
		domain: s.Domain, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), clock: clock,
		known: r.knownControllers, session: r.subscriber.Controller, quotaAddr: s.Quota.ControllerAddr,
	}
	log := r.log.Named("quota")
	r.carrier = carrier.New(s.Quota.ListenAddr(s.bind()), carrier.WithLogger(log),
		carrier.WithDeliver(func(from netip.AddrPort, msg wire.Quota) { r.spender.Deliver(from, msg) }))
	r.spender = spender.New(s.Batch,
		spender.WithClock(clock),
		spender.WithBound(s.Quota.Bound),
		spender.WithControllers(order.addrs),
		spender.WithSend(r.carrier.Send),
		spender.WithLogger(log),
	)
}

// takeToken returns the function that takes a token for a call of a tenant, or nil without quotas.
func (r *Runner) takeToken() spender.TakeFunc {
	if r.spender == nil {
		return nil
	}
	return r.spender.Take
}

// knownControllers returns the controllers in the settings and those that gossip knows.
func (r *Runner) knownControllers() []subscriber.Controller {
	return append(r.discoveredControllers(), r.settings.Load().Controllers...)
}

// orderLifetime is how long the order of controllers is used.
const orderLifetime = time.Second

// controllerOrder is the order in which controllers are asked for tokens: that of the session first, then those of the own
// failure domain, then the others. Those are in random order, so that the daemons that a controller has refused spread.
type controllerOrder struct {
	domain    string
	random    *rand.Rand
	clock     func() time.Duration
	known     func() []subscriber.Controller
	session   func() (subscriber.Controller, bool)
	quotaAddr func(main netip.AddrPort) netip.AddrPort

	mu      sync.Mutex
	current []netip.AddrPort
	until   time.Duration // when current is computed again
}

// addrs returns the addresses for datagrams of the controllers.
func (o *controllerOrder) addrs() []netip.AddrPort {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now := o.clock(); now >= o.until {
		o.current, o.until = o.compute(), now+orderLifetime
	}
	return o.current
}

func (o *controllerOrder) compute() []netip.AddrPort {
	known := o.known()
	o.random.Shuffle(len(known), func(i, j int) { known[i], known[j] = known[j], known[i] })
	seen := map[netip.AddrPort]bool{}
	var addrs []netip.AddrPort
	if c, ok := o.session(); ok {
		addrs, seen[c.Addr] = append(addrs, o.quotaAddr(c.Addr)), true
	}
	for _, sameDomain := range []bool{true, false} {
		for _, c := range known {
			if seen[c.Addr] || (c.Domain == o.domain) != sameDomain {
				continue
			}
			seen[c.Addr] = true
			addrs = append(addrs, o.quotaAddr(c.Addr))
		}
	}
	return addrs
}
