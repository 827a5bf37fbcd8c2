package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
)

// call is one call in progress.
type call struct {
	d        *Dispatcher
	route    *wire.Route
	request  *courier.Request
	id       string
	service  string
	version  uint64
	started  time.Time
	deadline time.Time
	patience time.Duration // how long the caller waits
	waited   time.Duration // how long it has probably waited before this attempt

	again    string   // why the call was not sent again, or empty
	arrivals int      // upstreams that were sent the call
	asked    []string // members that were asked
	mayRun   bool     // an attempt without a known outcome was sent
	failure  *courier.Answer
	last     deliverer.Result
}

// run sends the call to members until one answers or nothing more may be tried.
func (c *call) run(ctx context.Context) *courier.Answer {
	c.d.count(c.service)
	for c.mayTry(ctx) {
		member, report, err := c.pick(ctx)
		if err != nil {
			if len(c.asked) == 0 {
				c.last = deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error()}
			}
			break
		}
		c.asked = append(c.asked, member.Name)
		if answer := c.try(ctx, member, report); answer != nil {
			return answer
		}
	}
	return c.conclude(ctx)
}

// pick selects a member that was not asked yet. Shortly after the start it waits for the first member of the service.
func (c *call) pick(ctx context.Context) (member wire.Member, report func(Outcome), err error) {
	found := func() bool {
		member, report, err = c.d.pick(c.service, c.asked)
		return err == nil
	}
	if len(c.asked) == 0 {
		c.d.hold(ctx, c.started, c.patience, found)
	} else {
		found()
	}
	return member, report, err
}

// mayTry reports whether one more member may be asked.
func (c *call) mayTry(ctx context.Context) bool {
	if len(c.asked) == 0 {
		return true
	}
	switch {
	case ctx.Err() != nil:
		c.again = "caller has left"
	case len(c.asked) >= maxTries:
		c.again = "enough members asked"
	case time.Until(c.deadline) <= 0:
		c.again = "deadline passed"
	case c.arrivals == 0:
		return true // no upstream was sent the call
	case c.arrivals >= c.route.Attempts:
		c.again = "no attempts left"
	case (c.mayRun || c.failure != nil) && !c.route.Repeat:
		c.again = "may run only once"
	case !c.d.take(c.service):
		c.again = "retry budget spent"
	default:
		return true
	}
	return false
}

// try sends the call to one member and returns the answer if it is final.
func (c *call) try(ctx context.Context, member wire.Member, report func(Outcome)) *courier.Answer {
	started := time.Now()
	result, kind := c.send(ctx, member)
	if result.Arrived {
		c.arrivals++
	}
	c.last = result
	c.measureAttempt(member, result)
	if ctx.Err() != nil && result.Outcome != deliverer.Answered {
		kind = Canceled
	}
	report(Outcome{Kind: kind, Latency: time.Since(started), Load: result.Load})
	c.d.log.Debug("attempt", "id", c.id, "route", c.route.Name, "service", c.service, "member", member.Name,
		"outcome", result.Outcome, "reason", result.Reason, "load", result.Load)
	switch result.Outcome {
	case deliverer.Answered:
		if result.Answer.Status < http.StatusInternalServerError {
			return result.Answer
		}
		c.failure = result.Answer
	case deliverer.Unknown:
		c.mayRun = true
	}
	return nil
}

// send passes the call to the local upstream or to another daemon.
func (c *call) send(ctx context.Context, member wire.Member) (deliverer.Result, Kind) {
	order := deliverer.Order{
		Request: c.request, Service: c.service, Deadline: c.deadline, Kind: c.route.Name, Repeat: c.route.Repeat,
	}
	c.urgency(&order)
	if member.Name == c.d.self {
		result := c.d.local(ctx, order)
		return result, kindOf(result)
	}
	sendCtx, cancel := context.WithDeadline(ctx, c.deadline.Add(peerGrace))
	defer cancel()
	answer, err := c.d.peers.Do(sendCtx, member.Addr, courier.Call{Request: order.Pack()})
	switch {
	case errors.Is(err, courier.ErrUnsent):
		return deliverer.Result{Outcome: deliverer.NotRun, Reason: err.Error(), Load: -1}, Unreachable
	case err != nil:
		return deliverer.Result{Outcome: deliverer.Unknown, Reason: err.Error(), Load: -1, Arrived: true}, Failed
	}
	result, ok := deliverer.Unpack(answer)
	if !ok {
		return deliverer.Result{Outcome: deliverer.Unknown, Reason: "not an answer of a daemon", Load: -1, Arrived: true}, Failed
	}
	return result, kindOf(result)
}

func kindOf(r deliverer.Result) Kind {
	switch {
	case r.Outcome == deliverer.NotRun:
		return Rejected
	case r.Outcome == deliverer.Unknown, r.Answer.Status >= http.StatusInternalServerError:
		return Failed
	}
	return OK
}

// conclude returns the answer after the last attempt.
func (c *call) conclude(ctx context.Context) *courier.Answer {
	late := time.Until(c.deadline) <= 0 || ctx.Err() != nil
	switch {
	case c.failure != nil:
		return c.failure
	case c.mayRun && late:
		return c.d.refuse(http.StatusGatewayTimeout, deliverer.Unknown, c.last.Reason, 0)
	case c.mayRun:
		return c.d.refuse(http.StatusBadGateway, deliverer.Unknown, c.last.Reason, 0)
	}
	return c.d.refuse(http.StatusServiceUnavailable, deliverer.NotRun, c.last.Reason, c.returnAfter())
}

const (
	// returnPart is the part of its time after which a refused caller comes back, so that the second try still has time
	// to run.
	returnPart = 0.2
	// returnLeast and returnMost bound that wait.
	returnLeast = 20 * time.Millisecond
	returnMost  = time.Second
)

// returnAfter tells a refused caller when to come back.
func (c *call) returnAfter() time.Duration {
	left := c.patience - time.Since(c.started)
	return max(returnLeast, min(time.Duration(returnPart*float64(left)), returnMost))
}

// Lowest ranks of the classes; rank 0 is the most urgent.
const (
	urgentRank = 1
	normalRank = 2
)

// class returns the priority class for the rank of the route.
func (c *call) class() string {
	switch {
	case c.route.Rank <= urgentRank:
		return compiler.Urgent
	case c.route.Rank <= normalRank:
		return compiler.Normal
	}
	return compiler.Bulk
}

// sampleEvery is how many calls that went well at the first attempt share one log line.
const sampleEvery = 64

// report logs the end of a call: each one that failed, was refused or took more than one attempt, and a sample of the
// others.
func (c *call) report(ctx context.Context, a *courier.Answer, took time.Duration) {
	c.measure(a.Status, took)
	c.measureAgain()
	well := a.Status < http.StatusInternalServerError
	if well && len(c.asked) == 1 && c.d.good.Add(1)%sampleEvery != 0 {
		return
	}
	message := "call answered"
	if !well {
		message = "call failed"
	}
	c.d.log.Info(message, "id", c.id, "route", c.route.Name, "version", c.version, "service", c.service,
		"status", a.Status, "outcome", c.last.Outcome, "reason", c.last.Reason, "load", c.last.Load, "asked", c.asked,
		"arrivals", c.arrivals, "gone", ctx.Err() != nil, "took", took.Round(time.Millisecond).String(),
		"patience", c.patience.String(), "waited", c.waited.String(), "target", c.route.Target.String(), "again", c.again)
}
