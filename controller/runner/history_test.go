package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"
	"github.com/matryer/is"

	"bluebellhoist/controller/administrator"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

const (
	historyDuration = 3 * time.Minute // of fake time
	neverReturned   = int64(1) << 62  // return time of operations without a response, in nanoseconds
	operatorCount   = 4
	claimantCount   = 4
)

// history collects the operations of concurrent clients.
type history struct {
	start time.Time
	mu    sync.Mutex
	ops   []porcupine.Operation
}

func (h *history) record(client int, input, output any, call time.Time, returned bool) {
	op := porcupine.Operation{ClientId: client, Input: input, Output: output, Call: call.Sub(h.start).Nanoseconds(), Return: neverReturned}
	if returned {
		op.Return = time.Since(h.start).Nanoseconds()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
}

// batchState is the state of one batch in the model.
type batchState struct {
	version uint64
	content string
}

type changeInput struct {
	read    bool
	base    uint64
	content string
}

type changeOutput struct {
	code    string // empty, conflict or unknown
	version uint64
	content string
}

// changeModel is the sequential model of one batch: a change succeeds only on the version that it is based on, and a read
// returns the last accepted change. A change with unknown outcome may or may not have been applied.
var changeModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{batchState{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(batchState), input.(changeInput), output.(changeOutput)
		next := batchState{s.version + 1, in.content}
		switch {
		case in.read && out.version == s.version && out.content == s.content:
			return []any{s}
		case in.read:
			return nil
		case out.code == presenter.CodeUnknown && in.base == s.version:
			return []any{s, next}
		case out.code == presenter.CodeUnknown:
			return []any{s}
		case out.code == presenter.CodeConflict && in.base != s.version && out.version == s.version:
			return []any{s}
		case out.code == "" && in.base == s.version && out.version == next.version:
			return []any{next}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}).ToModel()

// runOperator alternately reads and changes the batch until ctx ends.
func (c *cluster) runOperator(ctx context.Context, h *history, client int, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		call := time.Now()
		seen, ok := c.readBatch(ctx, random)
		if !ok {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		h.record(client, changeInput{read: true}, seen, call, true)
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		in := changeInput{base: seen.version, content: fmt.Sprintf("s-%d-%d", client, n)}
		call = time.Now()
		out := c.submitChange(ctx, random, in)
		h.record(client, in, out, call, out.code != presenter.CodeUnknown)
	}
}

// submitChange sends a change with the same id until it gets a response. After three attempts without a response the outcome
// is unknown.
func (c *cluster) submitChange(ctx context.Context, random *rand.Rand, in changeInput) changeOutput {
	id := uuid.Must(uuid.NewRandomFromReader(randomReader{random}))
	text := fmt.Sprintf(`{"batches": {"b": {"base": %d, "until": "2100-01-01T00:00:00Z", "services": {%q: {}}}}}`, in.base, in.content)
	for range 3 {
		response := c.request(ctx, random, http.MethodPost, "/v1/changes?id="+id.String(), text)
		var body presenter.Problem
		_ = json.Unmarshal(response.Body.Bytes(), &body)
		if response.Code == http.StatusOK || response.Code == http.StatusConflict {
			return changeOutput{code: body.Code, version: body.Version}
		}
		time.Sleep(time.Second)
	}
	return changeOutput{code: presenter.CodeUnknown}
}

func (c *cluster) readBatch(ctx context.Context, random *rand.Rand) (changeOutput, bool) {
	response := c.request(ctx, random, http.MethodGet, "/v1/batches/b", "")
	if response.Code == http.StatusNotFound && strings.Contains(response.Body.String(), presenter.CodeMissing) {
		return changeOutput{}, true
	}
	var batch presenter.Batch
	if response.Code != http.StatusOK || json.Unmarshal(response.Body.Bytes(), &batch) != nil {
		return changeOutput{}, false
	}
	return changeOutput{version: batch.Version, content: batch.Services[0].Name}, true
}

// request sends a request to a random node. One response in ten is lost.
func (c *cluster) request(ctx context.Context, random *rand.Rand, method, path, body string) *httptest.ResponseRecorder {
	lost := httptest.NewRecorder()
	lost.Code = http.StatusGatewayTimeout
	handler := c.nodes[random.IntN(clusterSize)].currentHandler()
	if handler == nil {
		return lost
	}
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, method, path, bytes.NewBufferString(body)))
	if random.IntN(10) == 0 {
		return lost
	}
	return recorder
}

// runCounter counts the runs per idempotency key of calls that may run only once.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

// runClaimant claims and runs calls with keys that it shares with other claimants, until ctx ends.
func (c *cluster) runClaimant(ctx context.Context, counter *runCounter, client int, keys []string, random *rand.Rand) {
	for n := 0; ctx.Err() == nil; n++ {
		claim := wire.Claim{Service: "pay", Key: keys[random.IntN(len(keys))], Attempt: fmt.Sprintf("%d-%d", client, n), Digest: 1}
		result, err := c.propose(ctx, random, wire.Command{Claim: &claim})
		switch {
		case err != nil || random.IntN(8) == 0:
			// The verdict was lost: the caller gets the response that the call did not run, and the claim is released.
			_, _ = c.propose(ctx, random, wire.Command{Release: &claim})
		case result.Verdict.State == wire.Granted:
			counter.mu.Lock()
			counter.runs[claim.Key]++
			counter.mu.Unlock()
			if random.IntN(3) == 0 {
				_, _ = c.propose(ctx, random, wire.Command{Finish: &claim})
			}
		}
		time.Sleep(time.Duration(random.IntN(200)) * time.Millisecond)
	}
}

func (c *cluster) propose(ctx context.Context, random *rand.Rand, cmd wire.Command) (wire.Result, error) {
	running := c.nodes[random.IntN(clusterSize)].currentRunner()
	if running == nil {
		return wire.Result{}, administrator.ErrUnavailable
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return running.propose(ctx, cmd)
}

// injectFaults crashes, isolates or wipes random nodes, one at a time, until ctx ends.
func (c *cluster) injectFaults(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		i := random.IntN(clusterSize)
		switch random.IntN(3) {
		case 0:
			c.crash(i)
			time.Sleep(time.Duration(random.IntN(6000)) * time.Millisecond)
			c.start(i)
		case 1:
			c.isolate(i, true)
			time.Sleep(time.Duration(random.IntN(8000)) * time.Millisecond)
			c.isolate(i, false)
		case 2:
			// The next fault may affect another node, so this one must vote again first.
			c.loseDisk(i)
			c.awaitVoters()
		}
		time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	}
}

// randomReader is an io.Reader of random bytes.
type randomReader struct{ random *rand.Rand }

func (r randomReader) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = byte(r.random.Uint32())
	}
	return len(p), nil
}

// TestHistory guards against lost or reverted changes, stale reads and calls that run twice. Meanwhile controllers crash, are
// isolated and lose their disks, and concurrent operators change the same version and retry changes.
func TestHistory(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			h, counter := &history{}, &runCounter{runs: map[string]int{}}
			synctest.Test(t, func(t *testing.T) {
				h.start = time.Now()
				c := newCluster(t, seed)
				c.awaitVoters()
				ctx, cancel := context.WithTimeout(t.Context(), historyDuration)
				defer cancel()
				var keys []string
				for range 30 {
					keys = append(keys, uuid.Must(uuid.NewV7()).String())
				}
				var clients sync.WaitGroup
				for i := range operatorCount {
					clients.Go(func() { c.runOperator(ctx, h, i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
				}
				for i := range claimantCount {
					clients.Go(func() { c.runClaimant(ctx, counter, i, keys, rand.New(rand.NewPCG(seed, uint64(i+100)))) })
				}
				c.injectFaults(ctx, rand.New(rand.NewPCG(seed, 1000)))
				clients.Wait()
			})
			assertLinearizable(t, h)
			assertRunOnce(t, counter)
		})
	}
}

func assertLinearizable(t *testing.T, h *history) {
	t.Helper()
	accepted := 0
	for _, op := range h.ops {
		if !op.Input.(changeInput).read && op.Output.(changeOutput).code == "" {
			accepted++
		}
	}
	is := is.New(t)
	is.True(accepted > 50) // a history without changes proves nothing
	is.True(porcupine.CheckOperations(changeModel, h.ops))
}

func assertRunOnce(t *testing.T, counter *runCounter) {
	t.Helper()
	is := is.New(t)
	is.True(len(counter.runs) > 20) // most of the calls must have run
	is.Equal(slices.Max(slices.Collect(maps.Values(counter.runs))), 1)
}
