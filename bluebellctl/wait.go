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

// poll is the time between two looks at the daemons.
const poll = 200 * time.Millisecond

func (p *program) wait() *ff.Command {
	flags := ff.NewFlagSet("wait").SetParent(p.flags)
	limit := flags.DurationLong("limit", 30*time.Second, "longest wait")
	least := flags.IntLong("daemons", 0, "number of daemons that must be reported")
	return &ff.Command{
		Name:      "wait",
		Usage:     "bluebellctl wait [FLAGS] VERSION",
		ShortHelp: "wait until all daemons hold a version",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			text, err := argument(args, "VERSION")
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
			ctx, cancel := context.WithTimeout(ctx, *limit)
			defer cancel()
			silent, err := c.waitFor(ctx, version, *least)
			for _, line := range silent {
				fmt.Fprintln(p.stderr, "daemons not counted, no answer:", line)
			}
			return err
		},
	}
}

// waitFor returns when the daemons hold the version, and the controllers that did not answer the last look.
func (c *client) waitFor(ctx context.Context, version uint64, least int) ([]string, error) {
	var reason error
	for {
		silent, err := c.reached(ctx, version, least)
		if err == nil {
			return silent, nil
		}
		// A look that the limit cut off says less than the one before.
		if ctx.Err() == nil || reason == nil {
			reason = err
		}
		if !waiter.Slept(ctx, poll) {
			return silent, reason
		}
	}
}

// reached returns an error that says what is missing.
func (c *client) reached(ctx context.Context, version uint64, least int) ([]string, error) {
	o, err := c.overview(ctx)
	if err != nil {
		return nil, err
	}
	needed, err := c.needed(ctx, version)
	if err != nil {
		return o.Silent, err
	}
	if len(o.Daemons) < least {
		return o.Silent, fmt.Errorf("%w: %d of %d daemons are reported", errLate, len(o.Daemons), least)
	}
	behind := 0
	var first presenter.Daemon
	for _, d := range o.Daemons {
		if d.Held < needed[d.Batch] {
			if behind == 0 {
				first = d
			}
			behind++
		}
	}
	if behind > 0 {
		return o.Silent, fmt.Errorf("%w: %d of %d daemons are behind, first %s of batch %s at %d, needs %d",
			errLate, behind, len(o.Daemons), first.Name, first.Batch, first.Held, needed[first.Batch])
	}
	return o.Silent, nil
}

// needed returns the version that a daemon of each batch holds once the given version is in effect. A daemon's version
// is that of its batch, which stays lower if the change did not touch the batch.
// Only controllers that have reached the version are asked, because others list older batches.
func (c *client) needed(ctx context.Context, version uint64) (map[string]uint64, error) {
	for _, to := range c.controllers {
		var s presenter.Status
		if err := c.do(ctx, to, http.MethodGet, "/v1/status", nil).decode(&s); err != nil || s.Version < version {
			continue
		}
		var list []presenter.Batch
		if err := c.do(ctx, to, http.MethodGet, "/v1/batches", nil).decode(&list); err != nil {
			continue
		}
		needed := make(map[string]uint64, len(list))
		for _, b := range list {
			needed[b.Name] = min(b.Version, version)
		}
		return needed, nil
	}
	return nil, fmt.Errorf("%w: no controller has reached version %d", errLate, version)
}
