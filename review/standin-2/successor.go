package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

const (
	recoveryTime = 4 * time.Second  // RecoveryS
	graceTime    = 6 * time.Second  // GraceS
	recoverTime  = 15 * time.Second // RecoverS
)

// readConfig reads the configuration at a core machine.
func (m *mesh) readConfig(v *machine) (int, []byte) {
	resp, err := client.Get(fmt.Sprintf("http://%s/api/Config.Get", v.addr(controlPort)))
	if err != nil {
		m.rec.add("operator: Config.Get at %s: %v", v.name, err)
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	m.rec.add("operator: Config.Get at %s: %d %.60q", v.name, resp.StatusCode, body)
	return resp.StatusCode, body
}

// terminate stops a machine as planned: SIGTERM, and SIGKILL after GraceS.
func (m *mesh) terminate(v *machine) {
	_ = v.cmd.Process.Signal(syscall.SIGTERM)
	m.rec.add("SIGTERM to %s", v.name)
	select {
	case <-v.exited:
	case <-time.After(graceTime):
		m.kill(v)
	}
	m.rec.say("%s has ended for good", v.name)
}

// diskLostAfterReplacement: a core machine is replaced as planned, its successor first. Long after the successor has started, but
// right after the replaced machine has ended, another core machine loses its disk.
func diskLostAfterReplacement(ctx context.Context, rec *record, trouble bool) (bool, error) {
	d, err := startDesk(ctx, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	old, second, third := d.core[0], d.core[1], d.core[2]
	last := configuration("r4", []string{deskService}, append([]route{{"r-new", deskHost, "/new/", "idempotent", 2, deskService, 2}}, deskRoutes...))
	acked, err := d.replace(ctx, "r1", last)
	if err != nil {
		return false, err
	}
	rec.say("r4 was acknowledged at %.3f s", acked.Seconds())
	successor := d.spare
	if err := d.start(successor, false); err != nil {
		return false, err
	}
	started := rec.now()
	if err := sleep(ctx, recoveryTime+2*time.Second); err != nil {
		return false, err
	}
	if status, _ := d.readConfig(successor); status != http.StatusOK {
		return false, fmt.Errorf("the successor does not read the configuration: %d", status)
	}
	d.terminate(old)
	if err := sleep(ctx, time.Second); err != nil {
		return false, err
	}
	if trouble {
		d.kill(second)
		if err := os.RemoveAll(filepath.Join(d.folder, "data-"+second.name)); err != nil {
			return false, err
		}
		rec.say("%s loses its disk %.1f s after the successor of %s has started", second.name, (rec.now() - started).Seconds(), old.name)
		if err := sleep(ctx, 500*time.Millisecond); err != nil {
			return false, err
		}
		if err := d.start(second, false); err != nil {
			return false, err
		}
	}
	back := rec.now()
	if err := sleep(ctx, recoverTime); err != nil {
		return false, err
	}
	// The operator reads repeatedly, far longer than StableS.
	for rec.now() < back+recoverTime+20*time.Second {
		for _, v := range []*machine{second, third, successor} {
			if status, body := d.readConfig(v); status == http.StatusOK {
				if string(body) != string(last) {
					rec.say("%s returns another configuration than r4", v.name)
					return true, nil
				}
				rec.say("%s returns r4 %.1f s after the last start", v.name, (rec.now() - back).Seconds())
				return false, nil
			}
		}
		if err := sleep(ctx, 500*time.Millisecond); err != nil {
			return false, err
		}
	}
	status, body := post("http://"+third.addr(controlPort)+"/api/Config.Replace",
		configuration("r6", []string{deskService}, deskRoutes), "Base-Version", "r4")
	rec.say("no core machine has returned r4 in the %.0f s since the last start; a change is answered %d %.80q", (rec.now() - back).Seconds(), status, body)
	return true, nil
}
