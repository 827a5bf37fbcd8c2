package deliverer

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"bluebellhoist/daemon/limiter"
)

// headerRank holds the rank of a call between daemons, and whether a running call makes it. Builds that do not know it take
// the name of the class from headerCall. It is left out if that name says the same.
const headerRank = "Bluebell-Rank"

// nestedField marks the call of a running call in headerRank.
const nestedField = "nested"

// setClass adds the class of a call to the headers of a request to another daemon, except for its name.
func setClass(h http.Header, class limiter.Class) {
	if class == limiter.NamedClass(class.Name()) {
		return
	}
	value := strconv.Itoa(class.Rank)
	if class.Nested {
		value += fieldSeparator + nestedField
	}
	h.Set(headerRank, value)
}

// readClass returns the class of a call from another daemon, which states the name of the class.
func readClass(h http.Header, name string) (limiter.Class, error) {
	value := h.Get(headerRank)
	if value == "" {
		return limiter.NamedClass(name), nil
	}
	text, kind, _ := strings.Cut(value, fieldSeparator)
	rank, err := strconv.Atoi(text)
	if err != nil {
		return limiter.Class{}, fmt.Errorf("%w: rank: %v", errPeerHeader, err)
	}
	return limiter.Class{Rank: rank, Nested: kind == nestedField}, nil
}
