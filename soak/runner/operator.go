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
	// operatorRequestTimeout bounds one request to a process, and changeTimeout all requests for one change.
	operatorRequestTimeout = 2 * time.Second
	changeTimeout          = 20 * time.Second
	changeRetryPause       = 100 * time.Millisecond
	// markPrefix is the prefix of the host of the route that identifies the change which wrote the configuration.
	markPrefix = "mark-"
)

var errNotRead = errors.New("configuration could not be read")

// configuration returns the JSON of a configuration that contains the mark of a change. It has many routes, so that its
// transfer takes several packets.
func configuration(mark string, base uint64) []byte {
	route := func(host, prefix, service string, repeatable bool) map[string]any {
		return map[string]any{
			"host": host, "prefix": prefix, "parts": map[string]int{service: 1}, "repeat": repeatable, "timeout": "3s",
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
	data, err := json.Marshal(map[string]any{"batches": map[string]any{batchName: map[string]any{
		"base": base, "until": time.Now().Add(time.Hour).Format(time.RFC3339), "routes": routes,
		"bounds": map[string]any{"header": 16384, "body": 1 << 20, "wait": "3s", "idle": "10s"},
		"services": map[string]any{
			"alpha": map[string]any{"limit": "3s"}, "beta": map[string]any{"limit": "3s"},
			"payout": map[string]any{"limit": "3s", "once": true},
		},
	}}})
	if err != nil {
		panic(err) // cannot happen: all values can be encoded
	}
	return data
}

// readConfiguration returns the mark and version of the current configuration, from any controller that can confirm it.
func (r *Runner) readConfiguration(ctx context.Context) (mark string, version uint64, err error) {
	err = errNotRead
	for _, c := range r.shuffledControllers() {
		status, body, requestErr := r.sendOperatorRequest(ctx, c, http.MethodGet, "/v1/batches/"+batchName, nil)
		if requestErr != nil || status != http.StatusOK {
			continue
		}
		var current presenter.Batch
		if err := json.Unmarshal(body, &current); err != nil {
			return "", 0, fmt.Errorf("%w: %w", errNotRead, err)
		}
		for _, route := range current.Routes {
			if host, ok := strings.CutPrefix(route.Host, markPrefix); ok {
				return host, current.Version, nil
			}
		}
		return "", 0, fmt.Errorf("%w: no route contains a mark", errNotRead)
	}
	return "", 0, err
}

// submitChange sends a change to the controllers until its outcome is known or changeTimeout has passed, and records the
// outcome. All requests have the same ID.
func (r *Runner) submitChange(ctx context.Context, mark string, base uint64) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	id, body := uuid.NewString(), configuration(mark, base)
	c := judge.Change{Mark: mark, Base: base, OutcomeUnknown: true}
	defer func() { r.checker.RecordChange(c) }()
	outcomeUnknown := false
	for ctx.Err() == nil {
		for _, controller := range r.shuffledControllers() {
			status, answer, err := r.sendOperatorRequest(ctx, controller, http.MethodPost, "/v1/changes?id="+id, body)
			switch {
			case err != nil || status == http.StatusGatewayTimeout:
				outcomeUnknown = true
			case status == http.StatusOK:
				var accepted presenter.Accepted
				if json.Unmarshal(answer, &accepted) == nil {
					c.Version, c.OutcomeUnknown, c.AckedAt = accepted.Version, false, time.Now()
					return
				}
				outcomeUnknown = true
			case status == http.StatusConflict:
				c.OutcomeUnknown = false
				return
			case status != http.StatusServiceUnavailable:
				r.checker.RecordViolation("change %s: status %d: %s", mark, status, answer)
				return
			}
		}
		waiter.SleepCompleted(ctx, changeRetryPause)
	}
	c.OutcomeUnknown = outcomeUnknown
}

// submitChanges submits the given number of changes one after the other, each based on the current version.
func (r *Runner) submitChanges(ctx context.Context, operator string, count int, pause time.Duration) {
	for ctx.Err() == nil && count > 0 {
		_, base, err := r.readConfiguration(ctx)
		if err != nil {
			waiter.SleepCompleted(ctx, changeRetryPause)
			continue
		}
		r.submitChange(ctx, fmt.Sprintf("%s-%d", operator, r.changeCount.Add(1)), base)
		count--
		waiter.SleepCompleted(ctx, pause)
	}
}

// sendOperatorRequest sends one request to a controller, as an operator does, and returns the status and body.
func (r *Runner) sendOperatorRequest(ctx context.Context, controller *process, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorRequestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+controller.publicAddr(portPeers).String()+path, bytes.NewReader(body))
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
