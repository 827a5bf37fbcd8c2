package main

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v4"

	"bluebellhoist/core/presenter"
	"bluebellhoist/core/waiter"
)

// pollInterval is the time between two checks of the daemons' versions.
const pollInterval = 200 * time.Millisecond

func (p *program) wait() *ff.Command {
	flags := ff.NewFlagSet("wait").SetParent(p.flags)
	timeout := flags.DurationLong("limit", 30*time.Second, "maximum time to wait")
	minDaemons := flags.IntLong("daemons", 0, "minimum number of daemons that must be reported")
	return &ff.Command{
		Name:      "wait",
		Usage:     "bluebellctl wait [FLAGS] VERSION",
		ShortHelp: "wait until all daemons hold a version",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			text, err := singleArgument(args, "VERSION")
			if err != nil {
				return err
			}
			version, err := strconv.ParseUint(text, 10, 64)
			if err != nil {
				return fmt.Errorf("%w: VERSION: %v", errUsage, err)
			}
			c, err := p.client()
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(ctx, *timeout)
			defer cancel()
			failed, err := c.waitFor(ctx, version, *minDaemons)
			for _, line := range failed {
				fmt.Fprintln(p.stderr, "no answer, daemons of this controller are not counted:", line)
			}
			return err
		},
	}
}

// waitFor waits until all daemons have the version in effect. It returns the errors of the controllers that failed
// in the last check.
func (c *client) waitFor(ctx context.Context, version uint64, minDaemons int) ([]string, error) {
	var lastErr error
	for {
		failed, err := c.checkReached(ctx, version, minDaemons)
		if err == nil {
			return failed, nil
		}
		// If ctx ended during this check, the error of the previous check is more useful.
		if ctx.Err() == nil || lastErr == nil {
			lastErr = err
		}
		if !waiter.SleepCompleted(ctx, pollInterval) {
			return failed, lastErr
		}
	}
}

// checkReached returns nil if all daemons have the version in effect, or else an error that names what is missing. It also
// returns the errors of the controllers that failed.
func (c *client) checkReached(ctx context.Context, version uint64, minDaemons int) ([]string, error) {
	o, err := c.overview(ctx)
	if err != nil {
		return nil, err
	}
	needed, err := c.neededVersions(ctx, version)
	if err != nil {
		return o.Failed, err
	}
	if len(o.Daemons) < minDaemons {
		return o.Failed, fmt.Errorf("%w: %d of at least %d daemons are reported", errNotReached, len(o.Daemons), minDaemons)
	}
	behind := 0
	var firstBehind presenter.Daemon
	for _, d := range o.Daemons {
		if d.Held < needed[d.Batch] {
			if behind == 0 {
				firstBehind = d
			}
			behind++
		}
	}
	if behind > 0 {
		return o.Failed, fmt.Errorf("%w: %d of %d daemons are behind; the first is %s of batch %s, at version %d, required %d",
			errNotReached, behind, len(o.Daemons), firstBehind.Name, firstBehind.Batch, firstBehind.Held, needed[firstBehind.Batch])
	}
	return o.Failed, nil
}

// neededVersions returns, by batch, the version that its daemons have in effect once the given version is reached. The
// version of a daemon is that of its batch, which is lower than the given one if the change did not affect the batch. Only
// controllers that have reached the given version are used, because others may list older batches.
func (c *client) neededVersions(ctx context.Context, version uint64) (map[string]uint64, error) {
	for _, addr := range c.controllers {
		var s presenter.Status
		if err := c.do(ctx, addr, http.MethodGet, "/v1/status", nil).decode(&s); err != nil || s.Version < version {
			continue
		}
		var list []presenter.Batch
		if err := c.do(ctx, addr, http.MethodGet, "/v1/batches", nil).decode(&list); err != nil {
			continue
		}
		needed := make(map[string]uint64, len(list))
		for _, b := range list {
			needed[b.Name] = min(b.Version, version)
		}
		return needed, nil
	}
	return nil, fmt.Errorf("%w: no controller has reached version %d", errNotReached, version)
}
