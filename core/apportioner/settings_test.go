package apportioner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/loader"
)

// TestSettings guards against settings with which no token would ever be valid or datagrams would go to another port.
func TestSettings(t *testing.T) {
	is := is.New(t)
	main := netip.MustParseAddrPort("10.0.0.1:7000")
	s := Settings{Window: loader.Duration(5 * time.Second), Overage: 0.1, Slack: 5}
	is.NoErr(s.Check(5))
	is.True(s.Check(6) != nil)
	is.Equal(s.Bound(), Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 5})
	is.Equal(s.ListenAddr(main), netip.MustParseAddrPort("10.0.0.1:7001"))
	is.Equal(s.ControllerAddr(main), netip.MustParseAddrPort("10.0.0.1:7001"))
	s.Port = 80
	is.Equal(s.ListenAddr(main), netip.MustParseAddrPort("10.0.0.1:80"))
	s.Listen = netip.MustParseAddrPort("0.0.0.0:90")
	is.Equal(s.ListenAddr(main), s.Listen)
	is.Equal(s.ControllerAddr(main), netip.MustParseAddrPort("10.0.0.1:80"))
	is.NoErr(Settings{}.Check(5)) // no quotas
	is.True(!Settings{}.Enabled())
	for _, invalid := range []Settings{{Window: -1}, {Overage: -1}, {Slack: -1}} {
		is.True(invalid.Check(0) != nil)
	}
}
