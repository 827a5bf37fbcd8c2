package spender

import (
	"errors"
	"fmt"
	"time"
)

// Errors of a Spender. The call must not be sent.
var (
	// ErrOverLimit reports that a controller has refused tokens, since the tenant has used up its limit.
	ErrOverLimit = errors.New("tenant is over its limit")
	// ErrUnavailable reports that no controller has answered in time, or that none allots tokens.
	ErrUnavailable = errors.New("no controller allots tokens")
)

// OverLimitError says when a tenant that is over its limit may call again. It wraps ErrOverLimit.
type OverLimitError struct {
	Wait time.Duration
}

// Error returns the message.
func (e *OverLimitError) Error() string {
	return fmt.Sprintf("%v for another %v", ErrOverLimit, e.Wait.Round(time.Millisecond))
}

// Unwrap returns ErrOverLimit.
func (e *OverLimitError) Unwrap() error {
	return ErrOverLimit
}
