// Package administrator serves the operators' HTTP API.
package administrator

import (
	"context"
	"errors"
	"net/http"

	"github.com/hashicorp/go-hclog"
	"github.com/labstack/echo/v4"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// ErrUnavailable reports that a command was certainly not accepted, or that a read could not be confirmed by a majority.
var ErrUnavailable = errors.New("no majority of controllers")

// Administrator handles the requests of operators.
type Administrator struct {
	propose func(context.Context, wire.Command) (wire.Result, error)
	barrier func(context.Context) error
	view    func() *registrar.View
	status  func() presenter.Status
	log     hclog.Logger
}

// Option configures an Administrator.
type Option func(*Administrator)

// WithPropose sets the function that runs a command through the replicated log. The function returns an error that wraps
// ErrUnavailable if the command was certainly not accepted.
func WithPropose(propose func(context.Context, wire.Command) (wire.Result, error)) Option {
	return func(a *Administrator) { a.propose = propose }
}

// WithBarrier sets the linearizable read that precedes queries.
func WithBarrier(barrier func(context.Context) error) Option {
	return func(a *Administrator) { a.barrier = barrier }
}

// WithView sets the function that returns the current view of all batches.
func WithView(view func() *registrar.View) Option {
	return func(a *Administrator) { a.view = view }
}

// WithStatus sets the function that returns the state of the controller.
func WithStatus(status func() presenter.Status) Option {
	return func(a *Administrator) { a.status = status }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Administrator) { a.log = log }
}

// New returns an Administrator. All options but WithLogger are required.
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

// writeProblem sends an error response with the given status, code and text.
func writeProblem(c echo.Context, status int, code, text string) error {
	return c.JSON(status, presenter.Problem{Error: text, Code: code})
}

// writeUnavailable sends an error response which says that the request certainly had no effect.
func writeUnavailable(c echo.Context, err error) error {
	return writeProblem(c, http.StatusServiceUnavailable, presenter.CodeUnavailable, err.Error())
}
