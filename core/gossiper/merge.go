package gossiper

import (
	"net/netip"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// statePrecedence orders the states within one incarnation: the higher value wins.
var statePrecedence = map[string]int{wire.Alive: 0, wire.Suspect: 1, wire.Dead: 2, wire.Left: 3}

// mergeResult is the outcome of merging one message.
type mergeResult struct {
	now                time.Time
	from               string   // name of the sender
	fromDomainExchange bool     // new members and newer incarnations from this message are not queued
	changed            int      // members inserted or updated to a newer incarnation
	senderOutdated     bool     // the sender is unknown here or its own entry is outdated, so it may know few members
	staleAtSender      []*entry // local entries of which the sender has an older version
	reportedDead       []*entry // members that the sender reports dead and that are not dead here
}

// merge applies the entries of a message. New members and newer incarnations from an exchange within the own failure domain
// are not queued, since the other members of the domain learn them from their own exchanges. Leaves, and suspicions
// within a known incarnation, are always queued.
func (g *Gossiper) merge(msg wire.Gossip, now time.Time) mergeResult {
	res := mergeResult{now: now, from: msg.From, fromDomainExchange: msg.Kind == kindSync && g.isDomainMember(msg.From)}
	for _, m := range msg.Members {
		if !validEntry(m) {
			continue
		}
		m.Addr = netip.AddrPortFrom(m.Addr.Addr().Unmap(), m.Addr.Port())
		e, ok := g.table.byName[m.Name]
		if ok {
			m.Gone = g.mergeDeparture(e, m, &res)
		}
		switch {
		case !ok:
			g.insert(m, &res)
			res.senderOutdated = res.senderOutdated || m.Name == msg.From
		case e == g.self:
			g.refute(m, now)
		case m.Incarnation > e.Incarnation:
			g.applyNewerIncarnation(e, m, &res)
		case m.Incarnation == e.Incarnation && statePrecedence[m.State] > statePrecedence[e.State]:
			g.applyHigherState(e, m, &res)
		case m.Name == msg.From && (m.Incarnation < e.Incarnation || m.State != e.State):
			res.senderOutdated = true
			res.addStale(e)
		case m.Incarnation < e.Incarnation && e.State == wire.Alive && m.State != wire.Alive && !g.queue.has(e.Name):
			g.queue.add(e.Name) // the sender has missed a refutation
			if !g.isDomainMember(msg.From) {
				res.addStale(e) // queued updates do not reach other failure domains
			}
		}
	}
	return res
}

// mergeDeparture returns the later departure of a known entry and a received one, and stores it. It does not depend on the
// incarnations, since a restarted member does not know the departure and has a new incarnation.
func (g *Gossiper) mergeDeparture(e *entry, m wire.Member, res *mergeResult) wire.Departure {
	switch {
	case e.Gone.After(m.Gone):
		if m.Name == res.from {
			res.addStale(e)
		}
		return e.Gone
	case m.Gone.After(e.Gone):
		changed := e.Member
		changed.Gone = m.Gone
		g.store(e, changed, res.now)
		if e != g.self {
			g.queue.add(e.Name)
			break
		}
		g.log.Info("departure recovered", "start", m.Gone.Start, "seq", m.Gone.Seq)
		g.queueSelf()
		g.departed(m.Gone)
	}
	return m.Gone
}

// addStale records that the sender has an older version of an entry.
func (r *mergeResult) addStale(e *entry) {
	if !slices.Contains(r.staleAtSender, e) {
		r.staleAtSender = append(r.staleAtSender, e)
	}
}

// insert adds an unknown member. It ignores dead and left members: they may have expired here and must not reappear.
func (g *Gossiper) insert(m wire.Member, res *mergeResult) {
	if m.State == wire.Dead || m.State == wire.Left {
		return
	}
	g.log.Info("new member", "member", m.Name, "addr", m.Addr, "state", m.State)
	g.table.put(&entry{Member: m, stateSince: res.now, knownSince: res.now})
	g.publishPending = true
	g.queueChange(m.Name, res)
}

// queueChange counts an inserted or updated entry and queues it unless it came from an exchange within the own failure
// domain.
func (g *Gossiper) queueChange(name string, res *mergeResult) {
	res.changed++
	if !res.fromDomainExchange {
		g.queue.add(name)
	}
}

// applyNewerIncarnation stores an entry with a higher incarnation.
func (g *Gossiper) applyNewerIncarnation(e *entry, m wire.Member, res *mergeResult) {
	if m.State == wire.Dead && e.State != wire.Dead {
		// Only the local suspicion timer declares a member dead: the report may come from the other side of a partition.
		m.State = e.State
		res.reportedDead = append(res.reportedDead, e)
	}
	if e.State == wire.Dead && m.State == wire.Alive && m.Name == res.from && !g.sameDomain(e) {
		g.recoveredPeer = m.Addr
	}
	if m.State != e.State {
		g.log.Info("member changed state", "member", m.Name, "from", e.State, "to", m.State)
	}
	e.renewed = res.now
	g.store(e, m, res.now)
	switch m.State {
	case wire.Dead:
	case wire.Left:
		res.changed++
		g.queue.add(m.Name)
	default:
		g.queueChange(m.Name, res)
	}
}

// applyHigherState applies an entry of the same incarnation whose state takes precedence.
func (g *Gossiper) applyHigherState(e *entry, m wire.Member, res *mergeResult) {
	switch m.State {
	case wire.Suspect:
		g.suspect(e, res.now)
	case wire.Left:
		g.store(e, m, res.now)
		g.queue.add(m.Name)
	case wire.Dead:
		if e.State == wire.Alive {
			res.reportedDead = append(res.reportedDead, e)
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

// refute raises the own incarnation above that of a received entry about this member, and spreads the own entry.
func (g *Gossiper) refute(m wire.Member, now time.Time) {
	own := g.self.Member
	if m.Incarnation < own.Incarnation {
		if m.State != wire.Alive && !g.queue.has(own.Name) {
			g.queueSelf()
		}
		return
	}
	if m == own {
		return
	}
	own.Incarnation = m.Incarnation + 1
	g.log.Info("refuted entry", "state", m.State, "inc", own.Incarnation)
	g.store(g.self, own, now)
	g.queueSelf()
	g.burst(burstFanout)
}

// requestRefutation tells members that others report them dead, so that they refute it, and probes them next in case the
// report is true.
func (g *Gossiper) requestRefutation(entries []*entry) {
	g.rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	for _, e := range entries[:min(len(entries), maxRefutationRequests)] {
		suspicion := *e
		suspicion.State = wire.Suspect
		suspicion.encodedSize = entrySize(suspicion.Member)
		g.sendTo(e.target(), wire.Gossip{Kind: kindPush}, &suspicion)
		if !slices.Contains(g.priorityProbes, e.Name) {
			g.priorityProbes = append(g.priorityProbes, e.Name)
		}
	}
}
