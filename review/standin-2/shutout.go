package main

import (
	"context"
	"encoding/json"
	"fmt"
	"time"
)

// shutOut: all processes are killed and start again. At each daemon a ping of another writer, for a service that isn't in the
// configuration, arrives before the backend's next ping.
func shutOut(ctx context.Context, rec *record, trouble bool) (bool, error) {
	d, err := startDesk(ctx, rec)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return false, err
	}
	served, sent := d.requesters.share(rec.now()-stableTime, rec.now()-time.Second)
	rec.say("before the fault %d of %d requests were served", served, sent)
	if served*4 < sent {
		return false, fmt.Errorf("too few requests served before the fault")
	}
	// The backends' next pings come after the daemons are back, as they do when the fault strikes right after a ping.
	d.setPause(true)
	d.kill(d.machines()...)
	if err := sleep(ctx, 500*time.Millisecond); err != nil {
		return false, err
	}
	for _, v := range d.machines() {
		if err := d.start(v, false); err != nil {
			return false, err
		}
	}
	back := rec.now()
	for i, v := range d.sidecars {
		other := map[string]any{
			"Address": v.addr(lastPort - 1),
			"Info":    map[string]any{"Service": "not-here", "Version": "v1", "Zone": "zone-a", "Slots": 4},
			"Status":  map[string]any{"State": "ready", "Sequence": 1, "WarmupLeftS": 0},
			"born":    time.Now().UnixMilli(),
		}
		data, _ := json.Marshal(other)
		err := eventually(ctx, 5*time.Second, "the daemon takes calls at its control address", func() bool {
			if !trouble {
				status, _ := post("http://"+v.addr(controlPort)+"/", nil)
				return status != 0
			}
			status, body := post(fmt.Sprintf("http://%s/api/Instances.Heartbeat/i-other-%d", v.addr(controlPort), i), data)
			rec.add("another writer at %s: ping %s: %d %.100q", v.name, data, status, body)
			return status != 0
		})
		if err != nil {
			return false, err
		}
	}
	d.setPause(false)
	rec.say("the backends ping again %.1f s after the processes are back", (rec.now() - back).Seconds())
	if err := sleep(ctx, recoverTime+12*time.Second); err != nil {
		return false, err
	}
	served, sent = d.requesters.share(back+recoverTime, rec.now()-2*time.Second)
	rec.say("later than RecoverS after the processes were back %d of %d requests were served", served, sent)
	if sent < 100 {
		return false, fmt.Errorf("too few requests")
	}
	return served*4 < sent, nil
}
