// Package responder answers the calls to a stand-in upstream.
package responder

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/echoer"
)

const (
	keyHeader        = "Idempotency-Key"
	deadlineHeader   = "Bluebell-Deadline"
	meshHeaderPrefix = "Bluebell-"
	runHeader        = "Standin-Run"
	nameHeader       = "Standin-Name"
)

// maxBodyBytes is the maximum size of a request body.
const maxBodyBytes = 16 << 20

var errDeadline = errors.New("deadline passed")

// Responder answers calls by echoing the request.
type Responder struct {
	name      string
	service   string
	slots     chan struct{}
	shedLimit int64
	daemon    netip.AddrPort
	delay     *Delay
	recordRun func(key string) (uint64, error)
	runsByKey func() map[string]int
	log       hclog.Logger
	client    *http.Client

	load      atomic.Int64 // calls in progress, including those that wait for a slot
	busy      atomic.Int64 // calls that hold a slot
	peak      atomic.Int64 // highest load
	shedCalls atomic.Int64 // calls refused above the shed limit
}

// Option configures a Responder.
type Option func(*Responder)

// WithName sets the name and the service that answers contain.
func WithName(name, service string) Option {
	return func(r *Responder) { r.name, r.service = name, service }
}

// WithSlots sets the number of calls that run at once. Further calls wait.
func WithSlots(slots int) Option {
	return func(r *Responder) { r.slots = make(chan struct{}, slots) }
}

// WithShedLimit sets the number of calls in progress above which calls are refused with 503. Zero means no limit.
func WithShedLimit(limit int) Option {
	return func(r *Responder) { r.shedLimit = int64(limit) }
}

// WithDaemon sets the address at which the daemon accepts nested calls.
func WithDaemon(addr netip.AddrPort) Option {
	return func(r *Responder) { r.daemon = addr }
}

// WithDelay sets the duration of calls.
func WithDelay(d *Delay) Option {
	return func(r *Responder) { r.delay = d }
}

// WithRecord sets the functions that count a run and return the number of runs per key.
func WithRecord(record func(key string) (uint64, error), runs func() map[string]int) Option {
	return func(r *Responder) { r.recordRun, r.runsByKey = record, runs }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(r *Responder) { r.log = log }
}

// New returns a responder.
func New(opts ...Option) *Responder {
	r := &Responder{
		slots: make(chan struct{}, 1),
		delay: NewDelay(0, 0, 0, 1, 0),
		log:   hclog.NewNullLogger(),
		// The transport keeps idle connections for the nested calls in progress, so that these need not connect first.
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 10 * time.Second}},
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Register adds the routes to e.
func (r *Responder) Register(e *echo.Echo) {
	e.GET("/v1/runs", r.getRuns)
	e.Any("/*", r.call)
}

// call answers one call. The run is counted before the delay, since the call may take effect from then on.
func (r *Responder) call(c echo.Context) error {
	load := r.load.Add(1)
	defer r.load.Add(-1)
	updateMax(&r.peak, load)
	if r.shedLimit > 0 && load > r.shedLimit {
		r.shedCalls.Add(1)
		return c.String(http.StatusServiceUnavailable, "load is above the limit\n")
	}
	params, err := parseParams(c.Request())
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	ctx, cancel := withDeadline(c.Request())
	defer cancel()
	select {
	case r.slots <- struct{}{}:
		defer func() { <-r.slots }()
	case <-ctx.Done():
		return c.String(http.StatusGatewayTimeout, errDeadline.Error()+"\n")
	}
	// If a slot is free and the deadline has passed, select picks either case.
	if ctx.Err() != nil {
		return c.String(http.StatusGatewayTimeout, errDeadline.Error()+"\n")
	}
	r.busy.Add(1)
	defer r.busy.Add(-1)
	run, err := r.recordRun(c.Request().Header.Get(keyHeader))
	if err != nil {
		r.log.Error("run not recorded", "error", err)
		return c.String(http.StatusInternalServerError, err.Error()+"\n")
	}
	c.Response().Header().Set(runHeader, strconv.FormatUint(run, 10))
	c.Response().Header().Set(nameHeader, r.name)
	if err := r.delay.Wait(ctx); err != nil {
		return c.String(http.StatusGatewayTimeout, errDeadline.Error()+"\n")
	}
	return r.answer(c, params, body, run, r.callNext(ctx, c.Request(), params, body))
}

// answer writes the answer to the call, or an error if the nested call failed.
func (r *Responder) answer(c echo.Context, params callParams, body []byte, run uint64, nestedErr error) error {
	request := echoer.New(c.Request().Method, c.Request().URL.RequestURI(), body)
	if params.answerSize >= 0 && nestedErr == nil {
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, echoer.SizedAnswer(request, params.answerSize))
	}
	answer := echoer.Answer{
		Method:  request.Method,
		Path:    request.Path,
		Hash:    request.Hash,
		Name:    r.name,
		Service: r.service,
		Run:     run,
	}
	if nestedErr != nil {
		answer.Error = nestedErr.Error()
		return c.JSON(http.StatusBadGateway, answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// callParams holds the query parameters of a call.
type callParams struct {
	answerSize  int    // -1 for a JSON answer
	nextService string // first service to call; empty if none
	remaining   string // further services of the chain, separated by commas
}

// parseParams parses the query parameters of a call.
func parseParams(req *http.Request) (callParams, error) {
	params := callParams{answerSize: -1}
	query := req.URL.Query()
	if text := query.Get("size"); text != "" {
		size, err := strconv.Atoi(text)
		if err != nil || size < 0 || size > echoer.MaxSize {
			return params, errors.New("size must be a number from 0 to 67108864")
		}
		params.answerSize = size
	}
	chain := query.Get("call")
	// The first service of the chain is this one.
	if strings.Count(chain, ",")+2 > compiler.MaxDepth {
		return params, errors.New("call lists more than 15 services")
	}
	params.nextService, params.remaining, _ = strings.Cut(chain, ",")
	return params, nil
}

// RunsResponse is the answer to GET /v1/runs.
type RunsResponse struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Load    int64          `json:"load"`
	Busy    int64          `json:"busy"`
	Peak    int64          `json:"peak"`
	Shed    int64          `json:"shed"`
	Keys    map[string]int `json:"keys"`
}

func (r *Responder) getRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, RunsResponse{
		Name:    r.name,
		Service: r.service,
		Load:    r.load.Load(),
		Busy:    r.busy.Load(),
		Peak:    r.peak.Load(),
		Shed:    r.shedCalls.Load(),
		Keys:    r.runsByKey(),
	})
}

// updateMax raises maximum to value if value is larger.
func updateMax(maximum *atomic.Int64, value int64) {
	for {
		old := maximum.Load()
		if value <= old || maximum.CompareAndSwap(old, value) {
			return
		}
	}
}
