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

// TestServe guards against a process that ends, and is started again and again, while its disk is full, and against one
// that runs on after a fault that a new start does not mend.
func TestServe(t *testing.T) {
	full := fmt.Errorf("%w: no space left on device", replicator.ErrStorage)
	broken := errors.New("log is damaged")
	cases := []struct {
		name   string
		starts []error // of opening the folder
		runs   []error // of the nodes that started
		want   error
		nodes  int
	}{
		{"full for a while", nil, []error{full, full, nil}, nil, 3},
		{"cannot be opened for a while", []error{storer.ErrIO}, []error{nil}, nil, 1},
		{"damaged", nil, []error{full, broken}, broken, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				starts, runs, nodes, began := c.starts, c.runs, 0, time.Now()
				err := retry(context.Background(), hclog.NewNullLogger(), func() (func(context.Context) error, error) {
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
				is.Equal(time.Since(began), storageRetry*time.Duration(len(c.starts)+c.nodes-1)) // it does not spin
			})
		})
	}
	t.Run("told to stop while it waits", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(context.Background())
			err := retry(ctx, hclog.NewNullLogger(), func() (func(context.Context) error, error) {
				time.AfterFunc(storageRetry/2, cancel)
				return func(context.Context) error { return full }, nil
			})
			is.NoErr(err)
		})
	})
}
