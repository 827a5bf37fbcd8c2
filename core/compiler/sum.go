package compiler

import (
	"encoding/binary"
	"fmt"
	"math"

	"github.com/cespare/xxhash/v2"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

// Checksum returns the checksum of a batch: the checksum of the batch without its routes and tenants plus the hashes of all
// routes and tenants. Thus applying a delta requires hashing only what changed.
func Checksum(batch wire.Batch) (uint64, error) {
	return sumWithHashes(batch, routeKind.hashList(batch.Routes).hashes, tenantKind.hashList(batch.Tenants).hashes)
}

// sumWithHashes returns the checksum of a batch whose routes and tenants have the given hashes.
func sumWithHashes(batch wire.Batch, routeHashes, tenantHashes []uint64) (uint64, error) {
	// Nil and empty lists encode differently but are equivalent.
	if batch.Services == nil {
		batch.Services = []wire.Service{}
	}
	batch.Routes = nil
	batch.Tenants = nil
	batch.Source = nil // not sent to daemons
	data, err := encoder.Marshal(batch)
	if err != nil {
		return 0, fmt.Errorf("%w: %v", ErrInvalid, err)
	}
	sum := xxhash.Sum64(data)
	for _, h := range routeHashes {
		sum += h
	}
	for _, h := range tenantHashes {
		sum += h
	}
	return sum, nil
}

// hashInputCapacity is the number of bytes that the fields of most records take.
const hashInputCapacity = 256

// hashInput collects the fields of a record. Texts are preceded by their length, so that different fields cannot have the
// same encoding.
type hashInput []byte

func (in *hashInput) addNumber(n uint64) {
	*in = binary.LittleEndian.AppendUint64(*in, n)
}

func (in *hashInput) addText(s string) {
	in.addNumber(uint64(len(s)))
	*in = append(*in, s...)
}

// hashRoute returns a hash of all fields of a route.
func hashRoute(r *wire.Route) uint64 {
	in := make(hashInput, 0, hashInputCapacity)
	in.addText(r.Name)
	in.addText(r.Host)
	in.addText(r.Prefix)
	if r.Retryable {
		in.addNumber(1)
	} else {
		in.addNumber(0)
	}
	for _, n := range []uint64{uint64(r.Timeout), uint64(r.Target), uint64(r.Rank), uint64(r.Attempts), r.Mod, uint64(len(r.Parts))} {
		in.addNumber(n)
	}
	for _, p := range r.Parts {
		in.addText(p.Service)
		in.addNumber(uint64(p.Weight))
	}
	// Routes that are not public keep the hash that processes without this field compute.
	if r.Public {
		in.addNumber(1)
	}
	return xxhash.Sum64(in)
}

// hashTenant returns a hash of all fields of a tenant.
func hashTenant(t *wire.Tenant) uint64 {
	in := make(hashInput, 0, hashInputCapacity)
	in.addText("tenant")
	in.addText(t.Name)
	if t.Rank == nil {
		in.addNumber(0)
	} else {
		in.addNumber(1)
		in.addNumber(uint64(*t.Rank))
	}
	for _, n := range []uint64{math.Float64bits(t.Rate), math.Float64bits(t.Burst), t.Mod, uint64(len(t.Keys))} {
		in.addNumber(n)
	}
	for _, key := range t.Keys {
		in.addText(string(key))
	}
	return xxhash.Sum64(in)
}
