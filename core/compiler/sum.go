package compiler

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// Checksum returns the checksum of a batch: the checksum of the batch without its routes plus the hashes of all routes.
// Thus applying a delta requires hashing only the changed routes.
func Checksum(batch wire.Batch) (uint64, error) {
	return sumWithRouteHashes(batch, hashRoutes(batch.Routes))
}

// sumWithRouteHashes returns the checksum of a batch whose routes have the given hashes.
func sumWithRouteHashes(batch wire.Batch, hashes []uint64) (uint64, error) {
	// Nil and empty lists encode differently but are equivalent.
	if batch.Services == nil {
		batch.Services = []wire.Service{}
	}
	batch.Routes = nil
	batch.Source = nil // not sent to daemons
	data, err := encoder.Marshal(batch)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	sum := xxhash.Sum64(data)
	for _, h := range hashes {
		sum += h
	}
	return sum, nil
}

func hashRoutes(routes []wire.Route) []uint64 {
	hashes := make([]uint64, len(routes))
	for i := range routes {
		hashes[i] = hashRoute(&routes[i])
	}
	return hashes
}

// hashRoute returns a hash of all fields of a route. Strings are preceded by their length, so that different fields cannot
// have the same encoding.
func hashRoute(r *wire.Route) uint64 {
	buf := make([]byte, 0, 256)
	appendNumber := func(n uint64) { buf = binary.LittleEndian.AppendUint64(buf, n) }
	appendText := func(s string) {
		appendNumber(uint64(len(s)))
		buf = append(buf, s...)
	}
	appendText(r.Name)
	appendText(r.Host)
	appendText(r.Prefix)
	if r.Retryable {
		appendNumber(1)
	} else {
		appendNumber(0)
	}
	for _, n := range []uint64{uint64(r.Timeout), uint64(r.Target), uint64(r.Rank), uint64(r.Attempts), r.Mod, uint64(len(r.Parts))} {
		appendNumber(n)
	}
	for _, p := range r.Parts {
		appendText(p.Service)
		appendNumber(uint64(p.Weight))
	}
	return xxhash.Sum64(buf)
}
