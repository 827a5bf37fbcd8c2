package runner

import (
	"context"
	"errors"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"bluebellhoist/controller/replicator"
	"bluebellhoist/controller/storer"
)

// storageRetryDelay is the time between a storage failure of a node and its restart within the process.
const storageRetryDelay = time.Second

// Serve runs the node that start returns, and restarts it after a storage failure. It returns when the node ends for any
// other reason or the process gets SIGTERM or SIGINT. A temporarily full disk thus needs no restart of the process. This is
// safe because a restarted node reads its state from disk and treats nothing as durable that it could not write.
func Serve(ctx context.Context, log hclog.Logger, start func() (run func(context.Context) error, err error)) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return runWithRetry(ctx, log, start)
}

// runWithRetry is Serve without the signal handling.
func runWithRetry(ctx context.Context, log hclog.Logger, start func() (run func(context.Context) error, err error)) error {
	for {
		run, err := start()
		if err == nil {
			err = run(ctx)
		}
		if !errors.Is(err, replicator.ErrStorage) && !errors.Is(err, storer.ErrIO) {
			return err
		}
		log.Error("storage failed; restarting the node", "error", err, "after", storageRetryDelay.String())
		timer := time.NewTimer(storageRetryDelay)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}
