package tracer

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

// Kinds of arrivals. All but First count as retries.
const (
	First  Kind = iota // the call arrives at an upstream for the first time
	Retry              // the call was sent to an upstream before
	Nested             // the first arrival of a call that was made by the run of a retry
)

// kindNames are the names of the kinds in headers, metrics and logs.
var kindNames = []string{First: "first", Retry: "retry", Nested: "nested"}

// String returns the name of the kind.
func (k Kind) String() string {
	return kindNames[k]
}

// HeaderArrival describes the arrival to the daemon of the upstream. Without it the arrival is the first one of a call that
// has just started.
const HeaderArrival = "Bluebell-Arrival"

// arrivalSeparator separates the kind from the age of the call in milliseconds.
const arrivalSeparator = ";"

// minAge is the age from which on a first arrival is described by a header.
const minAge = 20 * time.Millisecond

// errArrival reports a malformed HeaderArrival.
var errArrival = errors.New("invalid " + HeaderArrival)

// Arrival is the arrival of a call at an upstream.
type Arrival struct {
	Kind    Kind
	Started time.Time // when a daemon got the call from its caller
}

// Encode returns the value of HeaderArrival, or an empty string if the header can be left out.
func (a Arrival) Encode(now time.Time) string {
	age := now.Sub(a.Started)
	if a.Kind == First && age < minAge {
		return ""
	}
	return a.Kind.String() + arrivalSeparator + strconv.FormatInt(max(age, 0).Milliseconds(), 10)
}

// ParseArrival returns the arrival that a value of HeaderArrival describes.
func ParseArrival(value string, now time.Time) (Arrival, error) {
	if value == "" {
		return Arrival{Started: now}, nil
	}
	name, age, _ := strings.Cut(value, arrivalSeparator)
	kind := slices.Index(kindNames, name)
	ms, err := strconv.ParseInt(age, 10, 64)
	if kind < 0 || err != nil || ms < 0 {
		return Arrival{}, fmt.Errorf("%w: %q", errArrival, value)
	}
	return Arrival{Kind: Kind(kind), Started: now.Add(-time.Duration(ms) * time.Millisecond)}, nil
}
