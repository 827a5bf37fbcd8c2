package loader_test

import (
	"errors"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/loader"
)

// sample has a field for each kind of value that settings and requests have.
type sample struct {
	Name    string          `json:"name"`
	Slots   int             `json:"slots"`
	Seq     *uint64         `json:"seq"`
	Rate    float64         `json:"rate"`
	Open    bool            `json:"open"`
	Keys    []string        `json:"keys"`
	Until   time.Time       `json:"until"`
	Wait    loader.Duration `json:"wait"`
	Address netip.AddrPort  `json:"address"`
	Inner   struct {
		Rank int `json:"rank"`
	} `json:"inner"`
}

// TestAmbiguousJSON guards against text that is accepted although it can be read in more than one way, and against errors that
// do not name the place or contain a value.
func TestAmbiguousJSON(t *testing.T) {
	cases := []struct{ name, text, want string }{
		{"not UTF-8", "{\"name\":\n\"secret\xfc\"}", "line 2, column 8: invalid UTF-8"},
		{"half of a surrogate pair", `{"name":"secret\ud800"}`, "invalid surrogate pair"},
		{"key twice", `{"slots":1,"slots":2}`, `duplicate object member name "slots"`},
		{"key twice inside", `{"inner":{"rank":1,"rank":2}}`, `duplicate object member name "rank"`},
		{"two values", `{"slots":1}{"slots":2}`, "after top-level value"},
		{"truncated", `{"slots":1`, "unexpected EOF"},
		{"empty", ``, "EOF"},
		{"list", `[1]`, "text must be an object"},
		{"object as string", `{"name":{"secret":1}}`, "name must be a string"},
		{"string as integer", `{"slots":"secret"}`, "slots must be an integer of 64 bits"},
		{"fraction", `{"inner":{"rank":1.5}}`, "inner/rank must be an integer of 64 bits"},
		{"beyond 64 bits", `{"slots":99999999999999999999}`, "slots must be an integer of 64 bits"},
		{"negative", `{"seq":-1}`, "seq must be a positive integer of 64 bits"},
		{"beyond a float", `{"rate":1e999}`, "rate must be a number"},
		{"string as list", `{"keys":"secret"}`, "keys must be a list"},
		{"string as boolean", `{"open":"secret"}`, "open must be true or false"},
		{"no time", `{"until":"secret"}`, `until must be a time such as "2027-03-31T00:00:00Z"`},
		{"no duration", `{"wait":"secret"}`, `wait must be a duration such as "1.5s"`},
		{"no address", `{"address":"secret"}`, "address must be an IP address and port"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, decode := range []func([]byte, any) error{loader.JSON, loader.KnownJSON} {
				is := is.New(t)
				err := decode([]byte(c.text), &sample{})
				is.True(errors.Is(err, loader.ErrInvalid))
				is.True(strings.Contains(err.Error(), c.want))
				is.True(!strings.Contains(err.Error(), "secret"))
			}
		})
	}
}

// TestUnknownFields guards against a misspelt field that is ignored, and against refusing fields that a newer peer has added.
func TestUnknownFields(t *testing.T) {
	for text, want := range map[string]string{
		`{"slot":1}`:                 `slot: unknown field "slot"`,
		`{"Slots":1}`:                `Slots: unknown field "Slots"`,
		`{"inner":{"order":1}}`:      `inner/order: unknown field "order"`,
		`{"inner":{"a/b":"secret"}}`: `unknown field "a/b"`,
	} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			var v sample
			is.NoErr(loader.JSON([]byte(text), &v))
			is.Equal(v, sample{})
			err := loader.KnownJSON([]byte(text), &v)
			is.True(errors.Is(err, loader.ErrInvalid))
			is.True(strings.Contains(err.Error(), want))
			is.True(!strings.Contains(err.Error(), "secret"))
		})
	}
}

// TestTextPositions guards against errors in settings that name another line because of a comment in front.
func TestTextPositions(t *testing.T) {
	is := is.New(t)
	err := loader.Text([]byte("{// comment\n\"slots\": 1, // comment\n\"slots\": 2,}"), &sample{})
	is.True(errors.Is(err, loader.ErrInvalid))
	is.True(strings.Contains(err.Error(), "line 3, column 1:"))
}
