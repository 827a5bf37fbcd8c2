// Package keyer validates idempotency keys.
//
// A key is a UUIDv7. Its timestamp shows whether the record of an earlier call with the same key can still exist.
package keyer

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// MaxAge is the maximum age of an accepted key.
	MaxAge = 6 * time.Hour
	// MaxClockSkew is how far in the future the timestamp of a key may be, to tolerate clock skew.
	MaxClockSkew = 5 * time.Minute
	// Retention is how long the record of a key must be kept. It exceeds MaxAge plus MaxClockSkew, so that a key is
	// rejected as expired before its record is deleted.
	Retention = MaxAge + 2*MaxClockSkew
)

// Errors returned for invalid keys.
var (
	ErrMalformed = errors.New("not a UUIDv7")
	ErrFuture    = errors.New("created in the future")
	ErrExpired   = errors.New("too old")
)

// Parse parses a key. Two spellings of the same key yield equal values.
func Parse(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(uuid.Nil.String()) || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.Nil, fmt.Errorf("%w: %q", ErrMalformed, text)
	}
	return id, nil
}

// CheckAge rejects a key so old that its record may have been deleted, and a key created in the future.
func CheckAge(id uuid.UUID, now time.Time) error {
	sec, nsec := id.Time().UnixTime()
	age := now.Sub(time.Unix(sec, nsec))
	if age < -MaxClockSkew {
		return fmt.Errorf("%w: by %v", ErrFuture, -age)
	}
	if age > MaxAge {
		return fmt.Errorf("%w: created %v ago, limit %v", ErrExpired, age.Round(time.Second), MaxAge)
	}
	return nil
}
