package courier

import (
	"errors"
	"math"
	"runtime/debug"
	"sync/atomic"
)

const (
	// smallHeadBytes and smallBodyBytes are the memory up to which a header section and a body do not count against the
	// memory for responses, so that calls with small responses still succeed while other upstreams send endless ones.
	smallHeadBytes = 16 << 10
	smallBodyBytes = 64 << 10
	// memoryLimitDivisor bounds the memory for responses: one client may use the memory limit of the process divided by
	// memoryLimitDivisor. A daemon has two clients.
	memoryLimitDivisor = 8
	// fallbackMemoryBytes is the memory for responses if the process has no memory limit.
	fallbackMemoryBytes = 256 << 20
)

var errTooLarge = errors.New("response is too large")

// responseMemory limits the memory of the responses that are being read at the same time.
type responseMemory struct {
	available atomic.Int64
}

// defaultMemoryBytes returns the memory for responses that fits the memory limit of the process.
func defaultMemoryBytes() int64 {
	if limit := debug.SetMemoryLimit(-1); limit < math.MaxInt64 {
		return limit / memoryLimitDivisor
	}
	return fallbackMemoryBytes
}

// tryReserve reserves bytes and reports whether enough were available.
func (m *responseMemory) tryReserve(bytes int64) bool {
	if m.available.Add(-bytes) >= 0 {
		return true
	}
	m.available.Add(bytes)
	return false
}

// reservation is the part of the memory that one response takes while it is read.
type reservation struct {
	memory *responseMemory
	bytes  int64
}

// grow reserves further bytes, or returns an error if they are not available.
func (r *reservation) grow(bytes int64) error {
	if !r.memory.tryReserve(bytes) {
		return errTooLarge
	}
	r.bytes += bytes
	return nil
}

// growBeyond returns a function that reserves what exceeds the given number of bytes in total.
func (r *reservation) growBeyond(free int64) func(bytes int64) error {
	return func(bytes int64) error {
		free -= bytes
		if free >= 0 {
			return nil
		}
		bytes, free = -free, 0
		return r.grow(bytes)
	}
}

func (r *reservation) release() {
	r.memory.available.Add(r.bytes)
}
