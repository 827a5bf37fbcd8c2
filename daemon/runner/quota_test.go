package runner

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/apportioner"
	"bluebellhoist/daemon/subscriber"
)

// TestControllerOrder guards against asks that go first to controllers of other failure domains, to a controller twice, or always
// to the same one of those that are left.
func TestControllerOrder(t *testing.T) {
	is := is.New(t)
	addr := func(i byte) netip.AddrPort { return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 7000) }
	quota := func(i byte) netip.AddrPort { return netip.AddrPortFrom(addr(i).Addr(), 7001) }
	now, connected := time.Duration(0), true
	o := &controllerOrder{
		domain: "own", random: rand.New(rand.NewPCG(1, 1)), clock: func() time.Duration { return now },
		known: func() []subscriber.Controller {
			return []subscriber.Controller{
				{Addr: addr(1), Domain: "a"}, {Addr: addr(2), Domain: "own"}, {Addr: addr(3), Domain: "b"}, {Addr: addr(4), Domain: "c"},
				{Addr: addr(1)}, {Addr: addr(2)}, {Addr: addr(3)},
			}
		},
		session:   func() (subscriber.Controller, bool) { return subscriber.Controller{Addr: addr(3)}, connected },
		quotaAddr: apportioner.Settings{}.ControllerAddr,
	}
	third := map[netip.AddrPort]bool{}
	for range 20 {
		now += orderLifetime
		got := o.addrs()
		is.Equal(got[:2], []netip.AddrPort{quota(3), quota(2)})
		is.Equal(len(got), 4)
		third[got[2]] = true
	}
	is.Equal(third, map[netip.AddrPort]bool{quota(1): true, quota(4): true})
	connected = false
	is.Equal(o.addrs()[0], quota(3)) // the order is kept for a while
	now += orderLifetime
	is.Equal(o.addrs()[0], quota(2))
}

// TestQuotaSettings guards against settings of quotas that are ignored or accepted although they are invalid.
func TestQuotaSettings(t *testing.T) {
	is := is.New(t)
	text := `{"name": "d", "domain": "f", "batch": "b", "routes": "127.0.0.1:1", "peers": "127.0.0.1:2", "seeds": ["127.0.0.1:3"],
		"quota": {"window": "5s", "overage": 0.1, "slack": 20, "port": 9}}`
	s, err := Parse([]byte(text))
	is.NoErr(err)
	is.Equal(s.Quota.Bound(), apportioner.Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20})
	is.Equal(s.Quota.ListenAddr(s.bind()), netip.MustParseAddrPort("127.0.0.1:9"))
	_, err = Parse([]byte(strings.Replace(text, `"overage": 0.1`, `"overage": -0.1`, 1)))
	is.True(err != nil)
}
