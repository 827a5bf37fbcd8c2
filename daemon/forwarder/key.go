package forwarder

import (
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/core/keyer"
)

// parseKey returns the idempotency key of a call, or the response that rejects the call.
func parseKey(h http.Header) (uuid.UUID, *answer) {
	values := h[HeaderIdempotencyKey]
	if len(values) != 1 {
		return uuid.Nil, errorResponse(http.StatusBadRequest, OutcomeNotRun, "%s: want exactly one, got %d", HeaderIdempotencyKey, len(values))
	}
	id, err := keyer.Parse(values[0])
	if err != nil {
		return uuid.Nil, errorResponse(http.StatusBadRequest, OutcomeNotRun, "%s: %v", HeaderIdempotencyKey, err)
	}
	return id, nil
}

// checkKeyAge rejects keys that are so old that their record may have been deleted, and keys from the future.
func checkKeyAge(id uuid.UUID, now time.Time) *answer {
	err := keyer.CheckAge(id, now)
	switch {
	case errors.Is(err, keyer.ErrExpired):
		return errorResponse(http.StatusConflict, OutcomeUnknown, "%s: %v", HeaderIdempotencyKey, err)
	case err != nil:
		return errorResponse(http.StatusBadRequest, OutcomeNotRun, "%s: %v", HeaderIdempotencyKey, err)
	}
	return nil
}
