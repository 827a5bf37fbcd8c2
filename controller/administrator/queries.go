package administrator

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"bluebellhoist/controller/registrar"
	"bluebellhoist/core/wire"
)

// queryTimeout bounds the time of a linearizable read.
const queryTimeout = 5 * time.Second

// Batch is the JSON form of a batch.
type Batch struct {
	Name     string    `json:"name"`
	Version  uint64    `json:"version"`
	Until    time.Time `json:"until"`
	Lapsed   bool      `json:"lapsed"`
	Services []Service `json:"services"`
}

// Service is the JSON form of a service.
type Service struct {
	Name  string   `json:"name"`
	Needs []string `json:"needs"`
	Class string   `json:"class"`
	Once  bool     `json:"once"`
	Limit string   `json:"limit"`
}

// read returns a view that holds every change accepted before the query, or with
// the query parameter local=true the view of this controller as it is.
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
		return unavailable(c, err)
	}
	all := []Batch{}
	for _, b := range view.Batches() {
		all = append(all, batchOf(b))
	}
	return c.JSON(http.StatusOK, all)
}

func (a *Administrator) getBatch(c echo.Context) error {
	view, err := a.read(c)
	if err != nil {
		return unavailable(c, err)
	}
	name := c.Param("name")
	b, ok := view.Batch(name)
	if !ok {
		return problem(c, http.StatusNotFound, registrar.CodeMissing, fmt.Sprintf("batch %q does not exist", name))
	}
	return c.JSON(http.StatusOK, batchOf(b))
}

func (a *Administrator) getStatus(c echo.Context) error {
	return c.JSON(http.StatusOK, a.status())
}

func batchOf(b wire.Batch) Batch {
	out := Batch{
		Name:     b.Name,
		Version:  b.Version,
		Until:    time.UnixMilli(b.Until).UTC(),
		Lapsed:   b.Lapsed,
		Services: make([]Service, 0, len(b.Services)),
	}
	for _, s := range b.Services {
		needs := s.Needs
		if needs == nil {
			needs = []string{}
		}
		out.Services = append(out.Services, Service{Name: s.Name, Needs: needs, Class: s.Class, Once: s.Once, Limit: s.Limit.String()})
	}
	return out
}
