package gossiper_test

import (
	"context"
	"encoding/binary"
	"hash/crc32"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/encoder"
	"bluebellhoist/core/gossiper"
	"bluebellhoist/core/wire"
)

// withChecksum returns the datagram with the given body: the checksum followed by the body.
func withChecksum(body []byte) []byte {
	sum := crc32.Checksum(body, crc32.MakeTable(crc32.Castagnoli))
	return append(binary.BigEndian.AppendUint32(nil, sum), body...)
}

// runInBackground runs g in a goroutine until the returned function is called.
func runInBackground(g *gossiper.Gossiper) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error)
	go func() { runErr <- g.Run(ctx) }()
	return func() {
		cancel()
		<-runErr
	}
}

// FuzzDeliver guards against datagrams that crash the process or replace the own entry. The input is delivered as is, and
// again with a valid checksum to reach decoding and merging.
func FuzzDeliver(f *testing.F) {
	self := wire.Member{Name: "a", Addr: address(1), Incarnation: 5, State: wire.Alive}
	for _, state := range []string{wire.Alive, wire.Suspect, wire.Dead, wire.Left, "?"} {
		for _, kind := range []string{"ping", "ack", "relay", "push", "sums", "sync", "?"} {
			other := wire.Member{Name: "b", Addr: address(2), Incarnation: 7, State: state}
			selfReport := self
			selfReport.State, selfReport.Incarnation = state, 1<<63
			body, err := encoder.Marshal(wire.Gossip{Kind: kind, From: "b", Seq: 1, Target: address(3), Members: []wire.Member{other, selfReport, {}}})
			if err != nil {
				f.Fatal(err)
			}
			f.Add(body)
			body[len(body)/2] ^= 0x10
			f.Add(body[:len(body)-3])
		}
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			g := gossiper.New(gossiper.WithSelf(self), gossiper.WithSend(func(_ netip.AddrPort, data []byte) error {
				is.True(len(data) <= gossiper.MaxDatagram)
				return nil
			}))
			defer runInBackground(g)()
			g.Deliver(address(2), body)
			g.Deliver(address(2), withChecksum(body))
			time.Sleep(6 * time.Second)
			synctest.Wait()
			own := lookup(g, self.Name)
			is.True(own.State == wire.Alive && own.Incarnation >= self.Incarnation && own.Addr == self.Addr) // the own entry is unchanged
		})
	})
}

// TestCorruption guards against a bit error that yields a valid entry with wrong contents.
func TestCorruption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := gossiper.New(gossiper.WithSelf(wire.Member{Name: "a", Addr: address(1)}))
		defer runInBackground(g)()
		body, err := encoder.Marshal(wire.Gossip{Kind: "push", From: "b",
			Members: []wire.Member{{Name: "b", Addr: address(2), Incarnation: 7, State: wire.Alive}}})
		is.NoErr(err)
		data := withChecksum(body)
		for i := range len(data) * 8 {
			data[i/8] ^= 1 << (i % 8)
			g.Deliver(address(2), data)
			data[i/8] ^= 1 << (i % 8)
		}
		synctest.Wait()
		is.Equal(len(g.Members()), 1)
		g.Deliver(address(2), data)
		time.Sleep(time.Second)
		is.Equal(len(g.Members()), 2)
	})
}
