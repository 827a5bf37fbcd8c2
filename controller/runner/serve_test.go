package runner

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"bluebellhoist/controller/replicator"
	"bluebellhoist/controller/storer"
)

// TestServe guards against a process that exits, and is restarted repeatedly, while its disk is full, and against one that
// keeps restarting its node after a fault that a restart does not fix.
func TestServe(t *testing.T) {
	full := fmt.Errorf("%w: no space left on device", replicator.ErrStorage)
	broken := errors.New("log is damaged")
	cases := []struct {
		name   string
		starts []error // errors of opening the data folder, one per failed start
		runs   []error // errors of running the node, one per successful start
		want   error
		nodes  int
	}{
		{"disk temporarily full", nil, []error{full, full, nil}, nil, 3},
		{"folder temporarily unreadable", []error{storer.ErrIO}, []error{nil}, nil, 1},
		{"damaged", nil, []error{full, broken}, broken, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				starts, runs, nodes, began := c.starts, c.runs, 0, time.Now()
				err := runWithRetry(context.Background(), hclog.NewNullLogger(), func() (func(context.Context) error, error) {
					if len(starts) > 0 {
						err := starts[0]
						starts = starts[1:]
						return nil, err
					}
					return func(context.Context) error {
						nodes++
						return c.runs[nodes-1]
					}, nil
				})
				is.True(errors.Is(err, c.want))
				is.Equal(nodes, len(runs))
				is.Equal(time.Since(began), storageRetryDelay*time.Duration(len(c.starts)+c.nodes-1)) // one delay per restart, no busy loop
			})
		})
	}
	t.Run("stopped during the delay", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			err := runWithRetry(ctx, hclog.NewNullLogger(), func() (func(context.Context) error, error) {
				time.AfterFunc(storageRetryDelay/2, cancel)
				return func(context.Context) error { return full }, nil
			})
			is.NoErr(err)
		})
	})
}
