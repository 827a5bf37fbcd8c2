// Package administrator is the operators' HTTP API.
package administrator

import (
	"context"
	"errors"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"bluebellhoist/controller/distributor"
	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/wire"
)

// Codes of an error answer, besides those of the registrar.
const (
	CodeUnavailable = "unavailable" // nothing was accepted
	CodeUnknown     = "unknown"     // the change may or may not be accepted; send it again with the same id
)

// ErrUnavailable reports that a command was certainly not accepted.
var ErrUnavailable = errors.New("no majority of controllers")

// Node is one controller of the membership.
type Node struct {
	Name  string `json:"name"`
	Addr  string `json:"addr"`
	Voter bool   `json:"voter"`
}

// Status is the state of one controller.
type Status struct {
	Name    string               `json:"name"`
	Role    string               `json:"role"`
	Leader  string               `json:"leader"`
	Term    uint64               `json:"term"`
	Commit  uint64               `json:"commit"`
	Applied uint64               `json:"applied"`
	Version uint64               `json:"version"`
	Fresh   bool                 `json:"fresh"`
	Nodes   []Node               `json:"nodes"`
	Daemons []distributor.Daemon `json:"daemons"`
}

// Problem is the body of an error answer.
type Problem struct {
	Error   string `json:"error"`
	Code    string `json:"code"`
	Version uint64 `json:"version,omitempty"`
}

// Administrator answers operators.
type Administrator struct {
	propose func(context.Context, wire.Command) (wire.Result, error)
	barrier func(context.Context) error
	view    func() *registrar.View
	status  func() Status
	log     hclog.Logger
}

// Option sets up an Administrator.
type Option func(*Administrator)

// WithPropose sets the function that runs a command through the replicated log.
// It returns an error that wraps ErrUnavailable if the command was certainly not accepted.
func WithPropose(propose func(context.Context, wire.Command) (wire.Result, error)) Option {
	return func(a *Administrator) { a.propose = propose }
}

// WithBarrier sets the linearizable read that precedes queries.
func WithBarrier(barrier func(context.Context) error) Option {
	return func(a *Administrator) { a.barrier = barrier }
}

// WithView sets the source of batches.
func WithView(view func() *registrar.View) Option {
	return func(a *Administrator) { a.view = view }
}

// WithStatus sets the source of the controller's state.
func WithStatus(status func() Status) Option {
	return func(a *Administrator) { a.status = status }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Administrator) { a.log = log }
}

// New returns an administrator. All options but WithLogger are required.
func New(opts ...Option) *Administrator {
	a := &Administrator{log: hclog.NewNullLogger()}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Register adds the routes of the API to e.
func (a *Administrator) Register(e *echo.Echo) {
	e.POST("/v1/changes", a.postChange)
	e.GET("/v1/batches", a.getBatches)
	e.GET("/v1/batches/:name", a.getBatch)
	e.GET("/v1/status", a.getStatus)
}

func problem(c echo.Context, status int, code, text string) error {
	return c.JSON(status, Problem{Error: text, Code: code})
}

func unavailable(c echo.Context, err error) error {
	return problem(c, http.StatusServiceUnavailable, CodeUnavailable, err.Error())
}
