package main

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	deskService = "desk"
	deskHost    = "desk.example"
	deskPath    = "/look/1"
)

var deskRoutes = []route{{"r-look", deskHost, "/look/", "idempotent", 2, deskService, 2}}

// deskMesh is a mesh of two sidecar machines, each with a backend of the same service and with requesters.
type deskMesh struct {
	*mesh
	backends   []*backend
	requesters *requesters
	cancel     context.CancelFunc
	group      sync.WaitGroup
	mu         sync.Mutex
	state      string // what the first backend reports; empty for nothing
	paused     bool   // no backend reports
}

// startDesk starts the mesh, its configuration, backends and requesters, and returns when both machines are in touch and serve.
func startDesk(ctx context.Context, rec *record) (*deskMesh, error) {
	m, err := newMesh(rec, deskService, deskService)
	if err != nil {
		return nil, err
	}
	d := &deskMesh{mesh: m, requesters: newRequesters(rec), state: "ready"}
	ctx, d.cancel = context.WithCancel(ctx)
	if err := m.startAll(); err != nil {
		return d, err
	}
	for i, v := range m.sidecars {
		b, err := newBackend(rec, v, []string{"i-leaving", "i-staying"}[i])
		if err != nil {
			return d, err
		}
		d.backends = append(d.backends, b)
		d.group.Go(func() { b.heartbeats(ctx, func() string { return d.stateOf(i) }) })
	}
	if _, err := m.replace(ctx, "r0", configuration("r1", []string{deskService}, deskRoutes)); err != nil {
		return d, err
	}
	err = eventually(ctx, 20*time.Second, "both backends serve", func() bool {
		d.requesters.get(m.sidecars[0], deskHost, deskPath, 2*time.Second)
		d.requesters.get(m.sidecars[1], deskHost, deskPath, 2*time.Second)
		return ready(m.sidecars[0]) && ready(m.sidecars[1]) && len(d.backends[0].runsAfter(0)) > 0 && len(d.backends[1].runsAfter(0)) > 0
	})
	if err != nil {
		return d, err
	}
	for _, v := range m.sidecars {
		d.group.Go(func() { d.requesters.press(ctx, v, deskHost, deskPath, 50*time.Millisecond) })
	}
	return d, sleep(ctx, 2*stableTime)
}

func (d *deskMesh) stateOf(i int) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.paused:
		return ""
	case i == 0:
		return d.state
	}
	return "ready"
}

func (d *deskMesh) setState(state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = state
}

// setPause stops the pings of all backends, or lets them go on.
func (d *deskMesh) setPause(paused bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.paused = paused
}

func (d *deskMesh) stop() {
	d.cancel()
	d.group.Wait()
	for _, b := range d.backends {
		b.close()
	}
	d.end()
}

func sleep(ctx context.Context, t time.Duration) error {
	select {
	case <-time.After(t):
		return nil
	case <-ctx.Done():
		return errors.New("out of time")
	}
}

// judge reports whether requests reached the leaving backend later than the given time, which is at least DrainS after the
// acknowledgement of its leave.
func (d *deskMesh) judge(acked, from time.Duration) bool {
	late := d.backends[0].runsAfter(max(from, acked+drainTime))
	if len(late) == 0 {
		return false
	}
	d.rec.say("%d requests ran on %s between %.3f s and %.3f s; its leave was acknowledged at %.3f s and DrainS is %.0f s",
		len(late), d.backends[0].id, late[0].at.Seconds(), late[len(late)-1].at.Seconds(), acked.Seconds(), drainTime.Seconds())
	return true
}

// unnumberedPing: after a backend's leave was acknowledged, a ping of another writer arrives that names the backend as ready but
// lacks Sequence.
func unnumberedPing(ctx context.Context, rec *record, trouble bool) (bool, error) {
	d, err := startDesk(ctx, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	leaving := d.backends[0]
	var acked time.Duration
	err = eventually(ctx, 5*time.Second, "the leave is acknowledged", func() bool {
		d.setState("draining")
		var ok bool
		acked, ok = leaving.send("backend "+leaving.id, leaving.ping("draining"))
		return ok
	})
	if err != nil {
		return false, err
	}
	rec.say("the leave of %s was acknowledged at %.3f s", leaving.id, acked.Seconds())
	if err := sleep(ctx, drainTime+time.Second); err != nil {
		return false, err
	}
	if trouble {
		other := map[string]any{
			"Address": leaving.machine.addr(appPort),
			"Info":    map[string]any{"Service": deskService, "Version": "v1", "Zone": "zone-a", "Slots": 18},
			"Status":  map[string]any{"State": "ready", "WarmupLeftS": 0},
			"born":    leaving.born,
		}
		leaving.send("another writer, without Sequence", other)
	}
	if err := sleep(ctx, 4*time.Second); err != nil {
		return false, err
	}
	broken := d.judge(acked, 0)
	d.setState("")
	_, err = leaving.deregister(ctx)
	return broken, err
}

// allKilled: shortly after a backend's leave was acknowledged, all processes are killed and start again. A ping that the backend
// sent before its leave arrives after that.
func allKilled(ctx context.Context, rec *record, trouble bool) (bool, error) {
	d, err := startDesk(ctx, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	leaving := d.backends[0]
	d.setState("")
	delayed := leaving.ping("ready")
	rec.say("%s sends ping %v, which is held up", leaving.id, delayed["Status"])
	acked, err := leaving.deregister(ctx)
	if err != nil {
		return false, err
	}
	rec.say("the leave of %s was acknowledged at %.3f s", leaving.id, acked.Seconds())
	if err := sleep(ctx, 300*time.Millisecond); err != nil {
		return false, err
	}
	started := rec.now()
	if trouble {
		d.kill(d.machines()...)
		if err := sleep(ctx, 500*time.Millisecond); err != nil {
			return false, err
		}
		for _, v := range d.machines() {
			if err := d.start(v, false); err != nil {
				return false, err
			}
		}
		started = rec.now()
	}
	if err := sleep(ctx, 3*time.Second); err != nil {
		return false, err
	}
	leaving.send("backend "+leaving.id+", held up since before its leave", delayed)
	if err := sleep(ctx, 8*time.Second); err != nil {
		return false, err
	}
	// After a fault that took most of the core, machines are in touch twice StableS after the last start.
	return d.judge(acked, started+2*stableTime), nil
}
