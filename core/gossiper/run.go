package gossiper

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"bluebellhoist/core/wire"
)

// Run probes members, spreads updates and handles messages until ctx is done. It must be called only once.
func (g *Gossiper) Run(ctx context.Context) error {
	defer close(g.done)
	if !validEntry(g.self.Member) {
		return fmt.Errorf("%w: name %q, address %s", ErrSelf, g.self.Name, g.self.Addr)
	}
	ctx, cancel := context.WithCancel(ctx)
	exchangeDone := make(chan struct{}, 1)
	defer func() {
		cancel()
		if g.exchangeInFlight {
			<-exchangeDone
		}
	}()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	now := time.Now()
	g.lastTick, g.nextProbe, g.nextReconnect = now, now.Add(g.jitter(probeInterval)), now.Add(g.jitter(reconnectInterval))
	g.exchangeInterval = minExchangeInterval
	g.nextExchange = now.Add(g.exchangeInterval + g.jitter(minExchangeInterval))
	g.joinBackoff = tickInterval
	g.tryJoin(ctx, now, exchangeDone)
	g.startRecovery()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-g.inbox:
			// Stalls are handled first, so that a process that was frozen does not reply with an outdated table.
			g.handleStall(time.Now())
			if time.Now().After(g.discardUntil) {
				g.receive(d)
			}
		case <-g.wake:
			g.handleStall(time.Now())
		case <-exchangeDone:
			g.handleStall(time.Now())
			g.exchangeInFlight = false
		case <-ticker.C:
			g.onTick(ctx, time.Now(), exchangeDone)
		}
		g.runActions()
		if g.publishPending && time.Since(g.lastPublish) >= tickInterval/4 {
			g.publish()
		}
	}
}

func (g *Gossiper) runActions() {
	g.mu.Lock()
	actions := g.actions
	g.actions = nil
	g.mu.Unlock()
	for _, f := range actions {
		f()
	}
}

func (g *Gossiper) onTick(ctx context.Context, now time.Time, exchangeDone chan<- struct{}) {
	g.handleStall(now)
	g.startIndirectProbe(now)
	g.pingSuspects(now)
	g.expire(now)
	if now.Compare(g.nextProbe) >= 0 {
		g.nextProbe = now.Add(probeInterval)
		g.endProbe(now)
		g.startProbe(now)
	}
	g.tryJoin(ctx, now, exchangeDone)
	g.startDueExchange(ctx, now, exchangeDone)
	if now.Compare(g.nextReconnect) >= 0 {
		g.nextReconnect = now.Add(reconnectInterval/2 + g.jitter(reconnectInterval))
		g.reconnect()
	}
	g.announceLeave()
	g.continueRounds()
	g.push()
	g.pushToOtherDomains()
}

// startDueExchange starts an exchange if one is due.
func (g *Gossiper) startDueExchange(ctx context.Context, now time.Time, exchangeDone chan<- struct{}) {
	if !g.expedited && (g.unconverged || g.queue.backlogged()) {
		g.expediteExchange(now)
	}
	if now.Compare(g.nextExchange) >= 0 {
		if g.exchanges >= earlyExchanges || g.exchanges%2 == 1 {
			g.exchangeInterval = min(2*g.exchangeInterval, maxExchangeInterval)
		}
		// Jitter keeps members that started together from exchanging at the same time forever.
		g.nextExchange = now.Add(g.exchangeInterval/2 + g.jitter(g.exchangeInterval))
		g.startExchange(ctx, g.randomPartner(), exchangeTimeout, exchangeDone)
		g.exchanges++
		g.unconverged, g.expedited = false, false
	}
	if g.recoveredPeer.IsValid() && !g.exchangeInFlight {
		// The failure domains were partitioned from each other. One exchange informs each about all members of the other.
		g.startExchange(ctx, g.recoveredPeer, exchangeTimeout, exchangeDone)
		g.recoveredPeer = netip.AddrPort{}
	}
}

// expediteExchange brings the next exchange forward and resets the exchange interval.
func (g *Gossiper) expediteExchange(now time.Time) {
	if soon := now.Add(g.jitter(minExchangeInterval)); soon.Before(g.nextExchange) {
		g.nextExchange, g.exchangeInterval = soon, minExchangeInterval
	}
	g.expedited = true
}

// handleStall handles a gap since the last call, as after the process was frozen, so that it does not declare other members
// dead because of its own pause: it cancels the probe and extends the suspicion timers. After a long stall it removes all
// other members and joins again.
func (g *Gossiper) handleStall(now time.Time) {
	gap := now.Sub(g.lastTick)
	g.lastTick = now
	if gap < probeInterval {
		return
	}
	g.log.Warn("control loop stalled", "gap", gap)
	g.probe = nil
	for _, e := range g.table.list {
		if e.State == wire.Suspect {
			e.stateSince = e.stateSince.Add(gap)
		}
	}
	if gap < g.leftRetention/2 {
		return
	}
	// Other members may have expired entries that are still alive in this table.
	for _, e := range g.table.list {
		if e != g.self {
			g.rejoinAddrs = append(g.rejoinAddrs, e.Addr)
		}
	}
	g.table.remove(func(e *entry) bool { return e != g.self })
	g.publishPending, g.joined, g.exchangeInterval, g.joinBackoff = true, false, minExchangeInterval, tickInterval
	// Datagrams buffered in the socket may contain members that have expired elsewhere since.
	g.discardUntil = now.Add(discardPeriod)
}

// expire marks suspects whose timer has run out as dead and removes dead and left entries after their retention time.
//
// Dead entries are not pushed: a suspicion reaches all members within a second or two, and each runs its own timer.
func (g *Gossiper) expire(now time.Time) {
	anyExpired := false
	for _, e := range g.table.list {
		age := now.Sub(e.stateSince)
		switch {
		case e == g.self:
		case e.State == wire.Suspect && age >= suspicionTimeout:
			g.log.Info("member is dead", "member", e.Name, "addr", e.Addr)
			m := e.Member
			m.State = wire.Dead
			g.store(e, m, now)
			g.queue.remove(e.Name)
		case e.State == wire.Dead && age >= g.deadRetention, e.State == wire.Left && age >= g.leftRetention:
			anyExpired = true
		}
	}
	if !anyExpired {
		return
	}
	g.table.remove(func(e *entry) bool {
		age := now.Sub(e.stateSince)
		return e != g.self && (e.State == wire.Dead && age >= g.deadRetention || e.State == wire.Left && age >= g.leftRetention)
	})
	g.publishPending = true
}

// update applies a change to the own entry and spreads it. A departure is only replaced by a later one.
func (g *Gossiper) update(change func(*wire.Member)) {
	m := g.self.Member
	change(&m)
	m.Name, m.Incarnation, m.State = g.self.Name, g.self.Incarnation, g.self.State
	if g.self.Gone.After(m.Gone) {
		m.Gone = g.self.Gone
	}
	if m == g.self.Member {
		return
	}
	m.Incarnation++
	g.store(g.self, m, time.Now())
	g.publish()
	g.queueSelf()
	g.burst(burstFanout)
}

// queueSelf queues the own entry for all failure domains and resets its send counts.
func (g *Gossiper) queueSelf() {
	g.queue.add(g.self.Name)
	g.crossDomain.add(g.self.Name)
}

// store replaces the contents of an entry and schedules a publish.
func (g *Gossiper) store(e *entry, m wire.Member, now time.Time) {
	e.set(m, now)
	g.publishPending = true
}

func (g *Gossiper) publish() {
	members := g.table.members()
	g.members.Store(&members)
	g.lastPublish = time.Now()
	g.publishPending = false
}

// burst sends the own entry and queued updates immediately. Within burstInterval of the last burst it does nothing, and the
// next tick sends them.
func (g *Gossiper) burst(fanout int) {
	now := time.Now()
	if now.Sub(g.lastBurst) < burstInterval {
		return
	}
	g.lastBurst = now
	for _, e := range g.peers(fanout, g.sameDomain) {
		g.sendTo(e.target(), wire.Gossip{Kind: kindPush}, g.self)
	}
	g.pushToOtherDomains()
}

// push sends queued updates to random members of the own failure domain.
func (g *Gossiper) push() {
	if len(g.queue.updates) == 0 {
		return
	}
	fanout := pushFanout
	if g.queue.backlogged() {
		fanout = backlogPushFanout
	}
	targets := g.peers(fanout, g.sameDomain)
	if len(targets) == 0 {
		g.queue.clear() // members that join later get the table in an exchange
	}
	for _, e := range targets {
		g.sendTo(e.target(), wire.Gossip{Kind: kindPush})
	}
}

// sendTo sends a message with the entries in first and as many queued updates as fit.
//
// Targets in the own failure domain get updates from the queue, all others from crossDomain. A change in another failure
// domain arrives a few times and is then spread by the queues of this domain.
//
// It sends nothing in the rest of a step in which the process was frozen: the table may hold members that have expired
// elsewhere since, and handleStall comes first.
func (g *Gossiper) sendTo(to target, msg wire.Gossip, first ...*entry) {
	if time.Since(g.lastTick) >= probeInterval {
		return
	}
	if msg.From == "" {
		msg.From = g.self.Name
	}
	room := MaxDatagram - checksumSize - memberListHeaderSize - encodedSize(msg)
	if to.domain == g.self.Domain {
		msg.Members = g.queue.take(g.table, room, first...)
	} else {
		msg.Members = g.crossDomain.take(g.table, room, to.domain, first...)
	}
	if msg.Kind == kindPush && len(msg.Members) == 0 {
		return
	}
	data, err := encode(msg)
	if err != nil {
		g.log.Error("cannot encode datagram", "to", to.addr, "error", err)
		return
	}
	g.countSent(to, msg.Kind, len(data))
	if err := g.send(to.addr, data); err != nil {
		g.log.Debug("cannot send datagram", "to", to.addr, "error", err)
	}
}

// peers returns up to n random reachable members, without this one, for which keep returns true or is nil.
func (g *Gossiper) peers(n int, keep func(*entry) bool) []*entry {
	var found []*entry
	for _, e := range g.table.list {
		if e != g.self && e.reachable() && (keep == nil || keep(e)) {
			found = append(found, e)
		}
	}
	n = min(n, len(found))
	for i := range n {
		j := i + g.rand.IntN(len(found)-i)
		found[i], found[j] = found[j], found[i]
	}
	return found[:n]
}

func (g *Gossiper) jitter(d time.Duration) time.Duration {
	return time.Duration(g.rand.Int64N(int64(d)))
}
