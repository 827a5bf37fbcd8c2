package runner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/apportioner"
	"bluebellhoist/core/loader"
)

// TestVoters guards against a number of voters that does not follow the losses to be borne, or that the quotas have no slack for.
func TestVoters(t *testing.T) {
	quota := func(slack float64) apportioner.Settings {
		return apportioner.Settings{Window: loader.Duration(time.Second), Slack: slack}
	}
	for _, c := range []struct {
		name         string
		settings     Settings
		fewest, most int
	}{
		{"no limit", Settings{}, 0, 0},
		{"fixed limit", Settings{MaxVoters: 3}, 0, 3},
		{"one loss", Settings{Losses: 1}, 3, 5},
		{"two losses", Settings{Losses: 2}, 5, 7},
		{"little slack", Settings{Losses: 1, Quota: quota(4.5)}, 3, 4},
		{"too little slack", Settings{Losses: 1, Quota: quota(1)}, 3, 3},
		{"large slack", Settings{Losses: 1, Quota: quota(1e300)}, 3, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			fewest, most := c.settings.voters()
			is.New(t).Equal([2]int{fewest, most}, [2]int{c.fewest, c.most})
		})
	}
}
