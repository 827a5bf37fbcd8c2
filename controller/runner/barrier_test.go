package runner

import (
	"context"
	"errors"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"

	"bluebellhoist/controller/storer"
)

// TestBarrierOfNewNode guards against daemons that wait for the barrier of a node which has lost its disk and belongs to no
// cluster yet.
func TestBarrierOfNewNode(t *testing.T) {
	is := is.New(t)
	s := Settings{Name: "c0", Domain: "f0", Listen: address(0), Data: filepath.Join(t.TempDir(), "c0"), Voter: true}
	store, err := storer.Open(s.Data, s.Name)
	is.NoErr(err)
	r := newRunner(s, store, hclog.NewNullLogger())
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- r.replicator.Run(ctx) }()
	waiting, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	is.True(errors.Is(r.barrier(waiting), ErrUnavailable))
	is.NoErr(waiting.Err()) // the barrier failed without waiting
	cancel()
	<-done
	is.NoErr(store.Close())
}
