package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/core/presenter"
	"bluebellhoist/core/waiter"
	"bluebellhoist/soak/judge"
)

const (
	// orderTime bounds one request of an operator, and orderLimit all requests for one change.
	orderTime  = 2 * time.Second
	orderLimit = 20 * time.Second
	orderPause = 100 * time.Millisecond
	// markPrefix begins the host of the route that tells which change is in place.
	markPrefix = "mark-"
)

var errRead = errors.New("configuration not read")

// text returns a configuration that carries a mark. It has many routes, so that it takes several packets.
func text(mark string, base uint64) []byte {
	route := func(host, prefix, service string, repeat bool) map[string]any {
		return map[string]any{
			"host": host, "prefix": prefix, "parts": map[string]int{service: 1}, "repeat": repeat, "timeout": "3s",
			"target": "1s", "rank": 1, "attempts": 2,
		}
	}
	routes := map[string]any{
		"look": route("soak.example", "/look/", "alpha", true),
		"pay":  route("soak.example", "/pay/", "beta", false),
		"mark": route(markPrefix+mark, "/", "alpha", true),
	}
	for i := range 60 {
		routes[fmt.Sprint("idle", i)] = route(fmt.Sprint("idle", i, ".example"), "/", "alpha", true)
	}
	data, err := json.Marshal(map[string]any{"batches": map[string]any{batch: map[string]any{
		"base": base, "until": time.Now().Add(time.Hour).Format(time.RFC3339), "routes": routes,
		"bounds": map[string]any{"header": 16384, "body": 1 << 20, "wait": "3s", "idle": "10s"},
		"services": map[string]any{
			"alpha": map[string]any{"limit": "3s"}, "beta": map[string]any{"limit": "3s"},
			"payout": map[string]any{"limit": "3s", "once": true},
		},
	}}})
	if err != nil {
		panic(err) // the text holds nothing that cannot be encoded
	}
	return data
}

// read returns the mark and version in place, from any controller that is sure.
func (r *Runner) read(ctx context.Context) (mark string, version uint64, err error) {
	err = errRead
	for _, c := range r.shuffled() {
		status, body, failed := r.ask(ctx, c, http.MethodGet, "/v1/batches/"+batch, nil)
		if failed != nil || status != http.StatusOK {
			continue
		}
		var b presenter.Batch
		if err := json.Unmarshal(body, &b); err != nil {
			return "", 0, fmt.Errorf("%w: %w", errRead, err)
		}
		for _, route := range b.Routes {
			if host, ok := strings.CutPrefix(route.Host, markPrefix); ok {
				return host, b.Version, nil
			}
		}
		return "", 0, fmt.Errorf("%w: no mark", errRead)
	}
	return "", 0, err
}

// change sends one change until its outcome is clear, and notes that.
func (r *Runner) change(ctx context.Context, mark string, base uint64) {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	id, body := uuid.NewString(), text(mark, base)
	c := judge.Change{Mark: mark, Base: base, OutcomeUnknown: true}
	defer func() { r.judge.RecordChange(c) }()
	sent := false
	for ctx.Err() == nil {
		for _, to := range r.shuffled() {
			status, answer, err := r.ask(ctx, to, http.MethodPost, "/v1/changes?id="+id, body)
			switch {
			case err != nil || status == http.StatusGatewayTimeout:
				sent = true
			case status == http.StatusOK:
				var accepted presenter.Accepted
				if json.Unmarshal(answer, &accepted) == nil {
					c.Version, c.OutcomeUnknown = accepted.Version, false
					return
				}
				sent = true
			case status == http.StatusConflict:
				c.OutcomeUnknown = false
				return
			case status != http.StatusServiceUnavailable:
				r.judge.RecordViolation("change %s: status %d: %s", mark, status, answer)
				return
			}
		}
		waiter.Slept(ctx, orderPause)
	}
	c.OutcomeUnknown = sent
}

// changes sends a number of changes, each on top of what is in place.
func (r *Runner) changes(ctx context.Context, operator string, count int, pause time.Duration) {
	for ctx.Err() == nil && count > 0 {
		_, base, err := r.read(ctx)
		if err != nil {
			waiter.Slept(ctx, orderPause)
			continue
		}
		r.change(ctx, fmt.Sprintf("%s-%d", operator, r.marks.Add(1)), base)
		count--
		waiter.Slept(ctx, pause)
	}
}

// ask sends one request of an operator to a controller.
func (r *Runner) ask(ctx context.Context, to *node, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTime)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.behind(portPeers).String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	response, err := r.client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }()
	answer, err := io.ReadAll(response.Body)
	return response.StatusCode, answer, err
}
