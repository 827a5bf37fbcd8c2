package runner

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bluebellhoist/core/echoer"
	"bluebellhoist/core/waiter"
)

const (
	// headerID carries the identity of a call to its upstream.
	headerID = "Soak-Id"
	// announceEvery is the time between two announcements.
	announceEvery = 300 * time.Millisecond
	// runTime is the mean time of a run, and slowFactor what a slow upstream makes of it.
	runTime    = 60 * time.Millisecond
	slowFactor = 8
	// loseShare is the part of the answers that an upstream loses.
	loseShare = 0.4
	slots     = 12
)

// upstream is the upstream beside one daemon. It counts what it runs.
type upstream struct {
	r      *Runner
	node   *node
	name   string
	slow   atomic.Bool
	lose   atomic.Bool
	mu     sync.Mutex
	server *http.Server // nil while it is down
	start  time.Time
	quiet  bool // it does not announce itself
	seq    int  // of the last announcement or leave
}

// up starts the upstream as a new process would: with a new start time.
func (u *upstream) up() error {
	listener, err := net.Listen("tcp", u.node.at(portUpstream).String())
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.name, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	u.mu.Lock()
	u.server, u.start, u.quiet = server, time.Now(), false
	u.mu.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			u.r.judge.RecordViolation("upstream %s: %v", u.name, err)
		}
	}()
	return nil
}

// down ends the upstream with all its connections.
func (u *upstream) down() {
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.mu.Unlock()
	if server != nil {
		_ = server.Close() // its connections end in any case
	}
}

func (u *upstream) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the daemon has gone
	}
	id := request.Header.Get(headerID)
	if id == "" {
		id = request.Header.Get("Idempotency-Key")
	}
	u.r.judge.RecordRun(id, u.name, time.Now())
	wait := time.Duration(rand.ExpFloat64() * float64(runTime))
	if u.slow.Load() {
		wait *= slowFactor
	}
	time.Sleep(wait)
	if u.lose.Load() && rand.Float64() < loseShare {
		panic(http.ErrAbortHandler) // resets the connection
	}
	size, err := strconv.Atoi(request.URL.Query().Get("size"))
	if err != nil {
		u.r.judge.RecordViolation("call %s reached %s with target %s", id, u.name, request.URL)
		return
	}
	_, _ = w.Write(echoer.Fill(echoer.New(request.Method, request.URL.RequestURI(), body), size)) // the caller checks it
}

// announce tells the daemon of the upstream until ctx ends.
func (u *upstream) announce(ctx context.Context) {
	for waiter.Slept(ctx, announceEvery) {
		u.mu.Lock()
		u.seq++
		skip, start, seq := u.quiet || u.server == nil, u.start, u.seq
		u.mu.Unlock()
		if skip {
			continue
		}
		body, err := json.Marshal(map[string]any{
			"service": u.node.service, "address": u.node.behind(portUpstream).String(), "slots": slots, "conns": 4 * slots,
			"start": start.UnixMilli(), "seq": seq, "id": fmt.Sprint(u.name, "-", start.UnixMilli()),
		})
		if err != nil {
			u.r.judge.RecordViolation("announcement: %v", err)
			return
		}
		_ = u.send(ctx, http.MethodPut, "", body, time.Second) // the daemon may be down; the next one follows soon
	}
}

// leave withdraws the upstream and returns what notes its return. It goes on serving.
func (u *upstream) leave(ctx context.Context) (returned func()) {
	u.mu.Lock()
	u.quiet = true
	u.seq++
	query := fmt.Sprintf("?start=%d&seq=%d", u.start.UnixMilli(), u.seq)
	u.mu.Unlock()
	if err := u.send(ctx, http.MethodDelete, query, nil, 5*time.Second); err != nil {
		return func() {}
	}
	return u.r.judge.RecordLeave(u.name, time.Now())
}

// back announces the upstream again.
func (u *upstream) back() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.quiet = false
}

func (u *upstream) send(ctx context.Context, method, query string, body []byte, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	url := "http://" + u.node.at(portLocal).String() + "/v1/upstream" + query
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := u.r.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("status %s", response.Status)
	}
	return nil
}
