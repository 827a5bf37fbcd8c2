package announcer_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
)

// recorder is a replicated log that holds the departures of one VM.
type recorder struct {
	gone map[uint64]wire.Departure
	err  error
}

func newRecorder() *recorder {
	return &recorder{gone: map[uint64]wire.Departure{}}
}

func (r *recorder) record(_ context.Context, d wire.Departure) error {
	if r.err == nil && d.After(r.gone[d.Upstream]) {
		r.gone[d.Upstream] = d
	}
	return r.err
}

// restarted returns the announcer of a daemon that has restarted and has got the departures from the replicated log only.
func (r *recorder) restarted(opts ...announcer.Option) *announcer.Announcer {
	a, _ := memberOf(append([]announcer.Option{announcer.WithRecord(r.record)}, opts...)...)
	var all []wire.Departure
	for _, d := range r.gone {
		all = append(all, d)
	}
	a.RestoreAll(all)
	return a
}

// TestRecord guards against an acknowledged leave that is forgotten when the processes of all members end at once: a report from
// before it, which arrives after the restart, brings the upstream back.
func TestRecord(t *testing.T) {
	ready, late := newReport("i", 10, 4, false), newReport("i", 10, 5, false)
	cases := []struct {
		name    string
		reports []announcer.Report
		late    announcer.Report
	}{
		{"deregistered", []announcer.Report{ready, {Upstream: wire.Upstream{ID: "i", Start: 10}, Leaving: true, Final: true}}, late},
		{"deregistered without a start time", []announcer.Report{ready, {Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}}, late},
		{"draining", []announcer.Report{ready, newReport("i", 10, 6, true)}, late},
		{"unknown to the daemon", []announcer.Report{{Upstream: wire.Upstream{ID: "i", Start: 10}, Leaving: true, Final: true}}, late},
		{"unknown, without a start time", []announcer.Report{{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}}, late},
		{"of an earlier process", []announcer.Report{newReport("j", 20, 1, false), {Upstream: wire.Upstream{ID: "i", Start: 10}, Leaving: true, Final: true}}, late},
		{"followed by the leave of another", []announcer.Report{
			ready, newReport("i", 10, 6, true), newReport("j", 20, 1, false), newReport("j", 20, 2, true),
		}, late},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			log := newRecorder()
			a := log.restarted()
			for _, r := range c.reports {
				err := a.Report(t.Context(), r)
				is.True(err == nil || errors.Is(err, announcer.ErrStale)) // both are acknowledged
			}
			a = log.restarted()
			is.True(errors.Is(a.Report(t.Context(), c.late), announcer.ErrStale))
			requireReady(t, a, "")
			later := c.late
			later.Upstream.Start = announcerFuture
			is.NoErr(a.Report(t.Context(), later)) // the next process under the same id
			requireReady(t, a, "i")
		})
	}
}

// announcerFuture is the start of a process that starts after all others of a test, in ms since 1970.
const announcerFuture = 4_000_000_000_000

// TestRecordFails guards against a leave that is acknowledged although it is not in the replicated log.
func TestRecordFails(t *testing.T) {
	is := is.New(t)
	log := newRecorder()
	a := log.restarted()
	is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
	log.err = errors.New("no majority")
	gone := announcer.Report{Upstream: wire.Upstream{ID: "i", Start: 10}, Leaving: true, Final: true}
	is.True(errors.Is(a.Report(t.Context(), gone), announcer.ErrUnconfirmed))
	requireReady(t, a, "") // it takes effect here
	log.err = nil
	is.True(errors.Is(a.Report(t.Context(), gone), announcer.ErrStale)) // repeated, and recorded now
	is.Equal(log.gone[wire.HashUpstream("i")], departed("i", 10))
}

// TestFolder guards against a daemon with a data folder that serves by its stored configuration, without a controller, and has
// forgotten a leave.
func TestFolder(t *testing.T) {
	is := is.New(t)
	folder := filepath.Join(t.TempDir(), "data")
	a, _ := memberOf(announcer.WithFolder(folder))
	is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
	is.NoErr(a.Report(t.Context(), announcer.Report{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}))
	a, _ = memberOf(announcer.WithFolder(folder))
	is.True(errors.Is(a.Report(t.Context(), newReport("i", 10, 5, false)), announcer.ErrStale))
	requireReady(t, a, "")

	is.NoErr(os.RemoveAll(folder)) // departures can no longer be stored
	is.NoErr(a.Report(t.Context(), newReport("j", 20, 1, false)))
	err := a.Report(t.Context(), newReport("j", 20, 2, true))
	is.True(errors.Is(err, announcer.ErrUnconfirmed) && errors.Is(err, announcer.ErrStore))
}
