// Package keyer checks idempotency keys.
//
// A key is a UUIDv7. The time in it tells whether the record of an earlier call with the key can still exist.
package keyer

import (
	"errors"
	"fmt"
	"time"

	"github.com/google/uuid"
)

const (
	// Life is the age up to which a key is accepted.
	Life = 6 * time.Hour
	// Skew is how far a key may lie in the future, for clocks that differ.
	Skew = 5 * time.Minute
	// Retention is how long a record of a key must be kept. It exceeds Life plus Skew:
	// a key is then refused as expired before its record goes.
	Retention = Life + 2*Skew
)

// Errors of this layer.
var (
	ErrMalformed = errors.New("not a UUIDv7")
	ErrFuture    = errors.New("created in the future")
	ErrExpired   = errors.New("too old")
)

// Parse returns the key in canonical form, so that two spellings of one key are equal.
func Parse(text string) (uuid.UUID, error) {
	id, err := uuid.Parse(text)
	if err != nil || len(text) != len(uuid.Nil.String()) || id.Version() != 7 || id.Variant() != uuid.RFC4122 {
		return uuid.Nil, fmt.Errorf("%w: %q", ErrMalformed, text)
	}
	return id, nil
}

// CheckAge refuses a key that is too old for its record to exist, and a key from the future.
func CheckAge(id uuid.UUID, now time.Time) error {
	sec, nsec := id.Time().UnixTime()
	age := now.Sub(time.Unix(sec, nsec))
	if age < -Skew {
		return fmt.Errorf("%w: by %v", ErrFuture, -age)
	}
	if age > Life {
		return fmt.Errorf("%w: created %v ago, limit %v", ErrExpired, age.Round(time.Second), Life)
	}
	return nil
}
