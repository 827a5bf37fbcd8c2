package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/peterbourgon/ff/v4"

	"bluebellhoist/core/waiter"
)

// backoff is the wait after a round of all controllers. It doubles with each round.
const backoff = 200 * time.Millisecond

func (p *program) apply() *ff.Command {
	flags := ff.NewFlagSet("apply").SetParent(p.flags)
	id := flags.StringLong("id", "", "id of the change; the id of an earlier attempt gets its answer again")
	rounds := flags.IntLong("rounds", 4, "how often to try each controller")
	return &ff.Command{
		Name:      "apply",
		Usage:     "bluebellctl apply [FLAGS] FILE",
		ShortHelp: "submit a change",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			path, err := argument(args, "FILE")
			if err != nil {
				return err
			}
			text, err := os.ReadFile(path)
			if err != nil {
				return fmt.Errorf("%w: %v", errUsage, err)
			}
			if *id == "" {
				*id = uuid.NewString()
			}
			if _, err := uuid.Parse(*id); err != nil {
				return fmt.Errorf("%w: id: %v", errUsage, err)
			}
			c, err := p.client()
			if err != nil {
				return err
			}
			version, err := c.submit(ctx, *id, text, *rounds)
			if err != nil {
				return err
			}
			fmt.Fprintln(p.stdout, version)
			return nil
		},
	}
}

// submit sends a change to the controllers in turn until one accepts or refuses it. All sends carry the same id, so that
// a resend after a lost answer cannot apply the change twice.
func (c *client) submit(ctx context.Context, id string, text []byte, rounds int) (uint64, error) {
	path := "/v1/changes?id=" + id
	open := false
	var last error
	for round := range rounds {
		for _, to := range c.controllers {
			a := c.do(ctx, to, http.MethodPost, path, text)
			version, err := a.verdict()
			if err == nil {
				return version, nil
			}
			if errors.Is(err, errInvalid) || errors.Is(err, errConflict) {
				return 0, err
			}
			open = open || errors.Is(err, errUnknown)
			last = err
		}
		if round == rounds-1 || !waiter.Slept(ctx, backoff<<round) {
			break
		}
	}
	if open {
		return 0, fmt.Errorf("%w: the change may be in effect; apply again with --id %s: %v", errUnknown, id, last)
	}
	return 0, fmt.Errorf("%w: %v", errNone, last)
}

// verdict returns the version of an accepted change, or what the answer says about it.
// Everything but a clear refusal leaves the outcome unknown once the request may have arrived.
func (a answer) verdict() (uint64, error) {
	if !a.sent {
		return 0, fmt.Errorf("%w: %v", errNone, a.err)
	}
	if a.err != nil {
		return 0, fmt.Errorf("%w: %v", errUnknown, a.err)
	}
	f := a.failure()
	switch a.status {
	case http.StatusOK:
		var accepted struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(a.body, &accepted); err != nil || accepted.Version == 0 {
			return 0, fmt.Errorf("%w: %v: unreadable answer", errUnknown, a.from)
		}
		return accepted.Version, nil
	case http.StatusBadRequest, http.StatusNotFound:
		return 0, fmt.Errorf("%w: %s", errInvalid, f.Error)
	case http.StatusConflict:
		return 0, fmt.Errorf("%w: %s (current version %d)", errConflict, f.Error, f.Version)
	case http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: %v: %s", errNone, a.from, f.Error)
	}
	return 0, fmt.Errorf("%w: %v: status %d: %s", errUnknown, a.from, a.status, f.Error)
}
