package carrier

import (
	"context"
	"encoding/binary"
	"errors"
	"hash/crc32"
	"net"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/encoder"
	"bluebellhoist/core/wire"
)

var sample = wire.Quota{Kind: Allot, Seq: 1 << 63, Batch: "mesh", Voters: 3, Items: []wire.QuotaItem{
	{Tenant: "daegu", Mod: 9, Count: 4, Extra: 3, Wait: MaxWait}, {Tenant: "buk"},
}}

// assertFull fails if a field of a struct is zero.
func assertFull(t *testing.T, v any) {
	t.Helper()
	value := reflect.ValueOf(v)
	for i := range value.NumField() {
		if value.Field(i).IsZero() {
			t.Errorf("test has no value for %s", value.Type().Field(i).Name)
		}
	}
}

// TestDatagram guards against datagrams that change on the way, are larger than a link carries, or are damaged.
func TestDatagram(t *testing.T) {
	is := is.New(t)
	assertFull(t, sample)
	assertFull(t, sample.Items[0])
	data, err := Encode(sample)
	is.NoErr(err)
	got, err := Decode(data)
	is.NoErr(err)
	is.Equal(got, sample)
	data[len(data)/2] ^= 1
	_, err = Decode(data)
	is.True(errors.Is(err, ErrInvalid))
	large := wire.Quota{Kind: Ask, Batch: strings.Repeat("b", MaxDatagram)}
	_, err = Encode(large)
	is.True(errors.Is(err, ErrInvalid))
}

// TestRange guards against values that a receiver does not expect.
func TestRange(t *testing.T) {
	for name, change := range map[string]func(*wire.Quota){
		"kind":     func(m *wire.Quota) { m.Kind = "other" },
		"voters":   func(m *wire.Quota) { m.Voters = -1 },
		"batch":    func(m *wire.Quota) { m.Batch = strings.Repeat("b", 65) },
		"tenant":   func(m *wire.Quota) { m.Items[0].Tenant = strings.Repeat("b", compiler.MaxTenantName+1) },
		"negative": func(m *wire.Quota) { m.Items[0].Count = -1 },
		"count":    func(m *wire.Quota) { m.Items[0].Count = MaxCount + 1 },
		"extra":    func(m *wire.Quota) { m.Items[0].Extra = -1 },
		"wait":     func(m *wire.Quota) { m.Items[0].Wait = MaxWait + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			msg := sample
			msg.Items = []wire.QuotaItem{sample.Items[0]}
			change(&msg)
			data, err := Encode(msg)
			is.NoErr(err)
			_, err = Decode(data)
			is.True(errors.Is(err, ErrInvalid))
		})
	}
}

// TestCarry guards against messages that are lost or changed on a real socket, and against a carrier that ends on an invalid
// datagram.
func TestCarry(t *testing.T) {
	is := is.New(t)
	received := make(chan wire.Quota, 1)
	loopback := netip.MustParseAddrPort("127.0.0.1:0")
	to := New(loopback, WithDeliver(func(_ netip.AddrPort, msg wire.Quota) { received <- msg }))
	from := New(loopback)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- to.Run(ctx) }()
	is.NoErr(to.Open())
	is.NoErr(from.Open())
	addr := to.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	_, err := from.conn.WriteToUDPAddrPort([]byte("invalid"), addr)
	is.NoErr(err)
	is.NoErr(from.Send(addr, sample))
	select {
	case msg := <-received:
		is.Equal(msg, sample)
	case <-time.After(time.Minute):
		t.Error("no message received")
	}
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
	is.NoErr(from.conn.Close())
}

// FuzzDecode guards against datagrams that crash the process or are decoded to values out of range. The input is decoded as is,
// and again with a valid checksum to reach the decoder.
func FuzzDecode(f *testing.F) {
	for _, kind := range []string{Ask, Allot, Decline, "other"} {
		msg := sample
		msg.Kind = kind
		body, err := encoder.Marshal(newRow(msg))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
		body[len(body)/2] ^= 0x10
		f.Add(body[:len(body)-3])
	}
	f.Add([]byte{})
	f.Fuzz(func(t *testing.T, body []byte) {
		_, _ = Decode(body)
		data := binary.BigEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli))
		msg, err := Decode(append(data, body...))
		if err != nil {
			return
		}
		is := is.New(t)
		is.NoErr(check(msg))
		_, err = encoder.Marshal(newRow(msg))
		is.NoErr(err)
	})
}

// TestUnusedSocket guards against a socket that is open although nothing is sent, and a carrier that does not end without one.
func TestUnusedSocket(t *testing.T) {
	is := is.New(t)
	c := New(netip.MustParseAddrPort("127.0.0.1:0"))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.True(errors.Is(c.Run(ctx), context.Canceled))
	is.True(c.conn == nil)
}

// BenchmarkDatagram measures what a datagram costs each side.
func BenchmarkDatagram(b *testing.B) {
	msg := wire.Quota{Kind: Ask, Seq: 1 << 31, Batch: "mesh", Items: []wire.QuotaItem{{Tenant: "tenant-17", Mod: 70_000, Count: 1}}}
	b.ReportAllocs()
	for b.Loop() {
		data, err := Encode(msg)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := Decode(data); err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data)), "B/datagram")
	}
}
