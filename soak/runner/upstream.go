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
	// callIDHeader is the header with the ID of a call.
	callIDHeader = "Soak-Id"
	// announceInterval is the time between two announcements of an upstream to its daemon.
	announceInterval = 300 * time.Millisecond
	// meanServiceTime is the mean duration of a run, and slowFactor its multiple at a slow upstream.
	meanServiceTime = 60 * time.Millisecond
	slowFactor      = 8
	// lostAnswerRatio is the ratio of answers that an upstream loses during a Lose fault.
	lostAnswerRatio = 0.4
	// slots is the announced capacity of an upstream in concurrent calls.
	slots = 12
)

// upstream is the upstream of one daemon. It records the calls that it runs.
type upstream struct {
	runner      *Runner
	daemon      *process
	name        string
	slow        atomic.Bool
	loseAnswers atomic.Bool
	mu          sync.Mutex
	server      *http.Server // nil while the upstream is down
	startTime   time.Time
	withdrawn   bool // the upstream has left and sends no announcements
	seq         int  // sequence number of the last announcement or leave
}

// start starts the upstream with a new start time, as a new process would have.
func (u *upstream) start() error {
	listener, err := net.Listen("tcp", u.daemon.privateAddr(portUpstream).String())
	if err != nil {
		return fmt.Errorf("upstream %s: %w", u.name, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(u.serve)}
	u.mu.Lock()
	u.server, u.startTime, u.withdrawn = server, time.Now(), false
	u.mu.Unlock()
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			u.runner.checker.RecordViolation("upstream %s: %v", u.name, err)
		}
	}()
	return nil
}

// stop stops the upstream and closes its connections.
func (u *upstream) stop() {
	u.mu.Lock()
	server := u.server
	u.server = nil
	u.mu.Unlock()
	if server != nil {
		_ = server.Close() // connections are closed even if closing the listener fails
	}
}

// serve records a run and answers the call after a random time.
func (u *upstream) serve(w http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return // the daemon has closed the connection
	}
	id := request.Header.Get(callIDHeader)
	if id == "" {
		id = request.Header.Get("Idempotency-Key")
	}
	u.runner.checker.RecordRun(id, u.name, time.Now())
	wait := time.Duration(rand.ExpFloat64() * float64(meanServiceTime))
	if u.slow.Load() {
		wait *= slowFactor
	}
	time.Sleep(wait)
	if u.loseAnswers.Load() && rand.Float64() < lostAnswerRatio {
		panic(http.ErrAbortHandler) // aborts the connection
	}
	size, err := strconv.Atoi(request.URL.Query().Get("size"))
	if err != nil {
		u.runner.checker.RecordViolation("call %s reached %s with a target without a valid size: %s", id, u.name, request.URL)
		return
	}
	_, _ = w.Write(echoer.SizedAnswer(echoer.New(request.Method, request.URL.RequestURI(), body), size)) // the caller detects an incomplete answer
}

// announce announces the upstream to its daemon periodically until ctx ends, except while it is down or has left.
func (u *upstream) announce(ctx context.Context) {
	for waiter.SleepCompleted(ctx, announceInterval) {
		u.mu.Lock()
		u.seq++
		skip, start, seq := u.withdrawn || u.server == nil, u.startTime, u.seq
		u.mu.Unlock()
		if skip {
			continue
		}
		body, err := json.Marshal(map[string]any{
			"service": u.daemon.service, "address": u.daemon.publicAddr(portUpstream).String(), "slots": slots, "conns": 4 * slots,
			"start": start.UnixMilli(), "seq": seq, "id": fmt.Sprint(u.name, "-", start.UnixMilli()),
		})
		if err != nil {
			u.runner.checker.RecordViolation("announcement could not be encoded: %v", err)
			return
		}
		_ = u.notifyDaemon(ctx, http.MethodPut, "", body, time.Second) // the daemon may be down; the next announcement follows soon
	}
}

// leave tells the daemon that the upstream leaves and returns a function that records its rejoin. The upstream goes on
// serving calls.
func (u *upstream) leave(ctx context.Context) (recordRejoin func()) {
	u.mu.Lock()
	u.withdrawn = true
	u.seq++
	query := fmt.Sprintf("?start=%d&seq=%d", u.startTime.UnixMilli(), u.seq)
	u.mu.Unlock()
	if err := u.notifyDaemon(ctx, http.MethodDelete, query, nil, 5*time.Second); err != nil {
		return func() {}
	}
	return u.runner.checker.RecordLeave(u.name, time.Now())
}

// rejoin resumes the announcements after a leave.
func (u *upstream) rejoin() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.withdrawn = false
}

// notifyDaemon sends an announcement or leave to the daemon of the upstream.
func (u *upstream) notifyDaemon(ctx context.Context, method, query string, body []byte, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	url := "http://" + u.daemon.privateAddr(portLocal).String() + "/v1/upstream" + query
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := u.runner.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("daemon answered with status %s", response.Status)
	}
	return nil
}
