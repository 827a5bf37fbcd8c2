// Package responder serves the calls of a stand-in upstream.
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
	keyHeader      = "Idempotency-Key"
	deadlineHeader = "Bluebell-Deadline"
	prefix         = "Bluebell-"
	runHeader      = "Standin-Run"
	nameHeader     = "Standin-Name"
)

// maxBody is the largest request body in bytes.
const maxBody = 16 << 20

var errDeadline = errors.New("deadline passed")

// Responder answers calls with what it received.
type Responder struct {
	name    string
	service string
	slots   chan struct{}
	shed    int64
	calls   netip.AddrPort
	delay   *Delay
	record  func(key string) (uint64, error)
	runs    func() map[string]int
	log     hclog.Logger
	client  *http.Client

	load atomic.Int64 // calls in progress, waiting ones included
	busy atomic.Int64 // calls that hold a slot
	peak atomic.Int64 // highest load
	shut atomic.Int64 // calls refused above the shed limit
}

// Option changes a setting of New.
type Option func(*Responder)

// WithName sets the name and the service in the answers.
func WithName(name, service string) Option {
	return func(r *Responder) { r.name, r.service = name, service }
}

// WithSlots sets how many calls run at once. Others wait.
func WithSlots(slots int) Option {
	return func(r *Responder) { r.slots = make(chan struct{}, slots) }
}

// WithShed sets the number of calls in progress above which calls are refused with 503. Zero means no limit.
func WithShed(limit int) Option {
	return func(r *Responder) { r.shed = int64(limit) }
}

// WithCalls sets the daemon's address for nested calls.
func WithCalls(addr netip.AddrPort) Option {
	return func(r *Responder) { r.calls = addr }
}

// WithDelay sets the time that a call takes.
func WithDelay(d *Delay) Option {
	return func(r *Responder) { r.delay = d }
}

// WithRecord sets the functions that count a run and list the runs per key.
func WithRecord(record func(key string) (uint64, error), runs func() map[string]int) Option {
	return func(r *Responder) { r.record, r.runs = record, runs }
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
		// The transport keeps one connection for each nested call in progress, so that nested calls do not wait for connects.
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

// call answers one call. The run is counted before the delay: from then on the call may have had its effect.
func (r *Responder) call(c echo.Context) error {
	load := r.load.Add(1)
	defer r.load.Add(-1)
	raise(&r.peak, load)
	if r.shed > 0 && load > r.shed {
		r.shut.Add(1)
		return c.String(http.StatusServiceUnavailable, "load is above the limit\n")
	}
	wanted, err := parseWanted(c.Request())
	if err != nil {
		return c.String(http.StatusBadRequest, err.Error()+"\n")
	}
	body, err := io.ReadAll(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
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
	// A free slot and a passed deadline can be ready together; select then picks either.
	if ctx.Err() != nil {
		return c.String(http.StatusGatewayTimeout, errDeadline.Error()+"\n")
	}
	r.busy.Add(1)
	defer r.busy.Add(-1)
	run, err := r.record(c.Request().Header.Get(keyHeader))
	if err != nil {
		r.log.Error("run not recorded", "error", err)
		return c.String(http.StatusInternalServerError, err.Error()+"\n")
	}
	c.Response().Header().Set(runHeader, strconv.FormatUint(run, 10))
	c.Response().Header().Set(nameHeader, r.name)
	if err := r.delay.Wait(ctx); err != nil {
		return c.String(http.StatusGatewayTimeout, errDeadline.Error()+"\n")
	}
	return r.answer(c, wanted, body, run, r.nested(ctx, c.Request(), wanted, body))
}

func (r *Responder) answer(c echo.Context, w wanted, body []byte, run uint64, nested error) error {
	request := echoer.New(c.Request().Method, c.Request().URL.RequestURI(), body)
	if w.size >= 0 && nested == nil {
		return c.Blob(http.StatusOK, echo.MIMEOctetStream, echoer.Fill(request, w.size))
	}
	answer := echoer.Answer{
		Method:  request.Method,
		Path:    request.Path,
		Hash:    request.Hash,
		Name:    r.name,
		Service: r.service,
		Run:     run,
	}
	if nested != nil {
		answer.Error = nested.Error()
		return c.JSON(http.StatusBadGateway, answer)
	}
	return c.JSON(http.StatusOK, answer)
}

// wanted is what a request asks of its answer.
type wanted struct {
	size int // -1 for a JSON answer
	next string
	rest string
}

func parseWanted(req *http.Request) (wanted, error) {
	w := wanted{size: -1}
	query := req.URL.Query()
	if text := query.Get("size"); text != "" {
		size, err := strconv.Atoi(text)
		if err != nil || size < 0 || size > echoer.MaxSize {
			return w, errors.New("size must be a number from 0 to 67108864")
		}
		w.size = size
	}
	chain := query.Get("call")
	// The first service of the chain is this one.
	if strings.Count(chain, ",")+2 > compiler.MaxDepth {
		return w, errors.New("call lists more than 15 services")
	}
	w.next, w.rest, _ = strings.Cut(chain, ",")
	return w, nil
}

// Runs is the answer to GET /v1/runs.
type Runs struct {
	Name    string         `json:"name"`
	Service string         `json:"service"`
	Load    int64          `json:"load"`
	Busy    int64          `json:"busy"`
	Peak    int64          `json:"peak"`
	Shed    int64          `json:"shed"`
	Keys    map[string]int `json:"keys"`
}

func (r *Responder) getRuns(c echo.Context) error {
	return c.JSON(http.StatusOK, Runs{
		Name:    r.name,
		Service: r.service,
		Load:    r.load.Load(),
		Busy:    r.busy.Load(),
		Peak:    r.peak.Load(),
		Shed:    r.shut.Load(),
		Keys:    r.runs(),
	})
}

func raise(peak *atomic.Int64, value int64) {
	for {
		old := peak.Load()
		if value <= old || peak.CompareAndSwap(old, value) {
			return
		}
	}
}
