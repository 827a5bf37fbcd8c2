package recorder

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestRestart guards against runs that are lost or counted without having begun when a stand-in crashes and restarts.
func TestRestart(t *testing.T) {
	for _, tt := range []struct {
		name string
		file string
		want map[string]int
	}{
		{"no file", "", map[string]int{"new": 1}},
		{"earlier runs", "a\nb\na\n", map[string]int{"a": 2, "b": 1, "new": 1}},
		{"truncated last line", "a\nne", map[string]int{"a": 1, "new": 1}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "runs")
			if tt.file != "" {
				is.NoErr(os.WriteFile(path, []byte(tt.file), 0o644))
			}
			first, err := New(WithFile(path))
			is.NoErr(err)
			_, err = first.Record("new")
			is.NoErr(err)
			is.NoErr(first.Close())
			restarted, err := New(WithFile(path))
			is.NoErr(err)
			is.Equal(restarted.Runs(), tt.want)
			is.NoErr(restarted.Close())
		})
	}
}
