package compiler

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// Sum returns the checksum of a batch: that of the batch without its routes plus those of all routes, so that a delta costs
// no more than the routes that it changes.
func Sum(batch wire.Batch) (uint64, error) {
	return sumWith(batch, hashRoutes(batch.Routes))
}

// sumWith returns the checksum of a batch whose routes have the given hashes.
func sumWith(batch wire.Batch, hashes []uint64) (uint64, error) {
	// A nil list and an empty one encode differently but mean the same.
	if batch.Services == nil {
		batch.Services = []wire.Service{}
	}
	batch.Routes = nil
	batch.Source = nil // daemons do not get it
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

// hashRoute covers every field of a route. Texts are preceded by their length, so that none can pass for another.
func hashRoute(r *wire.Route) uint64 {
	buf := make([]byte, 0, 256)
	number := func(n uint64) { buf = binary.LittleEndian.AppendUint64(buf, n) }
	text := func(s string) {
		number(uint64(len(s)))
		buf = append(buf, s...)
	}
	text(r.Name)
	text(r.Host)
	text(r.Prefix)
	if r.Repeat {
		number(1)
	} else {
		number(0)
	}
	for _, n := range []uint64{uint64(r.Timeout), uint64(r.Target), uint64(r.Rank), uint64(r.Attempts), r.Mod, uint64(len(r.Parts))} {
		number(n)
	}
	for _, p := range r.Parts {
		text(p.Service)
		number(uint64(p.Weight))
	}
	return xxhash.Sum64(buf)
}
