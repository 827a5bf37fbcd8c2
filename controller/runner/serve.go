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

// storageRetry is the time after which a node whose disk takes no writes starts again within its process.
const storageRetry = time.Second

// Serve runs nodes that start returns, until one ends for another reason than its storage or the process is told to stop.
// A disk that is full for a while needs no restart of the process: a node that starts again takes nothing for durable
// that it could not write.
func Serve(ctx context.Context, log hclog.Logger, start func() (run func(context.Context) error, err error)) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return retry(ctx, log, start)
}

func retry(ctx context.Context, log hclog.Logger, start func() (run func(context.Context) error, err error)) error {
	for {
		run, err := start()
		if err == nil {
			err = run(ctx)
		}
		if !errors.Is(err, replicator.ErrStorage) && !errors.Is(err, storer.ErrIO) {
			return err
		}
		log.Error("storage failed, the node starts again", "error", err, "after", storageRetry.String())
		timer := time.NewTimer(storageRetry)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return nil
		}
	}
}
