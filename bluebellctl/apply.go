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

// initialBackoff is the delay after the first round of attempts at all controllers. It doubles with each round.
const initialBackoff = 200 * time.Millisecond

func (p *program) apply() *ff.Command {
	flags := ff.NewFlagSet("apply").SetParent(p.flags)
	id := flags.StringLong("id", "", "id of the change; with the id of an earlier attempt, its result is returned and nothing is applied twice")
	rounds := flags.IntLong("rounds", 4, "number of attempts at each controller")
	return &ff.Command{
		Name:      "apply",
		Usage:     "bluebellctl apply [FLAGS] FILE",
		ShortHelp: "submit a change",
		Flags:     flags,
		Exec: func(ctx context.Context, args []string) error {
			path, err := singleArgument(args, "FILE")
			if err != nil {
				return err
			}
			changeFile, err := os.ReadFile(path)
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
			version, err := c.submit(ctx, *id, changeFile, *rounds)
			if err != nil {
				return err
			}
			fmt.Fprintln(p.stdout, version)
			return nil
		},
	}
}

// submit sends a change to the controllers in turn until one accepts or rejects it. All attempts carry the same id, so that
// a retry after a lost response cannot apply the change twice.
func (c *client) submit(ctx context.Context, id string, changeFile []byte, rounds int) (uint64, error) {
	path := "/v1/changes?id=" + id
	outcomeUnknown := false
	var lastErr error
	for round := range rounds {
		for _, addr := range c.controllers {
			r := c.do(ctx, addr, http.MethodPost, path, changeFile)
			version, err := r.acceptedVersion()
			if err == nil {
				return version, nil
			}
			if errors.Is(err, errInvalid) || errors.Is(err, errConflict) {
				return 0, err
			}
			outcomeUnknown = outcomeUnknown || errors.Is(err, errUnknown)
			lastErr = err
		}
		if round == rounds-1 || !waiter.SleepCompleted(ctx, initialBackoff<<round) {
			break
		}
	}
	if outcomeUnknown {
		return 0, fmt.Errorf("%w: the change may be in effect; apply again with --id %s: %v", errUnknown, id, lastErr)
	}
	return 0, fmt.Errorf("%w: %v", errUnavailable, lastErr)
}

// acceptedVersion returns the version of an accepted change, or an error with the reason why it was not accepted.
// Once the request may have reached the controller, the outcome is unknown unless the controller clearly rejects the change.
func (r response) acceptedVersion() (uint64, error) {
	if !r.sent {
		return 0, fmt.Errorf("%w: %v", errUnavailable, r.err)
	}
	if r.err != nil {
		return 0, fmt.Errorf("%w: %v", errUnknown, r.err)
	}
	problem := r.problem()
	switch r.status {
	case http.StatusOK:
		var accepted struct {
			Version uint64 `json:"version"`
		}
		if err := json.Unmarshal(r.body, &accepted); err != nil || accepted.Version == 0 {
			return 0, fmt.Errorf("%w: %v: unreadable response", errUnknown, r.from)
		}
		return accepted.Version, nil
	case http.StatusBadRequest, http.StatusNotFound:
		return 0, fmt.Errorf("%w: %s", errInvalid, problem.Error)
	case http.StatusConflict:
		return 0, fmt.Errorf("%w: %s (current version %d)", errConflict, problem.Error, problem.Version)
	case http.StatusServiceUnavailable:
		return 0, fmt.Errorf("%w: %v: %s", errUnavailable, r.from, problem.Error)
	}
	return 0, fmt.Errorf("%w: %v: status %d: %s", errUnknown, r.from, r.status, problem.Error)
}
