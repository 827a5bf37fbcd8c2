package storer_test

import (
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/controller/storer"
)

// TestInitFounder guards against founders that start with different memberships, and against initializing a founder in a
// folder that is already in use.
func TestInitFounder(t *testing.T) {
	is := is.New(t)
	founders := []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7"), netip.MustParseAddrPort("10.0.0.3:7"),
	}
	var first []*storer.Storer
	for i, self := range founders {
		folder := t.TempDir()
		order := append(append([]netip.AddrPort{}, founders[i:]...), founders[:i]...)
		is.NoErr(storer.InitFounder(folder, self, order))
		s, err := storer.Open(folder, self.String())
		is.NoErr(err)
		first = append(first, s)
	}
	for _, s := range first[1:] {
		is.Equal(s.Identity().Cluster, first[0].Identity().Cluster)
		is.Equal(s.State().Entries, first[0].State().Entries)
		is.True(s.Identity().ID != first[0].Identity().ID)
	}
	for _, s := range first {
		is.NoErr(s.Close())
	}

	folder := t.TempDir()
	joined, err := storer.Open(folder, founders[0].String()) // a replaced disk after the first start
	is.NoErr(err)
	id := joined.Identity().ID
	is.NoErr(joined.Close())
	is.NoErr(storer.InitFounder(folder, founders[0], founders))
	again, err := storer.Open(folder, founders[0].String())
	is.NoErr(err)
	is.Equal(again.Identity().ID, id)
	is.Equal(again.Identity().Cluster, "")
	is.NoErr(again.Close())
}
