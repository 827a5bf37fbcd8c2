package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// rank orders the states of one incarnation: the higher one wins.
var rank = map[string]int{wire.Alive: 0, wire.Suspect: 1, wire.Dead: 2, wire.Left: 3}

// mergeResult is what the merging of one message has found.
type mergeResult struct {
	now      time.Time
	from     string   // name of the sender
	quiet    bool     // what the message tells is not pushed on
	changed  int      // entries that were unknown or older
	newcomer bool     // the sender has started or was taken for dead, and may know few members
	stale    []*entry // known entries of which the sender of the message has an older one
	accused  []*entry // members alive here and dead at the sender
}

// merge takes the entries of a message. Those of an exchange within the failure domain are not pushed on, since its other
// members exchange too.
func (g *Gossiper) merge(msg wire.Gossip, now time.Time) mergeResult {
	res := mergeResult{now: now, from: msg.From, quiet: msg.Kind == kindSync && g.knownNear(msg.From)}
	for _, m := range msg.Members {
		if !valid(m) {
			continue
		}
		m.Addr = netip.AddrPortFrom(m.Addr.Addr().Unmap(), m.Addr.Port())
		e, ok := g.table.byName[m.Name]
		switch {
		case !ok:
			g.insert(m, &res)
			res.newcomer = res.newcomer || m.Name == msg.From
		case e == g.self:
			g.refute(m, now)
		case m.Inc > e.Inc:
			g.advance(e, m, &res)
		case m.Inc == e.Inc && rank[m.State] > rank[e.State]:
			g.escalate(e, m, &res)
		case m.Name == msg.From && (m.Inc < e.Inc || m.State != e.State):
			res.newcomer = true
			res.stale = append(res.stale, e)
		case m.Inc < e.Inc && e.State == wire.Alive && m.State != wire.Alive && !g.queue.has(e.Name):
			g.queue.add(e.Name) // a refutation has not reached the sender
			if !g.knownNear(msg.From) {
				res.stale = append(res.stale, e) // the queue does not reach it
			}
		}
	}
	return res
}

// insert adds an unknown member. Dead and left ones were dropped here earlier and must not return.
func (g *Gossiper) insert(m wire.Member, res *mergeResult) {
	if m.State == wire.Dead || m.State == wire.Left {
		return
	}
	g.log.Info("new member", "member", m.Name, "addr", m.Addr, "state", m.State)
	g.table.put(&entry{Member: m, at: res.now})
	g.dirty = true
	g.spread(m.Name, res)
}

// spread queues an entry that a message has changed.
func (g *Gossiper) spread(name string, res *mergeResult) {
	res.changed++
	if !res.quiet {
		g.queue.add(name)
	}
}

// advance takes an entry with a higher incarnation.
func (g *Gossiper) advance(e *entry, m wire.Member, res *mergeResult) {
	if m.State == wire.Dead && e.State != wire.Dead {
		// Another member's verdict on a member that is not suspected here may come from the other side of a partition.
		m.State = e.State
		res.accused = append(res.accused, e)
	}
	if e.State == wire.Dead && m.State == wire.Alive && m.Name == res.from && !g.near(e) {
		g.returned = m.Addr
	}
	if m.State != e.State {
		g.log.Info("member changed state", "member", m.Name, "from", e.State, "to", m.State)
	}
	g.store(e, m, res.now)
	if m.State != wire.Dead {
		g.spread(m.Name, res)
	}
}

// escalate takes an entry of the same incarnation with a worse state.
func (g *Gossiper) escalate(e *entry, m wire.Member, res *mergeResult) {
	switch m.State {
	case wire.Suspect:
		g.suspect(e, res.now)
	case wire.Left:
		g.store(e, m, res.now)
		g.queue.add(m.Name)
	case wire.Dead:
		if e.State == wire.Alive {
			res.accused = append(res.accused, e)
		}
	}
}

// suspect starts the suspicion timer of a member.
func (g *Gossiper) suspect(e *entry, now time.Time) {
	if e.State != wire.Alive {
		return
	}
	g.log.Info("member is suspect", "member", e.Name, "addr", e.Addr)
	m := e.Member
	m.State = wire.Suspect
	g.store(e, m, now)
	g.queue.add(e.Name)
}

// refute answers an entry about the daemon itself that would win over its own.
func (g *Gossiper) refute(m wire.Member, now time.Time) {
	own := g.self.Member
	if m.Inc < own.Inc {
		if m.State != wire.Alive && !g.queue.has(own.Name) {
			g.spreadSelf()
		}
		return
	}
	if m == own {
		return
	}
	own.Inc = m.Inc + 1
	g.log.Info("refuted entry", "state", m.State, "inc", own.Inc)
	g.store(g.self, own, now)
	g.spreadSelf()
	g.burst(burstFanout)
}

// accuse tells members that others hold them dead, so that they refute it, and probes them next in case it is true.
func (g *Gossiper) accuse(entries []*entry) {
	g.rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, e := range entries[:min(len(entries), accusedLimit)] {
		told := *e
		told.State = wire.Suspect
		told.size = size(told.Member)
		g.sendTo(e.target(), wire.Gossip{Kind: kindPush}, &told)
		if !slices.Contains(g.accused, e.Name) {
			g.accused = append(g.accused, e.Name)
		}
	}
}
