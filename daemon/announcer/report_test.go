package announcer_test

import (
	"errors"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
)

func newReport(id string, start int64, seq uint64, leaving bool) announcer.Report {
	return announcer.Report{
		Upstream: wire.Upstream{ID: id, Start: start, Service: "s", Address: netip.MustParseAddrPort("10.0.0.1:1"), Slots: 2, Conns: 2},
		Seq:      seq, Leaving: leaving,
	}
}

// TestReport guards against late reports that bring back an upstream which is leaving or whose process has ended.
func TestReport(t *testing.T) {
	readyID := func(a *announcer.Announcer) string {
		u, _ := a.Upstream()
		return u.ID
	}
	t.Run("late report after a leave", func(t *testing.T) {
		is := is.New(t)
		a := announcer.New()
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 1, false)))
		is.Equal(readyID(a), "i")
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 3, true)))
		is.Equal(readyID(a), "")
		is.True(errors.Is(a.Report(t.Context(), newReport("i", 10, 2, false)), announcer.ErrStale))
		is.Equal(readyID(a), "")
	})
	t.Run("report of an earlier process", func(t *testing.T) {
		is := is.New(t)
		a := announcer.New()
		is.NoErr(a.Report(t.Context(), newReport("j", 20, 1, false)))
		is.True(errors.Is(a.Report(t.Context(), newReport("i", 10, 9, false)), announcer.ErrStale))
		is.True(errors.Is(a.Report(t.Context(), newReport("i", 10, 10, true)), announcer.ErrStale))
		is.Equal(readyID(a), "j")
	})
	t.Run("restart under the same id", func(t *testing.T) {
		is := is.New(t)
		a := announcer.New()
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 9, false)))
		is.NoErr(a.Report(t.Context(), newReport("i", 20, 1, false))) // a new process starts numbering again
		u, ok := a.Upstream()
		is.True(ok)
		is.Equal(u.Start, int64(20))
	})
	t.Run("final leave without number", func(t *testing.T) {
		is := is.New(t)
		a := announcer.New()
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 9, false)))
		is.NoErr(a.Report(t.Context(), announcer.Report{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}))
		is.Equal(readyID(a), "")
		is.True(errors.Is(a.Report(t.Context(), newReport("i", 10, 10, false)), announcer.ErrStale))
	})
	t.Run("leave of another process", func(t *testing.T) {
		is := is.New(t)
		a := announcer.New()
		is.NoErr(a.Report(t.Context(), newReport("j", 20, 1, false)))
		is.NoErr(a.Report(t.Context(), announcer.Report{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}))
		is.Equal(readyID(a), "j")
	})
	t.Run("refused connections", func(t *testing.T) {
		is := is.New(t)
		a := announcer.New()
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 1, false)))
		u, _ := a.Upstream()
		a.MarkUnreachable(u)
		is.Equal(readyID(a), "")
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 2, false)))
		is.Equal(readyID(a), "i")
	})
}
