package main

import (
	"context"
	"time"
)

// Services of the small installation, with one machine each.
const (
	counter = "counter-desk"
	ledger  = "book-ledger"
)

// settleTime is longer than StableS, so that all machines are in touch.
const settleTime = 4 * time.Second

// backendHandler answers the requests that a backend runs.
type backendHandler func(ctx context.Context, id string)

// installation is a running mesh with its backends.
type installation struct {
	*mesh
	backends []*backend
}

// startInstallation starts a mesh with the given configuration, one machine and one backend for each service in
// services, and waits until requests to warmPath succeed through all daemons.
func startInstallation(ctx context.Context, rec *record, cfg config, warmPath string, handle backendHandler, services ...string) (*installation, error) {
	m, err := newMesh(rec, services...)
	if err != nil {
		return nil, err
	}
	in := &installation{mesh: m}
	if err := in.run(ctx, cfg, warmPath, handle); err != nil {
		m.stopAll()
		return nil, err
	}
	return in, nil
}

func (in *installation) run(ctx context.Context, cfg config, warmPath string, handle backendHandler) error {
	if err := in.startAll(cfg); err != nil {
		return err
	}
	for _, x := range in.sidecars {
		b, err := newBackend(ctx, in.mesh, x, "i-"+x.name, handle)
		if err != nil {
			return err
		}
		in.backends = append(in.backends, b)
	}
	for _, x := range in.sidecars {
		if err := serves(in.mesh, x, warmPath, 20*time.Second); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// runsOf returns the runs of a request at all backends.
func (in *installation) runsOf(id string) []run {
	var all []run
	for _, b := range in.backends {
		all = append(all, b.runsOf(id)...)
	}
	return all
}
