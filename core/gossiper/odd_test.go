package gossiper_test

import (
	"math"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/wire"
)

// TestOddEntry guards against an entry that no member can have: it must not be taken or passed on, must not keep the valid
// entries of its message out, and a departure that it states must not outlive the upstreams of a VM.
func TestOddEntry(t *testing.T) {
	for name, change := range map[string]func(*wire.Member){
		"slots":               func(m *wire.Member) { m.Slots = math.MaxInt64 },
		"negative slots":      func(m *wire.Member) { m.Slots = -1 },
		"start time":          func(m *wire.Member) { m.Since = math.MaxInt64 },
		"port zero":           func(m *wire.Member) { m.Addr = netip.AddrPortFrom(m.Addr.Addr(), 0) },
		"no address":          func(m *wire.Member) { m.Addr = netip.AddrPort{} },
		"incarnation":         func(m *wire.Member) { m.Incarnation = math.MaxUint64 },
		"state":               func(m *wire.Member) { m.State = "odd" },
		"no name":             func(m *wire.Member) { m.Name = "" },
		"long name":           func(m *wire.Member) { m.Name = strings.Repeat("x", 1000) },
		"long service":        func(m *wire.Member) { m.Service = strings.Repeat("x", 1000) },
		"start of departure":  func(m *wire.Member) { m.Gone = wire.Departure{Upstream: 1, Start: math.MaxInt64, Seq: 1} },
		"departure before it": func(m *wire.Member) { m.Gone = wire.Departure{Upstream: 1, Start: -1, Seq: 1} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				g := gossiper.New(gossiper.WithSelf(wire.Member{Name: "a", Addr: address(1)}))
				defer runInBackground(g)()
				odd := wire.Member{Name: "c", Addr: address(3), Incarnation: 7, State: wire.Alive, Service: "stock", Slots: 4, Ready: true}
				change(&odd)
				push := wire.Gossip{Kind: "push", From: "b", Members: []wire.Member{
					odd,
					{Name: "b", Addr: address(2), Incarnation: 7, State: wire.Alive, Service: "stock", Slots: 4, Ready: true},
				}}
				body, err := encoder.Marshal(push)
				is.NoErr(err)
				g.Deliver(address(2), withChecksum(body))
				time.Sleep(time.Second)
				synctest.Wait()
				is.Equal(len(g.Members()), 2) // the own entry and the valid one
				is.Equal(lookup(g, "b").Slots, 4)
			})
		})
	}
}
