package spender

import (
	"errors"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/carrier"
	"bluebellhoist/core/wire"
)

const ms = time.Millisecond

// testLimit has tokens that are valid for 1 s.
var testLimit = Limit{Rate: 10, Burst: 10, Mod: 1}

// fixture is a ledger with three controllers.
type fixture struct {
	t      *testing.T
	ledger *Ledger
	now    time.Duration
}

func controllerAddr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(i+1))
}

func newFixture(t *testing.T) *fixture {
	bound := Bound{Window: 5 * time.Second, Overage: 0.1, Slack: 20}
	controllers := []netip.AddrPort{controllerAddr(0), controllerAddr(1), controllerAddr(2)}
	return &fixture{t: t, now: time.Hour, ledger: NewLedger("b",
		func() Bound { return bound }, func() []netip.AddrPort { return controllers }, 100)}
}

func (f *fixture) take() *Request {
	return f.ledger.Take(f.now, "t", testLimit, nil)
}

// pass lets time pass and handles the timeouts.
func (f *fixture) pass(d time.Duration) {
	f.now += d
	f.ledger.Expire(f.now)
}

// assertAsk returns the only ask to send, which must go to a controller and ask for a number of tokens.
func (f *fixture) assertAsk(controller, count, extra int) Datagram {
	f.t.Helper()
	is := is.New(f.t)
	out := f.ledger.Outgoing()
	is.Equal(len(out), 1)
	is.Equal(out[0].To, controllerAddr(controller))
	is.Equal(out[0].Message.Kind, carrier.Ask)
	is.Equal(out[0].Message.Items, []wire.QuotaItem{{Tenant: "t", Mod: 1, Count: count, Extra: extra}})
	return out[0]
}

func (f *fixture) assertNoAsk() {
	f.t.Helper()
	is.New(f.t).Equal(len(f.ledger.Outgoing()), 0)
}

// answer delivers the answer to an ask.
func (f *fixture) answer(ask Datagram, count int, wait time.Duration) {
	f.ledger.Deliver(f.now, ask.To, wire.Quota{
		Kind: carrier.Allot, Seq: ask.Message.Seq, Voters: 3, Items: []wire.QuotaItem{{Tenant: "t", Count: count, Wait: wait}},
	})
}

func (f *fixture) assertWaiting(requests ...*Request) {
	f.t.Helper()
	for _, r := range requests {
		is.New(f.t).True(!r.Settled)
	}
}

func (f *fixture) assertAdmitted(requests ...*Request) {
	f.t.Helper()
	for _, r := range requests {
		is.New(f.t).True(r.Settled && r.Err == nil)
	}
}

func (f *fixture) assertOverLimit(r *Request, wait time.Duration) {
	f.t.Helper()
	is := is.New(f.t)
	is.True(r.Settled)
	var over *OverLimitError
	is.True(errors.As(r.Err, &over))
	is.True(errors.Is(r.Err, ErrOverLimit))
	is.Equal(over.Wait, wait)
}

func (f *fixture) assertUnavailable(r *Request) {
	f.t.Helper()
	is.New(f.t).True(r.Settled && errors.Is(r.Err, ErrUnavailable))
}

// TestShareAsk guards against an ask for every call that waits, and against calls that are not served in order.
func TestShareAsk(t *testing.T) {
	f := newFixture(t)
	first := f.take()
	ask := f.assertAsk(0, 1, 0)
	second, third := f.take(), f.take()
	f.assertNoAsk()
	f.answer(ask, 1, 0)
	f.assertAdmitted(first)
	f.assertWaiting(second, third)
	f.answer(f.assertAsk(0, 2, 0), 2, 0) // the same controller, since it had enough
	f.assertAdmitted(second, third)
	_, ok := f.ledger.Next()
	is.New(t).True(!ok) // no timeout is left
}

// TestExpectedCalls guards against an ask for every call of a tenant that calls often.
func TestExpectedCalls(t *testing.T) {
	f := newFixture(t)
	for range 40 {
		f.now += 100 * ms
		f.take()
		for _, ask := range f.ledger.Outgoing() {
			f.answer(ask, ask.Message.Items[0].Count+ask.Message.Items[0].Extra, 0)
		}
	}
	is.New(t).True(f.ledger.lastSeq-100 < 20) // half of the calls
}

// TestValidity guards against tokens that are used later than the bound permits: they are valid from when they were asked for.
func TestValidity(t *testing.T) {
	for _, age := range []time.Duration{time.Second - 1, time.Second} {
		t.Run(age.String(), func(t *testing.T) {
			f := newFixture(t)
			f.take()
			ask := f.assertAsk(0, 1, 0)
			asked := f.now
			f.now += 100 * ms
			f.answer(ask, 1, 0)
			f.now = asked + 50*ms
			f.take()
			ask = f.assertAsk(0, 1, 0)
			ask.Message.Items[0].Count = 1
			f.ledger.asks[ask.Message.Seq].tokens = 2
			f.answer(ask, 2, 0)
			f.now = asked + 50*ms + age
			is.New(t).Equal(f.take().Settled, age < time.Second)
		})
	}
}

// TestRelease guards against a released token that is lost, used twice or valid for longer.
func TestRelease(t *testing.T) {
	f := newFixture(t)
	first := f.take()
	asked := f.now
	f.answer(f.assertAsk(0, 1, 0), 1, 0)
	f.now += 500 * ms
	f.ledger.Release(f.now, first)
	f.ledger.Release(f.now, first)
	f.assertAdmitted(f.take())
	second := f.take()
	f.assertWaiting(second)
	f.answer(f.assertAsk(0, 1, 0), 1, 0)
	f.now = asked + time.Second
	f.ledger.Release(f.now, first)
	f.assertWaiting(f.take())
}

// TestCancel guards against a token that is given to a call which does not wait any more.
func TestCancel(t *testing.T) {
	f := newFixture(t)
	first, second := f.take(), f.take()
	ask := f.assertAsk(0, 1, 0)
	f.ledger.Cancel(f.now, first)
	f.answer(ask, 1, 0)
	f.assertAdmitted(second)
	f.ledger.Cancel(f.now, second) // it was settled meanwhile
	f.assertAdmitted(f.take())
}

// TestForeignAnswers guards against tokens from answers that are duplicated, late, from another sender, or for more tokens than
// were asked for.
func TestForeignAnswers(t *testing.T) {
	t.Run("duplicate", func(t *testing.T) {
		f := newFixture(t)
		f.take()
		ask := f.assertAsk(0, 1, 0)
		f.answer(ask, 1, 0)
		f.answer(ask, 1, 0)
		f.assertWaiting(f.take())
	})
	t.Run("late", func(t *testing.T) {
		f := newFixture(t)
		f.take()
		ask := f.assertAsk(0, 1, 0)
		f.now += 251 * ms
		f.answer(ask, 1, 0)
		f.assertWaiting(f.take())
	})
	t.Run("other sender", func(t *testing.T) {
		f := newFixture(t)
		r := f.take()
		ask := f.assertAsk(0, 1, 0)
		ask.To = controllerAddr(1)
		f.answer(ask, 1, 0)
		f.assertWaiting(r)
	})
	t.Run("too many", func(t *testing.T) {
		f := newFixture(t)
		f.take()
		f.answer(f.assertAsk(0, 1, 0), 2, 0)
		f.assertWaiting(f.take())
	})
	t.Run("an ask", func(t *testing.T) {
		f := newFixture(t)
		r := f.take()
		ask := f.assertAsk(0, 1, 0)
		f.ledger.Deliver(f.now, ask.To, ask.Message)
		f.assertWaiting(r)
	})
}

// TestSilentControllers guards against calls that wait too long for controllers that do not answer.
func TestSilentControllers(t *testing.T) {
	f := newFixture(t)
	r := f.take()
	first := f.assertAsk(0, 1, 0)
	for controller := 1; controller < 3; controller++ {
		f.pass(59 * ms)
		f.assertNoAsk()
		f.pass(1 * ms)
		f.assertAsk(controller, 1, 0)
	}
	f.pass(129 * ms)
	f.assertWaiting(r)
	f.pass(1 * ms)
	f.assertNoAsk()
	f.assertUnavailable(r)
	f.answer(first, 1, 0) // just in time for the next call
	f.assertAdmitted(f.take())
	f.take()
	f.assertAsk(0, 1, 0)
}

// TestDecline guards against calls that wait for a controller which does not allot tokens, and against one ask for each call to
// such a controller.
func TestDecline(t *testing.T) {
	f := newFixture(t)
	r := f.take()
	ask := f.assertAsk(0, 1, 0)
	f.ledger.Deliver(f.now, ask.To, wire.Quota{Kind: carrier.Decline, Seq: ask.Message.Seq})
	f.answer(f.assertAsk(1, 1, 0), 1, 0)
	f.assertAdmitted(r)
	f.take()
	f.assertAsk(1, 1, 0)
	f.now += skipTime
	f.ledger.Expire(f.now)
	f.take()
	f.assertAsk(0, 1, 0)
}

// TestLearners guards against calls that are refused because the controllers that were asked first are no voters.
func TestLearners(t *testing.T) {
	f := newFixture(t)
	f.ledger.controllers = func() (all []netip.AddrPort) {
		for i := range 6 {
			all = append(all, controllerAddr(i))
		}
		return all
	}
	r := f.take()
	for learner := range 5 {
		ask := f.assertAsk(learner, 1, 0)
		f.ledger.Deliver(f.now, ask.To, wire.Quota{Kind: carrier.Decline, Seq: ask.Message.Seq})
	}
	f.answer(f.assertAsk(5, 1, 0), 1, 0)
	f.assertAdmitted(r)
}

// TestUnknownLimit guards against calls that wait for a controller which does not know their limit yet.
func TestUnknownLimit(t *testing.T) {
	f := newFixture(t)
	r := f.take()
	for controller := range 3 {
		f.answer(f.assertAsk(controller, 1, 0), 0, 0)
	}
	f.assertUnavailable(r)
}

// TestOverLimit guards against refusals while another controller has tokens, and against asks before the stated waits are over.
func TestOverLimit(t *testing.T) {
	f := newFixture(t)
	first, second := f.take(), f.take()
	f.answer(f.assertAsk(0, 1, 0), 0, 500*ms)
	f.answer(f.assertAsk(1, 2, 0), 1, 300*ms)
	f.assertAdmitted(first)
	f.answer(f.assertAsk(2, 1, 0), 0, 400*ms)
	f.assertOverLimit(second, 300*ms)
	f.now += 299 * ms
	f.assertOverLimit(f.take(), 1*ms)
	f.assertNoAsk()
	f.now += 1 * ms
	f.assertWaiting(f.take())
	f.answer(f.assertAsk(1, 1, 0), 1, 0)
	t.Run("a new limit", func(t *testing.T) {
		f.now += ms
		f.ledger.Take(f.now, "t", Limit{Rate: 20, Burst: 20, Mod: 2}, nil)
		is.New(t).Equal(f.ledger.Outgoing()[0].To, controllerAddr(0))
	})
}

// TestOverLimitWithSilence guards against calls of a tenant over its limit that wait for a controller which does not answer.
func TestOverLimitWithSilence(t *testing.T) {
	f := newFixture(t)
	r := f.take()
	f.assertAsk(0, 1, 0)
	f.pass(tryTime)
	f.answer(f.assertAsk(1, 1, 0), 0, 500*ms)
	f.answer(f.assertAsk(2, 1, 0), 0, 500*ms)
	f.assertOverLimit(r, 500*ms)
	f.assertOverLimit(f.take(), 500*ms)
	f.assertNoAsk()
}

// TestIdleTenants guards against state that grows with every tenant that has ever called.
func TestIdleTenants(t *testing.T) {
	f := newFixture(t)
	for i := range 10 * minPruneSize {
		f.ledger.Take(f.now, fmt.Sprint(i), testLimit, nil)
		f.pass(time.Second)
	}
	is := is.New(t)
	is.True(len(f.ledger.tenants) <= 2*minPruneSize)
	is.True(len(f.ledger.asks) <= minPruneSize)
}
