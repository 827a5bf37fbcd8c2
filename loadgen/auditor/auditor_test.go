package auditor

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestJudge guards against contradictions that are missed, or found for keys that allow them.
func TestJudge(t *testing.T) {
	for _, tt := range []struct {
		name string
		fate Fate
		runs map[string]int // by service
		want Verdict
	}{
		{"ran", Ran, map[string]int{"payout": 1}, Verdict{Runs: 1}},
		{"open and run", Open, map[string]int{"payout": 1}, Verdict{Runs: 1}},
		{"open and not run", Open, nil, Verdict{}},
		{"doubled", Open, map[string]int{"payout": 2}, Verdict{Runs: 2, Doubled: []string{"payout k 2"}}},
		{"refused", Refused, nil, Verdict{}},
		{"refused yet run", Refused, map[string]int{"payout": 1}, Verdict{Runs: 1, Refused: []string{"payout k"}}},
		{"missing", Ran, nil, Verdict{Missing: []string{"payout k"}}},
		{"nested once doubled", Ran, map[string]int{"payout": 1, "ledger": 2}, Verdict{Runs: 3, Doubled: []string{"ledger k 2"}}},
		{"nested repeated", Ran, map[string]int{"payout": 1, "stock": 2}, Verdict{Runs: 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := New([]string{"payout", "ledger"})
			a.Note("payout", "k", tt.fate)
			a.Add("payout", "another load's key", 2)
			for service, count := range tt.runs {
				a.Add(service, "k", count)
			}
			got := a.Judge()
			is.Equal(got.Runs, tt.want.Runs)
			is.Equal(append([]string{}, tt.want.Doubled...), got.Doubled)
			is.Equal(append([]string{}, tt.want.Refused...), got.Refused)
			is.Equal(append([]string{}, tt.want.Missing...), got.Missing)
		})
	}
}

// TestRead guards against runs of a dead stand-in that are not counted.
func TestRead(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "runs")
	is.NoErr(os.WriteFile(path, []byte("k\nk\n"), 0o644))
	a := New([]string{"payout"})
	a.Note("payout", "k", Open)
	is.NoErr(a.Read("payout", path))
	is.Equal(a.Judge().Doubled, []string{"payout k 2"})
	is.True(a.Read("payout", path+"x") != nil)
}
