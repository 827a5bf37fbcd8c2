package administrator

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v4"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/compiler"
	"bluebellhoist/core/presenter"
	"bluebellhoist/core/wire"
)

// changeTimeout bounds the wait for the result of a change.
const changeTimeout = 10 * time.Second

// postChange applies the configuration text in the body as a change with the id in the query.
func (a *Administrator) postChange(c echo.Context) error {
	id, err := uuid.Parse(c.QueryParam("id"))
	if err != nil {
		return writeProblem(c, http.StatusBadRequest, presenter.CodeInvalid, "query parameter id must be a UUID")
	}
	text, err := io.ReadAll(io.LimitReader(c.Request().Body, compiler.MaxTextSize+1))
	switch {
	case errors.Is(err, accountant.ErrShed):
		return writeUnavailable(c, err)
	case err != nil:
		return writeProblem(c, http.StatusBadRequest, presenter.CodeInvalid, "body not received: "+err.Error())
	}
	edits, err := compiler.Parse(text, time.Now())
	if err != nil {
		return writeProblem(c, http.StatusBadRequest, presenter.CodeInvalid, err.Error())
	}
	ctx, cancel := context.WithTimeout(c.Request().Context(), changeTimeout)
	defer cancel()
	result, err := a.propose(ctx, wire.Command{Change: &wire.Change{ID: id.String(), Edits: edits}})
	if errors.Is(err, ErrUnavailable) {
		return writeUnavailable(c, err)
	}
	if err != nil {
		return writeProblem(c, http.StatusGatewayTimeout, presenter.CodeUnknown, "outcome unknown, retry with the same id: "+err.Error())
	}
	a.log.Info("change", "id", id, "version", result.Version, "code", result.Code)
	return writeChangeResult(c, result)
}

// writeChangeResult sends the result of a change.
func writeChangeResult(c echo.Context, result wire.Result) error {
	statuses := map[string]int{
		"":                     http.StatusOK,
		presenter.CodeConflict: http.StatusConflict,
		presenter.CodeMissing:  http.StatusNotFound,
		presenter.CodeInvalid:  http.StatusBadRequest,
	}
	if result.Code == "" {
		return c.JSON(http.StatusOK, presenter.Accepted{Version: result.Version})
	}
	return c.JSON(statuses[result.Code], presenter.Problem{Error: result.Error, Code: result.Code, Version: result.Version})
}
