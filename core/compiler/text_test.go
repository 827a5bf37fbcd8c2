package compiler_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
)

var now = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

// TestParseRejects guards against accepting invalid services.
func TestParseRejects(t *testing.T) {
	cases := []struct {
		name, services, want string
	}{
		{"unknown need", `"a": {"needs": ["b"]}`, `"b" is not in the batch`},
		{"cycle", `"a": {"needs": ["b"]}, "b": {"needs": ["a"]}`, "dependency cycle"},
		{"self", `"a": {"needs": ["a"]}`, "dependency cycle"},
		{"class", `"a": {"class": "fast"}`, `class "fast"`},
		{"limit", `"a": {"limit": "61s"}`, "limit 1m1s"},
		{"negative limit", `"a": {"limit": "-1s"}`, "limit -1s"},
		{"name", `"A": {}`, "name must match"},
		{"unknown field", `"a": {"need": []}`, `unknown field "need"`},
		{"name that is not UTF-8", "\"a\": {\"class\": \"\xfc\"}", "invalid UTF-8"},
		{"service twice", `"a": {}, "a": {"once": true}`, `duplicate object member name "a"`},
		{"field twice", `"a": {"limit": "1s", "limit": "2s"}`, `duplicate object member name "limit"`},
		{"field in another case", `"a": {"Limit": "1s"}`, `unknown field "Limit"`},
		{"too deep", dependencyChain(17), "longer than 16"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			_, err := compiler.Parse(batchText(c.services), now)
			is.True(errors.Is(err, compiler.ErrInvalid))         // every error is an ErrInvalid
			is.True(strings.Contains(err.Error(), c.want))       // the message names the cause
			is.True(strings.HasPrefix(err.Error(), "invalid c")) // all errors of the package have the same prefix
		})
	}
}

// TestParseAccepts guards against rejecting a dependency chain of exactly MaxDepth services, and against missing defaults.
func TestParseAccepts(t *testing.T) {
	is := is.New(t)
	edits, err := compiler.Parse(batchText(dependencyChain(16)), now)
	is.NoErr(err)
	is.Equal(len(edits), 1)
	is.Equal(len(edits[0].Services), 16)
	is.Equal(edits[0].Services[0].Class, compiler.Normal)
	is.Equal(edits[0].Services[0].Limit, compiler.DefaultLimit)
}

func batchText(services string) []byte {
	return []byte(`{"batches": {"counter": { // comment
		"base": 0, "until": "2027-03-31T00:00:00Z", "services": {` + services + `}}}}`)
}

// dependencyChain returns the text of n services, each of which depends on the next.
func dependencyChain(n int) string {
	var b strings.Builder
	for i := range n {
		name := "s" + string(rune('a'+i))
		needs := `[]`
		if i+1 < n {
			needs = `["s` + string(rune('a'+i+1)) + `"]`
		}
		if i > 0 {
			b.WriteString(", ")
		}
		b.WriteString(`"` + name + `": {"needs": ` + needs + `}`)
	}
	return b.String()
}
