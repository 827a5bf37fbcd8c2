package forwarder

import (
	"context"
	"net/http"
	"slices"
	"time"
)

// hedgeDelay is the time without an answer after which a safe call is sent to a second member as well. The kernel of a
// frozen daemon still acknowledges data, so nothing else tells a frozen member from a slow one before the deadline.
const hedgeDelay = time.Second

// hedge is an attempt that started while an earlier one was slow.
type hedge struct {
	tried
	report func(Outcome)
	member string // empty if nothing was sent
}

// attempt sends the call to the member and, if that takes long, to a second one too. The first answer that is final wins.
// The returned functions are those of the attempt that the result belongs to.
func (d *delivery) attempt(ctx context.Context, addr string, report func(Outcome), skip *[]string) (tried, func(Outcome)) {
	if !d.hedgeable() {
		return d.try(ctx, addr), report
	}
	firstCtx, cancelFirst := context.WithCancel(ctx)
	hedgeCtx, cancelHedge := context.WithCancel(ctx)
	ended := make(chan hedge, 1)
	skipped := slices.Clone(*skip)
	timer := time.AfterFunc(hedgeDelay, func() {
		h := d.startHedge(hedgeCtx, skipped)
		if h.final {
			cancelFirst()
		}
		ended <- h
	})
	t := d.try(firstCtx, addr)
	t.cancel = cancelFirst
	if timer.Stop() {
		cancelHedge()
		return t, report
	}
	if t.final {
		cancelHedge()
	}
	h := <-ended
	h.cancel = cancelHedge
	if h.member == "" {
		cancelHedge()
		return t, report
	}
	*skip = append(*skip, h.member)
	if t.final {
		h.giveUp()
		return t, report
	}
	cancelFirst()
	report(t.outcome)
	return h.tried, h.report
}

// hedgeable reports whether two attempts may run at the same time.
func (d *delivery) hedgeable() bool {
	safe := []string{http.MethodGet, http.MethodHead, http.MethodOptions}
	return !d.call.service.Once && d.body.whole() && slices.Contains(safe, d.request.Method)
}

// startHedge sends the call to another member, if there is one and the retry budget permits it.
func (d *delivery) startHedge(ctx context.Context, skip []string) hedge {
	service := d.call.service.Name
	budget := d.f.budgets.of(service)
	if !budget.take() {
		d.f.countRetry(service, true)
		return hedge{}
	}
	member, report, err := d.f.pick(service, skip)
	if err != nil {
		budget.refund()
		return hedge{}
	}
	d.f.countRetry(service, false)
	return hedge{tried: d.try(ctx, member.Addr.String()), report: report, member: member.Name}
}

// giveUp ends an attempt whose answer is not needed.
func (h *hedge) giveUp() {
	h.answer.close()
	h.outcome.Result = Canceled
	h.report(h.outcome)
}
