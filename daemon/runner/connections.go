package runner

import (
	"math"

	"golang.org/x/sys/unix"

	"bluebellhoist/core/gatekeeper"
	"bluebellhoist/daemon/pipeliner"
)

const (
	// callerShare and peerShare are the shares of the descriptors for the connections of callers and of other daemons.
	// The rest is for the own endpoints and for connections that the daemon opens.
	callerShare = 0.35
	peerShare   = 0.3
	// ownShare is the share of the descriptors for the connections of each of the other endpoints.
	ownShare = 0.04
	// connectionShare is the share of the memory for callers that the connections of callers, and those of other daemons,
	// may take without calls.
	connectionShare = 0.25
	// maxCallerConnections bounds the connections of callers if there are very many descriptors.
	maxCallerConnections = 1 << 16
)

// connectionLimits holds the largest numbers of connections of the endpoints of a daemon.
type connectionLimits struct {
	callers int // of each endpoint for callers
	peers   int // of the endpoint for other daemons
	own     int // of each of the other endpoints
}

// newConnectionLimits returns the limits for the given number of descriptors and the given bytes of memory for callers. The
// limit of the process on descriptors applies if it is lower, or if files is 0.
func newConnectionLimits(files int, memory int64) connectionLimits {
	if files == 0 {
		files = math.MaxInt32
	}
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err == nil {
		files = int(min(uint64(files), limit.Cur))
	}
	share := func(part float64, largest int) int {
		return max(1, min(int(part*float64(files)), largest))
	}
	fitting := func(connectionBytes float64) int {
		return int(min(connectionShare*float64(memory)/connectionBytes, maxCallerConnections))
	}
	return connectionLimits{
		callers: share(callerShare, fitting(pipeliner.ConnectionBytes)),
		peers:   share(peerShare, fitting(gatekeeper.ConnectionBytes)),
		own:     share(ownShare, gatekeeper.DefaultConnections),
	}
}
