package gossiper

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"bluebellhoist/core/wire"
)

// Run probes, spreads and answers until ctx ends. It may be called once.
func (g *Gossiper) Run(ctx context.Context) error {
	defer close(g.done)
	if !valid(g.self.Member) {
		return fmt.Errorf("%w: name %q, address %s", ErrSelf, g.self.Name, g.self.Addr)
	}
	ctx, cancel := context.WithCancel(ctx)
	exchanges := make(chan struct{}, 1)
	defer func() {
		cancel()
		if g.syncing {
			<-exchanges
		}
	}()
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	now := time.Now()
	g.lastTick, g.nextProbe, g.nextRetry = now, now.Add(g.jitter(probeInterval)), now.Add(g.jitter(retryInterval))
	g.syncWait = firstSync
	g.nextSync = now.Add(g.syncWait + g.jitter(firstSync))
	g.joinWait = tick
	g.tryJoin(ctx, now, exchanges)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case d := <-g.inbox:
			// A process that was frozen must notice it before it answers with what it knew then.
			g.resume(time.Now())
			if time.Now().After(g.deafUntil) {
				g.receive(d)
			}
		case <-g.wake:
			g.resume(time.Now())
		case <-exchanges:
			g.syncing = false
		case <-ticker.C:
			g.onTick(ctx, time.Now(), exchanges)
		}
		g.runActions()
		if g.dirty && time.Since(g.published) >= tick/4 {
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

func (g *Gossiper) onTick(ctx context.Context, now time.Time, exchanges chan<- struct{}) {
	g.resume(now)
	g.checkProbe(now)
	g.confirm(now)
	g.expire(now)
	if now.Compare(g.nextProbe) >= 0 {
		g.nextProbe = now.Add(probeInterval)
		g.endProbe(now)
		g.startProbe(now)
	}
	g.tryJoin(ctx, now, exchanges)
	g.sync(ctx, now, exchanges)
	if now.Compare(g.nextRetry) >= 0 {
		g.nextRetry = now.Add(retryInterval/2 + g.jitter(retryInterval))
		g.retry()
	}
	g.announceLeave()
	g.push()
	g.tellOtherDomains()
}

// sync starts the exchange that is due.
func (g *Gossiper) sync(ctx context.Context, now time.Time, exchanges chan<- struct{}) {
	if !g.early && (g.unsettled || g.queue.crowded()) {
		g.syncSoon(now)
	}
	if now.Compare(g.nextSync) >= 0 {
		g.syncWait = min(2*g.syncWait, syncInterval)
		// Members that started together would otherwise exchange at the same time for good.
		g.nextSync = now.Add(g.syncWait/2 + g.jitter(g.syncWait))
		g.startExchange(ctx, g.partner(), exchangeTimeout, exchanges)
		g.unsettled, g.early = false, false
	}
	if g.returned.IsValid() && !g.syncing {
		// The failure domains have been cut off from each other. One exchange tells either of all members of the other.
		g.startExchange(ctx, g.returned, exchangeTimeout, exchanges)
		g.returned = netip.AddrPort{}
	}
}

// syncSoon brings the next exchange forward.
func (g *Gossiper) syncSoon(now time.Time) {
	if soon := now.Add(g.jitter(firstSync)); soon.Before(g.nextSync) {
		g.nextSync, g.syncWait = soon, firstSync
	}
	g.early = true
}

// resume keeps a process that was frozen from blaming the others for its own silence.
func (g *Gossiper) resume(now time.Time) {
	gap := now.Sub(g.lastTick)
	g.lastTick = now
	if gap < probeInterval {
		return
	}
	g.log.Warn("control loop stalled", "gap", gap)
	g.probe = nil
	for _, e := range g.table.list {
		if e.State == wire.Suspect {
			e.at = e.at.Add(gap)
		}
	}
	if gap < g.keepLeft/2 {
		return
	}
	// The others may have dropped members that this table still shows as alive.
	for _, e := range g.table.list {
		if e != g.self {
			g.rejoin = append(g.rejoin, e.Addr)
		}
	}
	g.table.remove(func(e *entry) bool { return e != g.self })
	g.dirty, g.synced, g.syncWait, g.joinWait = true, false, firstSync, tick
	// Datagrams that waited in the socket tell of members that the others have dropped since.
	g.deafUntil = now.Add(deafTime)
}

// expire turns overdue suspects dead and drops old entries.
//
// Each member runs its own suspicion timer, since suspicions reach all members within a second or two. A dead entry is
// therefore not pushed.
func (g *Gossiper) expire(now time.Time) {
	old := false
	for _, e := range g.table.list {
		age := now.Sub(e.at)
		switch {
		case e == g.self:
		case e.State == wire.Suspect && age >= suspicion:
			g.log.Info("member is dead", "member", e.Name, "addr", e.Addr)
			m := e.Member
			m.State = wire.Dead
			g.store(e, m, now)
			g.queue.drop(e.Name)
		case e.State == wire.Dead && age >= g.keepDead, e.State == wire.Left && age >= g.keepLeft:
			old = true
		}
	}
	if !old {
		return
	}
	g.table.remove(func(e *entry) bool {
		age := now.Sub(e.at)
		return e != g.self && (e.State == wire.Dead && age >= g.keepDead || e.State == wire.Left && age >= g.keepLeft)
	})
	g.dirty = true
}

// update applies a change of the own entry and spreads it.
func (g *Gossiper) update(change func(*wire.Member)) {
	m := g.self.Member
	change(&m)
	m.Name, m.Inc, m.State = g.self.Name, g.self.Inc, g.self.State
	if m == g.self.Member {
		return
	}
	m.Inc++
	g.store(g.self, m, time.Now())
	g.publish()
	g.spreadSelf()
	g.burst(burstFanout)
}

// spreadSelf starts spreading the own entry anew.
func (g *Gossiper) spreadSelf() {
	g.queue.add(g.self.Name)
	g.outbound.add(g.self.Name)
}

// store replaces an entry.
func (g *Gossiper) store(e *entry, m wire.Member, now time.Time) {
	e.set(m, now)
	g.dirty = true
}

func (g *Gossiper) publish() {
	members := g.table.members()
	g.members.Store(&members)
	g.published = time.Now()
	g.dirty = false
}

// burst sends the own entry and queued updates at once. Within burstInterval of the last burst the next tick does it.
func (g *Gossiper) burst(fanout int) {
	now := time.Now()
	if now.Sub(g.lastBurst) < burstInterval {
		return
	}
	g.lastBurst = now
	for _, e := range g.peers(fanout, g.near) {
		g.sendTo(e.target(), wire.Gossip{Kind: kindPush}, g.self)
	}
	g.tellOtherDomains()
}

// push sends queued updates to random members of the own failure domain.
func (g *Gossiper) push() {
	if len(g.queue.items) == 0 {
		return
	}
	fanout := pushFanout
	if g.queue.crowded() {
		fanout = crowdedFanout
	}
	near := g.peers(fanout, g.near)
	if len(near) == 0 {
		g.queue.clear() // members that come later exchange tables
	}
	for _, e := range near {
		g.sendTo(e.target(), wire.Gossip{Kind: kindPush})
	}
}

// sendTo sends a message with the given entries and as many queued updates as fit.
//
// The queue is for members of the own failure domain. A change in another one crosses the border a few times, and is
// spread by the queues on this side.
func (g *Gossiper) sendTo(to target, msg wire.Gossip, first ...*entry) {
	if msg.From == "" {
		msg.From = g.self.Name
	}
	room := MaxDatagram - sumSize - arrayHeader - size(msg)
	if to.domain == g.self.Domain {
		msg.Members = g.queue.take(g.table, room, first...)
	} else {
		msg.Members = g.outbound.take(g.table, room, to.domain, first...)
	}
	if msg.Kind == kindPush && len(msg.Members) == 0 {
		return
	}
	data, err := encode(msg)
	if err != nil {
		g.log.Error("cannot encode datagram", "to", to.addr, "error", err)
		return
	}
	g.count(to, msg.Kind, len(data))
	if err := g.send(to.addr, data); err != nil {
		g.log.Debug("cannot send datagram", "to", to.addr, "error", err)
	}
}

// peers returns up to n random reachable members other than the daemon itself for which keep holds.
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
