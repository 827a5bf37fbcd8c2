package gossiper

import "time"

// renewalTime is how long after its incarnation has grown a member may be one that has restarted and waits to be remembered.
const renewalTime = 10 * time.Second

// Remembered returns a channel that is closed once another member has shown that it knew this one before its process started. The
// memory of that member has outlived the last process of this one.
func (g *Gossiper) Remembered() <-chan struct{} {
	return g.remembered
}

// knownFor returns for how long a member that may have restarted has been known here, in any incarnation. It returns 0 if the
// member is unknown or has not restarted lately.
func (g *Gossiper) knownFor(name string, now time.Time) time.Duration {
	e, ok := g.table.byName[name]
	if !ok || now.Sub(e.renewed) > renewalTime {
		return 0
	}
	return now.Sub(e.knownSince)
}

// recordAge handles the time for which the sender of an ack has known this member. A member that first heard of this process has
// known it for less than the process has been running.
func (g *Gossiper) recordAge(age time.Duration) {
	if age <= time.Since(g.started) {
		return
	}
	g.rememberedOnce.Do(func() { close(g.remembered) })
}
