package budgeter

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Kind tells what the arrival of a call at an upstream is.
type Kind int

// Kinds of arrivals.
const (
	First  Kind = iota // first arrival of a call of a caller
	Nested             // first arrival of a call that a run makes
	Retry              // arrival of a call that was sent to an upstream before
	Caused             // first arrival of a call that the run of a retry makes
)

// kindNames are the names of the kinds in headers, metrics and logs.
var kindNames = []string{First: "first", Nested: "nested", Retry: "retry", Caused: "caused"}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

// IsRetry reports whether the arrival counts as a retry.
func (k Kind) IsRetry() bool {
	return k == Retry || k == Caused
}

// HeaderArrival tells the daemon of the upstream what an arrival is. Without it the arrival is the first one of a call that
// a caller has just made.
const HeaderArrival = "Bluebell-Arrival"

// HeaderOverBudget tells the daemon of the caller that the retry budget kept a call from the upstream.
const HeaderOverBudget = "Bluebell-Over-Budget"

const (
	// headerSeparator separates the kind from the age of the call in milliseconds.
	headerSeparator = ";"
	// minAge is the age from which on the header is sent with a first arrival.
	minAge = 20 * time.Millisecond
)

// ErrHeader reports a malformed HeaderArrival.
var ErrHeader = errors.New("invalid " + HeaderArrival)

// EncodeArrival returns the value of HeaderArrival for a call that a daemon got from its caller at started. It is empty if the
// header can be left out.
func EncodeArrival(kind Kind, started, now time.Time) string {
	age := max(now.Sub(started), 0)
	if kind == First && age < minAge {
		return ""
	}
	return kind.String() + headerSeparator + strconv.FormatInt(age.Milliseconds(), 10)
}

// ParseArrival returns the kind of an arrival and when a daemon got the call from its caller.
func ParseArrival(value string, now time.Time) (kind Kind, started time.Time, err error) {
	if value == "" {
		return First, now, nil
	}
	name, age, _ := strings.Cut(value, headerSeparator)
	index := slices.Index(kindNames, name)
	ms, err := strconv.ParseInt(age, 10, 64)
	if index < 0 || err != nil || ms < 0 {
		return First, now, fmt.Errorf("%w: %q", ErrHeader, value)
	}
	return Kind(index), now.Add(-time.Duration(ms) * time.Millisecond), nil
}
