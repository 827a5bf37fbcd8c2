package announcer_test

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
)

// services is a configuration that tests change. A nil one stands for none.
type services map[string]bool

// options returns the options with which an announcer reads the configuration.
func (s *services) options() []announcer.Option {
	return []announcer.Option{
		announcer.WithServices(func(service string) bool { return (*s)[service] }),
		announcer.WithConfigured(func() bool { return *s != nil }),
	}
}

// reportOf returns a report for a service. The number is that of the report among those of its process.
func reportOf(service, id string, start int64, seq uint64, leaving bool) announcer.Report {
	r := newReport(id, start, seq, leaving)
	r.Upstream.Service = service
	return r
}

// TestForeignReport guards against a report of another writer, for a service that no configuration has, after which the
// reports of the upstream on this VM count as those of an earlier process, so that it gets no calls for as long as it lives.
func TestForeignReport(t *testing.T) {
	foreign, foreignLeave := reportOf("unknown", "x", 20, 1, false), reportOf("unknown", "x", 20, 2, true)
	t.Run("nothing announced", func(t *testing.T) {
		is := is.New(t)
		a, m := memberOf((&services{"s": true}).options()...)
		is.True(errors.Is(a.Report(t.Context(), foreign), announcer.ErrUnknownService))
		requireReady(t, a, "")
		is.Equal(*m, wire.Member{})
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
		requireReady(t, a, "i")
	})
	t.Run("leave, nothing announced", func(t *testing.T) {
		is := is.New(t)
		a, m := memberOf((&services{"s": true}).options()...)
		is.True(errors.Is(a.Report(t.Context(), foreignLeave), announcer.ErrUnknownService))
		is.Equal(*m, wire.Member{})
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
		requireReady(t, a, "i")
	})
	t.Run("leave, upstream announced", func(t *testing.T) {
		is := is.New(t)
		a, _ := memberOf((&services{"s": true}).options()...)
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
		is.True(errors.Is(a.Report(t.Context(), foreignLeave), announcer.ErrUnknownService))
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 5, false)))
		requireReady(t, a, "i")
	})
	t.Run("before there is a configuration", func(t *testing.T) {
		is := is.New(t)
		var configured services
		a, _ := memberOf(configured.options()...)
		is.NoErr(a.Report(t.Context(), foreign))
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
		requireReady(t, a, "i")
		configured = services{"s": true}
		is.True(errors.Is(a.Report(t.Context(), reportOf("unknown", "x", 20, 2, false)), announcer.ErrUnknownService))
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 5, false)))
		requireReady(t, a, "i")
	})
	foreignGone := announcer.Report{Upstream: wire.Upstream{ID: "x", Start: 20}, Leaving: true, Final: true}
	t.Run("deregistration", func(t *testing.T) {
		for _, reports := range [][]announcer.Report{
			{foreignGone, newReport("i", 10, 4, false)},
			{newReport("i", 10, 4, false), foreignGone, newReport("i", 10, 5, false)},
		} {
			is := is.New(t)
			log := newRecorder()
			a := log.restarted()
			for _, r := range reports {
				is.NoErr(a.Report(t.Context(), r))
			}
			requireReady(t, a, "i")
			a = log.restarted()
			is.NoErr(a.Report(t.Context(), newReport("i", 10, 6, false)))
			requireReady(t, a, "i")
		}
	})
	t.Run("leave before there is a configuration", func(t *testing.T) {
		is := is.New(t)
		var configured services
		a, _ := memberOf(configured.options()...)
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
		is.NoErr(a.Report(t.Context(), foreignLeave))
		requireReady(t, a, "i")
		configured = services{"s": true}
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 5, false)))
		requireReady(t, a, "i")
	})
	t.Run("announced when the configuration arrives", func(t *testing.T) {
		is := is.New(t)
		var configured services
		a, _ := memberOf(configured.options()...)
		is.NoErr(a.Report(t.Context(), foreign))
		configured = services{"s": true}
		is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
		requireReady(t, a, "i")
	})
}

// TestEarlierProcess guards against the late report of an earlier process that replaces the upstream before there is a
// configuration, and after its service was removed from the configuration.
func TestEarlierProcess(t *testing.T) {
	is := is.New(t)
	var configured services
	a, _ := memberOf(configured.options()...)
	is.NoErr(a.Report(t.Context(), newReport("j", 20, 1, false)))
	is.True(errors.Is(a.Report(t.Context(), newReport("i", 10, 9, false)), announcer.ErrStale))
	configured = services{"s": true, "r": true}
	is.NoErr(a.Report(t.Context(), newReport("j", 20, 2, false)))
	configured = services{"r": true}
	is.NoErr(a.Report(t.Context(), newReport("j", 20, 3, false))) // the removed service is still that of a known process
	is.True(errors.Is(a.Report(t.Context(), reportOf("r", "i", 10, 9, false)), announcer.ErrStale))
	requireReady(t, a, "j")
}

// TestIncompleteReport guards against a report that lacks its id, start time or number. It could not be told from a later
// one after a leave.
func TestIncompleteReport(t *testing.T) {
	is := is.New(t)
	a, _ := memberOf()
	is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
	is.NoErr(a.Report(t.Context(), newReport("i", 10, 6, true)))
	for _, r := range []announcer.Report{newReport("", 10, 7, false), newReport("i", 0, 7, false), newReport("i", 10, 0, false)} {
		is.True(errors.Is(a.Report(t.Context(), r), announcer.ErrInvalid))
		requireReady(t, a, "")
	}
}
