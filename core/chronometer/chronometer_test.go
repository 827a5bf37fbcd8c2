package chronometer

import (
	"testing"

	"github.com/matryer/is"
)

// TestClock guards against a clock that goes back or counts from another start than the kernel's.
func TestClock(t *testing.T) {
	is := is.New(t)
	first, err := Now()
	is.NoErr(err)
	second := New()()
	third, err := Now()
	is.NoErr(err)
	is.True(first > 0 && first <= second && second <= third)
}
