package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// backend is the application backend of a sidecar machine.
type backend struct {
	rec      *record
	machine  *machine
	id       string
	born     int64
	listener net.Listener
	server   *http.Server
	work     time.Duration

	mu       sync.Mutex
	sequence uint64
	runs     []run
}

// run is one run of a request.
type run struct {
	id   string
	at   time.Duration // since the start of the case
	late bool
}

func newBackend(rec *record, v *machine, id string) (*backend, error) {
	l, err := net.Listen("tcp", v.addr(appPort))
	if err != nil {
		return nil, err
	}
	b := &backend{rec: rec, machine: v, id: id, born: time.Now().UnixMilli(), listener: l, work: 20 * time.Millisecond}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(l) }()
	rec.add("backend %s of %s starts on %s", id, v.service, v.name)
	return b, nil
}

// ServeHTTP runs one request.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", attempt)
	if target := r.Header.Get("Target-Instance"); target != "" && target != b.id {
		w.Header().Set("Instance-Id", b.id)
		b.rec.add("backend %s: %s is for %s: 421", b.id, attempt, target)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	at := b.rec.add("backend %s runs %s", b.id, attempt)
	b.mu.Lock()
	b.runs = append(b.runs, run{id: attempt, at: at})
	b.mu.Unlock()
	time.Sleep(b.work)
	w.Header().Set("Response-Signature", "signed."+b.id+"."+attempt)
	fmt.Fprintf(w, "answer of %s to %s\n", b.id, attempt)
}

// runsAfter returns the runs that began later than t.
func (b *backend) runsAfter(t time.Duration) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var after []run
	for _, r := range b.runs {
		if r.at > t {
			after = append(after, r)
		}
	}
	return after
}

// ping returns a ping with the next sequence number.
func (b *backend) ping(state string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return map[string]any{
		"Address": b.machine.addr(appPort),
		"Info":    map[string]any{"Service": b.machine.service, "Version": "v1", "Zone": "zone-a", "Slots": 18},
		"Status":  map[string]any{"State": state, "Sequence": b.sequence, "WarmupLeftS": 0},
		"born":    b.born,
	}
}

// send sends a ping to the daemon of the machine and reports whether it was acknowledged.
func (b *backend) send(who string, ping map[string]any) (acked time.Duration, ok bool) {
	data, _ := json.Marshal(ping)
	status, body := post("http://"+b.machine.addr(controlPort)+"/api/Instances.Heartbeat/"+b.id, data)
	acked = b.rec.add("%s: ping %s: %d %.100q", who, data, status, body)
	return acked, status/100 == 2
}

// heartbeats sends pings with the state that the function returns until ctx ends. It skips those with an empty state.
func (b *backend) heartbeats(ctx context.Context, state func() string) {
	ticker := time.NewTicker(heartbeatTime)
	defer ticker.Stop()
	for ctx.Err() == nil {
		if s := state(); s != "" {
			b.send("backend "+b.id, b.ping(s))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// deregister takes leave for good until that is acknowledged, and returns the time of the acknowledgement.
func (b *backend) deregister(ctx context.Context) (acked time.Duration, err error) {
	data, _ := json.Marshal(map[string]any{"born": b.born})
	err = eventually(ctx, 5*time.Second, "the deregistration is acknowledged", func() bool {
		status, body := post("http://"+b.machine.addr(controlPort)+"/api/Instances.Deregister/"+b.id, data)
		acked = b.rec.add("backend %s: Deregister %s: %d %.100q", b.id, data, status, body)
		return status/100 == 2
	})
	return acked, err
}

func (b *backend) close() {
	if err := b.server.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		b.rec.add("backend %s: close: %v", b.id, err)
	}
}
