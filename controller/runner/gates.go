package runner

import (
	"math"

	"golang.org/x/sys/unix"

	"bluebellhoist/core/gatekeeper"
)

const (
	// mainShare is the share of the descriptors for the connections of daemons, controllers and operators on the main
	// endpoint, and otherShare that of each other endpoint. The rest is for files and connections that the node opens.
	mainShare  = 0.6
	otherShare = 0.1
	// connectionShare is the share of the memory for requests that the connections of the main endpoint may take without
	// requests. Sessions of daemons are most of them.
	connectionShare = 0.5
	// maxMainConnections bounds the connections of the main endpoint if there are very many descriptors.
	maxMainConnections = 1 << 14
	// bodyCost is the memory that a byte of a change takes at most until it is answered: the text, its parsed form and the
	// change.
	bodyCost = 8
)

// newGate returns the gate of an endpoint.
func (r *Runner) newGate(name string, connections int) *gatekeeper.Gate {
	return gatekeeper.New(name, gatekeeper.WithAccount(r.account), gatekeeper.WithMaxConnections(connections),
		gatekeeper.WithBodyCost(bodyCost), gatekeeper.WithLogger(r.log.Named("gatekeeper")))
}

// mainConnections returns the largest number of connections of the main endpoint.
func (r *Runner) mainConnections() int {
	limit := connectionShare * float64(r.account.Size()) / gatekeeper.ConnectionBytes
	return r.connections(mainShare, int(min(limit, maxMainConnections)))
}

// otherConnections returns the largest number of connections of each endpoint other than the main one.
func (r *Runner) otherConnections() int {
	return r.connections(otherShare, gatekeeper.DefaultConnections)
}

// connections returns a share of the descriptors that the process may open, but at most limit and at least 1.
func (r *Runner) connections(share float64, limit int) int {
	files := r.settings.Files
	if files == 0 {
		files = math.MaxInt32
	}
	var system unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &system); err == nil {
		files = int(min(uint64(files), system.Cur))
	}
	return max(1, min(int(share*float64(files)), limit))
}
