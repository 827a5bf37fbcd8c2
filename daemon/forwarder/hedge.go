package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"

	"bluebellhoist/daemon/budgeter"
)

// hedgeDelay is the time without a response after which a safe call is sent to a second member as well (a hedged
// request). The kernel of a frozen daemon still acknowledges data, so before the deadline nothing else distinguishes a
// frozen member from a slow one.
const hedgeDelay = time.Second

// hedge is an attempt that was started because an earlier one was slow.
type hedge struct {
	attemptResult
	report func(Outcome)
	member string // name; empty if nothing was sent
}

// sendHedged sends the call to a member and, if there is no response within hedgeDelay, to a second one as well. The
// first final response wins. It returns the result of the winning attempt and the function that reports its outcome. A
// second member that was used is appended to skip.
func (d *delivery) sendHedged(ctx context.Context, addr string, kind budgeter.Kind, report func(Outcome), skip *[]string) (attemptResult, func(Outcome)) {
	if !d.hedgeable() {
		return d.send(ctx, addr, kind), report
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	hedgeDone := make(chan hedge, 1)
	skipped := slices.Clone(*skip)
	timer := time.AfterFunc(hedgeDelay, func() {
		h := d.startHedge(hedgeCtx, skipped)
		if h.final {
			cancelFirst()
		}
		hedgeDone <- h
	})
	t := d.send(firstCtx, addr, kind)
	t.cancel = cancelFirst
	if timer.Stop() {
		cancelHedge()
		return t, report
	}
	if t.final {
		cancelHedge()
	}
	h := <-hedgeDone
	h.cancel = cancelHedge
	if h.member == "" {
		cancelHedge()
		return t, report
	}
	*skip = append(*skip, h.member)
	if t.final {
		h.discard()
		return t, report
	}
	cancelFirst()
	report(t.outcome)
	h.notRun = h.notRun && t.notRun
	return h.attemptResult, h.report
}

// hedgeable reports whether two attempts of the call may run at the same time.
func (d *delivery) hedgeable() bool {
	safe := []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	return !d.call.service.Once && d.body.fullyBuffered() && slices.Contains(safe, d.request.Method)
}

// startHedge sends the call to another member, if there is one and the retry budget allows it.
func (d *delivery) startHedge(ctx context.Context, skip []string) hedge {
	service := d.call.service.Name
	budget := d.f.budgets.forService(service)
	if !budget.tryWithdraw() {
		d.f.countRetry(service, true)
		return hedge{}
	}
	member, report, err := d.f.pick(service, skip)
	if err != nil {
		budget.refund()
		return hedge{}
	}
	d.f.countRetry(service, false)
	return hedge{attemptResult: d.send(ctx, member.Addr.String(), budgeter.Retry), report: report, member: member.Name}
}

// discard ends a hedged request whose response is not needed.
func (h *hedge) discard() {
	h.answer.close()
	h.outcome.Result = Canceled
	h.report(h.outcome)
}
