package forwarder

import (
	"net/http"
	"time"

	"github.com/google/uuid"
)

const (
	keyLife = 24 * time.Hour  // the controllers keep records for longer, so that a key is refused before its record goes
	keySkew = 5 * time.Minute // tolerated difference of clocks
)

// parseKey returns the idempotency key of a call in canonical form, so that one key in two spellings is one claim.
func parseKey(h http.Header) (uuid.UUID, *answer) {
	values := h[HeaderKey]
	if len(values) != 1 {
		return uuid.Nil, refusal(http.StatusBadRequest, NotRun, "%s: want exactly one, got %d", HeaderKey, len(values))
	}
	id, err := uuid.Parse(values[0])
	if err != nil || len(values[0]) != len(uuid.Nil.String()) || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.Nil, refusal(http.StatusBadRequest, NotRun, "%s: %q is not a UUIDv7", HeaderKey, values[0])
	}
	return id, nil
}

// checkKeyAge refuses keys that are too old for their record to exist, and keys from the future.
func checkKeyAge(id uuid.UUID, now time.Time) *answer {
	sec, nsec := id.Time().UnixTime()
	age := now.Sub(time.Unix(sec, nsec))
	if age < -keySkew {
		return refusal(http.StatusBadRequest, NotRun, "%s: created %v in the future", HeaderKey, -age)
	}
	if age > keyLife {
		return refusal(http.StatusConflict, Unknown, "%s: created %v ago, limit %v", HeaderKey, age.Round(time.Second), keyLife)
	}
	return nil
}
