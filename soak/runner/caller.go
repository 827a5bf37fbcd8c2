package runner

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/core/echoer"
	"bluebellhoist/core/waiter"
	"bluebellhoist/soak/judge"
)

const (
	// callTime is the deadline that callers send, and patience how long they wait.
	callTime = 3 * time.Second
	patience = 4 * time.Second
	// resends bounds the attempts of a call with a key whose outcome is unknown.
	resends = 3
	// bigEvery is how many calls have one with a long answer among them.
	bigEvery         = 40
	bigSize, maxSize = 200 << 10, 600
)

// order is one call with what its answer must be.
type order struct {
	method, target, host string
	port                 uint16
	body                 []byte
	size                 int
	id, key              string
	once                 bool
}

// load sends calls at a rate until ctx ends, and returns once all have ended.
func (r *Runner) load(ctx context.Context, source *rand.Rand) {
	var calls sync.WaitGroup
	defer calls.Wait()
	gap := float64(time.Second) / r.settings.Rate
	for n := 1; waiter.Slept(ctx, time.Duration(source.ExpFloat64()*gap)); n++ {
		o := r.order(source, n)
		first := source.IntN(len(r.daemons))
		calls.Add(1)
		go func() {
			defer calls.Done()
			r.call(o, first)
		}()
	}
}

func (r *Runner) order(source *rand.Rand, n int) order {
	o := order{method: http.MethodGet, host: "soak.example", port: portRoutes, id: fmt.Sprintf("%d-%d", r.settings.Seed, n)}
	o.size = source.IntN(maxSize)
	if n%bigEvery == 0 {
		o.size = bigSize
	}
	prefix := "/look/"
	switch kind := source.IntN(10); {
	case kind < 3:
		o.method, o.once, prefix = http.MethodPost, true, "/pay/"
	case kind < 5:
		o.method, o.once, o.port, o.host, prefix = http.MethodPost, true, portCalls, "payout", "/"
		o.key = uuid.Must(uuid.NewV7()).String()
		o.id = o.key
	}
	if o.method == http.MethodPost {
		o.body = bytes.Repeat([]byte{byte('a' + n%26)}, source.IntN(4096))
	}
	o.target = fmt.Sprintf("%s%d?size=%d", prefix, n, o.size)
	return o
}

// call sends an order and, with a key, sends it again while its outcome is unknown.
func (r *Runner) call(o order, first int) {
	c := judge.Call{ID: o.id, AtMostOnce: o.once, Outcome: judge.Refused, Began: time.Now()}
	for try := range resends {
		d := r.daemons[(first+try)%len(r.daemons)]
		c.Daemon = d.name
		fate, lost := r.send(o, d)
		c.ConnectionLost = c.ConnectionLost || lost
		if fate != judge.Refused {
			c.Outcome = fate // a refusal says nothing about an earlier attempt
		}
		if fate != judge.Unknown || o.key == "" {
			break
		}
	}
	c.Ended = time.Now()
	r.judge.RecordCall(c)
}

// send makes one attempt. It returns what is known, and whether the connection ended without a whole answer.
func (r *Runner) send(o order, d *node) (judge.Outcome, bool) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	url := "http://" + d.behind(o.port).String() + o.target
	// A body without GetBody keeps the client from sending the call again by itself.
	request, err := http.NewRequestWithContext(ctx, o.method, url, io.NopCloser(bytes.NewReader(o.body)))
	if err != nil {
		r.judge.RecordViolation("call %s: %v", o.id, err)
		return judge.Unknown, false
	}
	request.ContentLength = int64(len(o.body))
	request.Host = o.host
	request.Header.Set(headerID, o.id)
	request.Header.Set("Bluebell-Deadline", fmt.Sprint(callTime.Milliseconds()))
	if o.key != "" {
		request.Header.Set("Idempotency-Key", o.key)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return judge.Unknown, !errors.Is(err, context.DeadlineExceeded)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return judge.Unknown, !errors.Is(err, context.DeadlineExceeded)
	}
	return r.fate(o, d, response, body), false
}

// fate judges a whole answer.
func (r *Runner) fate(o order, d *node, response *http.Response, body []byte) judge.Outcome {
	outcome := response.Header.Get("Bluebell-Outcome")
	switch {
	case response.StatusCode == http.StatusOK:
		if err := echoer.CheckSized(echoer.New(o.method, o.target, o.body), o.size, body); err != nil {
			r.judge.RecordViolation("call %s at %s: %v", o.id, d.name, err)
		}
		return judge.Answered
	case response.StatusCode == http.StatusNotFound:
		r.judge.RecordViolation("call %s at %s: 404 although the route was always there", o.id, d.name)
		return judge.Refused
	case outcome == "not-run":
		return judge.Refused
	case response.StatusCode == http.StatusServiceUnavailable:
		r.judge.RecordViolation("call %s at %s: 503 with outcome %q", o.id, d.name, outcome)
	}
	return judge.Unknown
}
