package auditor

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// TestCheck guards against violations that are missed, and against violations reported for correct calls.
func TestCheck(t *testing.T) {
	for _, tt := range []struct {
		name    string
		outcome Outcome
		runs    map[string]int // by service
		want    Verdict
	}{
		{"answered and run", Answered, map[string]int{"payout": 1}, Verdict{Runs: 1}},
		{"unknown outcome, run", Unknown, map[string]int{"payout": 1}, Verdict{Runs: 1}},
		{"unknown outcome, not run", Unknown, nil, Verdict{}},
		{"doubled", Unknown, map[string]int{"payout": 2}, Verdict{Runs: 2, Doubled: []string{"payout k 2"}}},
		{"refused", Refused, nil, Verdict{}},
		{"refused yet run", Refused, map[string]int{"payout": 1}, Verdict{Runs: 1, Refused: []string{"payout k"}}},
		{"missing", Answered, nil, Verdict{Missing: []string{"payout k"}}},
		{"nested at-most-once call doubled", Answered, map[string]int{"payout": 1, "ledger": 2}, Verdict{Runs: 3, Doubled: []string{"ledger k 2"}}},
		{"nested repeatable call doubled", Answered, map[string]int{"payout": 1, "stock": 2}, Verdict{Runs: 3}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := New([]string{"payout", "ledger"})
			a.RecordOutcome("payout", "k", tt.outcome)
			a.AddRuns("payout", "another load's key", 2)
			for service, count := range tt.runs {
				a.AddRuns(service, "k", count)
			}
			got := a.Check()
			is.Equal(got.Runs, tt.want.Runs)
			is.Equal(append([]string{}, tt.want.Doubled...), got.Doubled)
			is.Equal(append([]string{}, tt.want.Refused...), got.Refused)
			is.Equal(append([]string{}, tt.want.Missing...), got.Missing)
		})
	}
}

// TestReadRuns guards against runs of a stopped stand-in that are not counted.
func TestReadRuns(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "runs")
	is.NoErr(os.WriteFile(path, []byte("k\nk\n"), 0o644))
	a := New([]string{"payout"})
	a.RecordOutcome("payout", "k", Unknown)
	is.NoErr(a.ReadRuns("payout", path))
	is.Equal(a.Check().Doubled, []string{"payout k 2"})
	is.True(a.ReadRuns("payout", path+"x") != nil)
}
