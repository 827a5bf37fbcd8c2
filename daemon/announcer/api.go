package announcer

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"

	"bluebellhoist/core/loader"
	"bluebellhoist/core/wire"
)

// ErrInvalid reports an announcement that cannot be used.
var ErrInvalid = errors.New("invalid announcement")

const (
	upstreamPath = "/v1/upstream"
	maxBodyBytes = 64 << 10
	maxConns     = 1 << 16
)

// announcement is the body of a PUT request. The address is a string so that an error can name the field.
type announcement struct {
	Service string `json:"service"`
	Address string `json:"address"`
	Slots   int    `json:"slots"`
	Conns   int    `json:"conns"`
	Start   int64  `json:"start"`         // optional
	ID      string `json:"id"`            // identity of the process, optional
	Seq     uint64 `json:"seq,omitempty"` // increases with each announcement and leave of the process, optional
}

// statusResponse is the body of the answer to a GET request.
type statusResponse struct {
	announcement
	Since int64 `json:"since"`
}

// errorResponse is the body of an answer with an error status.
type errorResponse struct {
	Error string `json:"error"`
}

// Register adds the routes of the API to e.
func (a *Announcer) Register(e *echo.Echo) {
	e.PUT(upstreamPath, a.put)
	e.DELETE(upstreamPath, a.delete)
	e.GET(upstreamPath, a.get)
}

func (a *Announcer) put(c echo.Context) error {
	u, seq, err := parse(http.MaxBytesReader(c.Response(), c.Request().Body, maxBodyBytes))
	if err != nil {
		return c.JSON(http.StatusBadRequest, errorResponse{err.Error()})
	}
	err = a.announce(u, seq, time.Now())
	switch {
	case errors.Is(err, ErrLeaving), errors.Is(err, ErrStale):
		return c.JSON(http.StatusConflict, errorResponse{err.Error()})
	case err != nil:
		return c.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
	return c.NoContent(http.StatusNoContent)
}

func (a *Announcer) delete(c echo.Context) error {
	var n sequence
	if err := echo.QueryParamsBinder(c).Int64("start", &n.start).Uint64("seq", &n.seq).BindError(); err != nil {
		return c.JSON(http.StatusBadRequest, errorResponse{"start and seq must be numbers: " + err.Error()})
	}
	if err := checkSequence(n); err != nil {
		return c.JSON(http.StatusBadRequest, errorResponse{err.Error()})
	}
	if err := a.leave(c.Request().Context(), n); err != nil {
		return c.JSON(http.StatusServiceUnavailable, errorResponse{err.Error()})
	}
	return c.NoContent(http.StatusNoContent)
}

func (a *Announcer) get(c echo.Context) error {
	u, since, ok := a.status()
	if !ok {
		return c.JSON(http.StatusNotFound, errorResponse{"no upstream is announced"})
	}
	return c.JSON(http.StatusOK, statusResponse{announcement{u.Service, u.Address.String(), u.Slots, u.Conns, u.Start, u.ID, 0}, since})
}

// parse decodes and validates an announcement. It returns the upstream and the sequence number of the announcement.
func parse(body io.Reader) (wire.Upstream, uint64, error) {
	var in announcement
	data, err := io.ReadAll(body)
	if err != nil {
		return wire.Upstream{}, 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	if err := loader.KnownJSON(data, &in); err != nil {
		return wire.Upstream{}, 0, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	addr, err := netip.ParseAddrPort(in.Address)
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	switch {
	case err != nil:
		return wire.Upstream{}, 0, fmt.Errorf("%w: address %q must be the IP address and port of the upstream", ErrInvalid, in.Address)
	case in.Conns < 1 || in.Conns > maxConns:
		return wire.Upstream{}, 0, fmt.Errorf("%w: conns %d must be from 1 to %d", ErrInvalid, in.Conns, maxConns)
	}
	u := wire.Upstream{Service: in.Service, Address: addr, Slots: in.Slots, Conns: in.Conns, Start: in.Start, ID: in.ID}
	if err := errors.Join(checkUpstream(u), checkSequence(sequence{in.Start, in.Seq})); err != nil {
		return wire.Upstream{}, 0, err
	}
	return u, in.Seq, nil
}
