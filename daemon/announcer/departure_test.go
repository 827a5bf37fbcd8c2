package announcer_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/announcer"
)

// departed returns the departure of an upstream of which all reports are out of date.
func departed(id string, start int64) wire.Departure {
	return wire.Departure{Upstream: wire.HashUpstream(id), Start: start, Seq: wire.FinalSeq}
}

// drained returns the departure of the process of i that started at 10, after its report with the number seq.
func drained(seq uint64) wire.Departure {
	return wire.Departure{Upstream: wire.HashUpstream("i"), Start: 10, Seq: seq}
}

// requireReady fails the test if another upstream than the given one is announced; an empty id stands for none.
func requireReady(t *testing.T, a *announcer.Announcer, id string) {
	t.Helper()
	u, _ := a.Upstream()
	is.New(t).Equal(u.ID, id)
}

// memberOf returns an announcer with the options and the member entry that it changes. The entry is not synchronized.
func memberOf(opts ...announcer.Option) (*announcer.Announcer, *wire.Member) {
	var m wire.Member
	update := func(change func(*wire.Member)) { change(&m) }
	return announcer.New(append([]announcer.Option{announcer.WithMemberUpdate(update)}, opts...)...), &m
}

// TestRecovery guards against a restarted daemon that announces an upstream which had left, and against one that holds back
// an upstream which had not.
func TestRecovery(t *testing.T) {
	cases := []struct {
		name     string
		restored wire.Departure
		report   announcer.Report
		want     string
	}{
		{"nothing had left", wire.Departure{}, newReport("i", 10, 4, false), "i"},
		{"deregistered", departed("i", 10), newReport("i", 10, 4, false), ""},
		{"drained, late report", wire.Departure{Upstream: wire.HashUpstream("i"), Start: 10, Seq: 5}, newReport("i", 10, 4, false), ""},
		{"drained, ready again", wire.Departure{Upstream: wire.HashUpstream("i"), Start: 10, Seq: 5}, newReport("i", 10, 6, false), "i"},
		{"later process", departed("i", 10), newReport("i", 11, 1, false), "i"},
		{"another upstream, earlier", departed("i", 10), newReport("h", 9, 99, false), ""},
		{"another upstream, later", departed("i", 10), newReport("j", 11, 1, false), "j"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				recovered := make(chan struct{})
				a, _ := memberOf(announcer.WithRecovered(recovered))
				ctx, cancel := context.WithCancel(t.Context())
				ended := make(chan error)
				go func() { ended <- a.Run(ctx) }()
				is.NoErr(a.Report(ctx, c.report))
				synctest.Wait()
				requireReady(t, a, "") // nothing is announced before the departure is known
				a.Restore(c.restored)
				close(recovered)
				synctest.Wait()
				requireReady(t, a, c.want)
				cancel()
				<-ended
			})
		})
		t.Run(c.name+", restored late", func(t *testing.T) {
			a, _ := memberOf()
			is.New(t).NoErr(a.Report(t.Context(), c.report))
			requireReady(t, a, c.report.Upstream.ID)
			a.Restore(c.restored)
			requireReady(t, a, c.want)
		})
	}
}

// TestHeldLeave guards against an announcement that was held back during the recovery and takes effect after a leave.
func TestHeldLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		recovered := make(chan struct{})
		a, m := memberOf(announcer.WithRecovered(recovered))
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error)
		go func() { ended <- a.Run(ctx) }()
		is.NoErr(a.Report(ctx, newReport("i", 10, 4, false)))
		is.NoErr(a.Report(ctx, announcer.Report{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}))
		close(recovered)
		synctest.Wait()
		requireReady(t, a, "")
		is.Equal(m.Gone, departed("i", 10))
		cancel()
		<-ended
	})
}

// TestDeparture guards against a leave that is not recorded, or of which other members hear the wrong process. A process that has
// not reported to this daemon may be of another writer, so that members, who keep one departure for each VM, do not hear of it.
func TestDeparture(t *testing.T) {
	ready, draining := newReport("i", 10, 4, false), newReport("i", 10, 6, true)
	gone := announcer.Report{Upstream: wire.Upstream{ID: "i", Start: 10}, Leaving: true, Final: true}
	undated := announcer.Report{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}
	cases := []struct {
		name     string
		reports  []announcer.Report
		gossiped wire.Departure
		recorded wire.Departure
	}{
		{"none", []announcer.Report{ready}, wire.Departure{}, wire.Departure{}},
		{"draining", []announcer.Report{ready, draining}, drained(6), drained(6)},
		{"still draining", []announcer.Report{ready, draining, newReport("i", 10, 7, true)}, drained(6), drained(6)},
		{"draining, one report lost", []announcer.Report{ready, draining, newReport("i", 10, 8, true)}, drained(8), drained(8)},
		{"drained and deregistered", []announcer.Report{ready, draining, gone}, departed("i", 10), departed("i", 10)},
		{"no start time", []announcer.Report{ready, undated}, departed("i", 10), departed("i", 10)},
		{"daemon restarted before", []announcer.Report{gone}, wire.Departure{}, departed("i", 10)},
		{"daemon restarted before, draining", []announcer.Report{draining}, drained(6), drained(6)},
		{"before a later process", []announcer.Report{gone, newReport("i", 20, 1, false)}, wire.Departure{}, departed("i", 10)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			log := newRecorder()
			a, m := memberOf(announcer.WithRecord(log.record))
			for _, r := range c.reports {
				is.NoErr(a.Report(t.Context(), r))
			}
			is.Equal(m.Gone, c.gossiped)
			is.Equal(log.gone[wire.HashUpstream("i")], c.recorded)
		})
	}
	t.Run("daemon restarted before, no start time", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			log := newRecorder()
			a, m := memberOf(announcer.WithRecord(log.record))
			is.NoErr(a.Report(t.Context(), undated))
			is.Equal(m.Gone, wire.Departure{})
			is.Equal(log.gone[wire.HashUpstream("i")], departed("i", time.Now().UnixMilli())) // received in fake time
		})
	})
}

// TestConfirmation guards against a leave that is acknowledged although only this process knows of it.
func TestConfirmation(t *testing.T) {
	confirmations, reachable := 0, false
	a, _ := memberOf(announcer.WithConfirm(func(context.Context) error {
		confirmations++
		if !reachable {
			return errors.New("nobody answers")
		}
		return nil
	}))
	is := is.New(t)
	is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
	is.Equal(confirmations, 0)
	gone := announcer.Report{Upstream: wire.Upstream{ID: "i", Start: 10}, Leaving: true, Final: true}
	is.True(errors.Is(a.Report(t.Context(), gone), announcer.ErrUnconfirmed))
	requireReady(t, a, "") // it takes effect here
	is.True(errors.Is(a.Report(t.Context(), gone), announcer.ErrUnconfirmed))
	reachable = true
	is.True(errors.Is(a.Report(t.Context(), gone), announcer.ErrStale)) // repeated, and now confirmed
	is.Equal(confirmations, 3)
	is.True(errors.Is(a.Report(t.Context(), gone), announcer.ErrStale))
	is.Equal(confirmations, 3)
}

// TestUndatedLeave guards against late reports of an upstream that left without a start time at a daemon that did not know
// it, and against refusing its next process.
func TestUndatedLeave(t *testing.T) {
	is := is.New(t)
	a, _ := memberOf()
	now := time.Now().UnixMilli()
	is.NoErr(a.Report(t.Context(), announcer.Report{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}))
	is.True(errors.Is(a.Report(t.Context(), newReport("i", now-1000, 9, false)), announcer.ErrStale))
	is.NoErr(a.Report(t.Context(), newReport("i", now+60_000, 1, false)))
	requireReady(t, a, "i")
}

// TestLeaveOfAnother guards against the leave of another upstream after which late reports of the announced one are accepted.
func TestLeaveOfAnother(t *testing.T) {
	is := is.New(t)
	a, _ := memberOf()
	is.NoErr(a.Report(t.Context(), newReport("j", 20, 5, false)))
	is.NoErr(a.Report(t.Context(), announcer.Report{Upstream: wire.Upstream{ID: "i"}, Leaving: true, Final: true}))
	requireReady(t, a, "j")
	is.True(errors.Is(a.Report(t.Context(), newReport("j", 20, 4, false)), announcer.ErrStale))
}

// TestEarlierLeave guards against the deregistration of an earlier process that withdraws the current one.
func TestEarlierLeave(t *testing.T) {
	t.Run("report", func(t *testing.T) {
		a, _ := memberOf()
		is := is.New(t)
		is.NoErr(a.Report(t.Context(), newReport("i", 20, 1, false)))
		err := a.Report(t.Context(), announcer.Report{Upstream: wire.Upstream{ID: "i", Start: 10}, Leaving: true, Final: true})
		is.True(errors.Is(err, announcer.ErrStale))
		requireReady(t, a, "i")
	})
	t.Run("own API", func(t *testing.T) {
		f := newFixture()
		close(f.callsDone)
		is := is.New(t)
		is.Equal(f.put(`{"service": "payout", "address": "127.0.0.1:9000", "slots": 2, "conns": 4, "start": 20, "seq": 1}`), http.StatusNoContent)
		w := httptest.NewRecorder()
		f.ServeHTTP(w, httptest.NewRequest(http.MethodDelete, "/v1/upstream?start=10&seq=7", nil))
		is.Equal(w.Code, http.StatusNoContent)
		is.True(f.memberEntry().Ready)
	})
}

// TestUnknownService guards against a report for a service that the configuration does not have and that takes the place of
// a working upstream.
func TestUnknownService(t *testing.T) {
	is := is.New(t)
	a, _ := memberOf(announcer.WithServices(func(service string) bool { return service == "s" || service == "r" }))
	other := newReport("j", 20, 1, false)
	other.Upstream.Service = "unknown"
	is.NoErr(a.Report(t.Context(), newReport("i", 10, 4, false)))
	is.True(errors.Is(a.Report(t.Context(), other), announcer.ErrUnknownService))
	is.NoErr(a.Report(t.Context(), newReport("i", 10, 5, false))) // its reports are still accepted
	requireReady(t, a, "i")
	other.Upstream.Service = "r"
	is.NoErr(a.Report(t.Context(), other))
	requireReady(t, a, "j")
}
