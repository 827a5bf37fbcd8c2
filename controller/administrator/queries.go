package administrator

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// queryTimeout bounds a linearizable read.
const queryTimeout = 5 * time.Second

// read returns a view that contains every change accepted before the query. With the query parameter local=true it returns
// the current view of this controller, which may be stale.
func (a *Administrator) read(c echo.Context) (*registrar.View, error) {
	if c.QueryParam("local") == "true" {
		return a.view(), nil
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), queryTimeout)
	defer cancel()
	if err := a.barrier(ctx); err != nil {
		return nil, fmt.Errorf("%w (local=true reads the state of this controller): %v", ErrUnavailable, err)
	}
	return a.view(), nil
}

func (a *Administrator) getBatches(c echo.Context) error {
	view, err := a.read(c)
	if err != nil {
		return writeUnavailable(c, err)
	}
	all := []presenter.Batch{}
	for _, b := range view.Batches() {
		all = append(all, batchOf(b))
	}
	return c.JSON(http.StatusOK, all)
}

func (a *Administrator) getBatch(c echo.Context) error {
	view, err := a.read(c)
	if err != nil {
		return writeUnavailable(c, err)
	}
	name := c.Param("name")
	b, ok := view.Batch(name)
	if !ok {
		return writeProblem(c, http.StatusNotFound, presenter.CodeMissing, fmt.Sprintf("batch %q does not exist", name))
	}
	return c.JSON(http.StatusOK, batchOf(b))
}

func (a *Administrator) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, a.status())
}

// batchOf returns the representation of a batch in the API.
func batchOf(b wire.Batch) presenter.Batch {
	out := presenter.Batch{
		Name:     b.Name,
		Version:  b.Version,
		Until:    time.UnixMilli(b.Until).UTC(),
		Lapsed:   b.Lapsed,
		Services: make([]presenter.Service, 0, len(b.Services)),
		Revision: b.Revision,
		Auth:     b.Auth,
	}
	for _, s := range b.Services {
		needs := s.Needs
		if needs == nil {
			needs = []string{}
		}
		out.Services = append(out.Services, presenter.Service{Name: s.Name, Needs: needs, Class: s.Class, Once: s.Once, Limit: s.Limit.String(), Conns: s.Conns})
	}
	for _, r := range b.Routes {
		out.Routes = append(out.Routes, routeOf(r))
	}
	for _, t := range b.Tenants {
		out.Tenants = append(out.Tenants, presenter.Tenant{Name: t.Name, Keys: len(t.Keys), Rank: t.Rank, Rate: t.Rate, Burst: t.Burst})
	}
	if b.Bounds != nil {
		out.Bounds = &presenter.Bounds{
			Header: b.Bounds.Header, Body: b.Bounds.Body, Wait: b.Bounds.Wait.String(), Idle: b.Bounds.Idle.String(),
		}
	}
	return out
}

// addWeights adds two weights, and returns the largest weight if the sum exceeds it.
func addWeights(a, b int) int {
	return a + min(b, math.MaxInt-a)
}

// routeOf returns the representation of a route in the API. Parts of the same service are merged.
func routeOf(r wire.Route) presenter.Route {
	out := presenter.Route{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Parts: make(map[string]int, len(r.Parts)), Repeat: r.Retryable,
		Timeout: r.Timeout.String(), Target: r.Target.String(), Rank: r.Rank, Attempts: r.Attempts, Public: r.Public,
	}
	for _, p := range r.Parts {
		out.Parts[p.Service] = addWeights(out.Parts[p.Service], p.Weight)
	}
	return out
}
