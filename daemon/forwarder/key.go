package forwarder

import (
	"errors"
	"net/http"
	"time"

	"github.com/google/uuid"

	"bluebellhoist/core/keyer"
)

// parseKey returns the idempotency key of a call.
func parseKey(h http.Header) (uuid.UUID, *answer) {
	values := h[HeaderKey]
	if len(values) != 1 {
		return uuid.Nil, refusal(http.StatusBadRequest, NotRun, "%s: want exactly one, got %d", HeaderKey, len(values))
	}
	id, err := keyer.Parse(values[0])
	if err != nil {
		return uuid.Nil, refusal(http.StatusBadRequest, NotRun, "%s: %v", HeaderKey, err)
	}
	return id, nil
}

// checkKeyAge refuses keys that are too old for their record to exist, and keys from the future.
func checkKeyAge(id uuid.UUID, now time.Time) *answer {
	err := keyer.CheckAge(id, now)
	switch {
	case errors.Is(err, keyer.ErrExpired):
		return refusal(http.StatusConflict, Unknown, "%s: %v", HeaderKey, err)
	case err != nil:
		return refusal(http.StatusBadRequest, NotRun, "%s: %v", HeaderKey, err)
	}
	return nil
}
