package main

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one run of a request at a backend.
type run struct {
	backend, id, method, target, digest string
	size                                int64
	began                               time.Time
	ended                               time.Time // zero while it runs
	broken                              bool      // the connection ended before the run did
}

// backend is the application backend of a sidecar machine.
type backend struct {
	mesh    *mesh
	machine *machine
	id      string
	slots   int
	born    int64
	handle  backendHandler // does the work of a request; nil for none

	mu     sync.Mutex
	runs   []*run
	seq    int
	quiet  bool // sends no more heartbeats
	server *http.Server
}

// newBackend starts a backend on a machine. It sends heartbeats until ctx ends.
func newBackend(ctx context.Context, m *mesh, x *machine, id string, handle backendHandler) (*backend, error) {
	b := &backend{mesh: m, machine: x, id: id, slots: 18, born: time.Now().UnixMilli(), handle: handle}
	listener, err := net.Listen("tcp", m.addr(x, "app"))
	if err != nil {
		return nil, err
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	go b.beat(ctx)
	return b, nil
}

func (b *backend) beat(ctx context.Context) {
	for ctx.Err() == nil {
		b.mu.Lock()
		quiet := b.quiet
		b.mu.Unlock()
		if quiet {
			return
		}
		b.postBeat(ctx, b.mesh.addr(b.machine, "control"), b.nextSequence())
		select {
		case <-time.After(heartbeatInterval):
		case <-ctx.Done():
		}
	}
}

// postBeat sends a heartbeat that says that the backend is ready.
func (b *backend) postBeat(ctx context.Context, addr string, seq int) {
	text := fmt.Sprintf(`{"Address":%q,"Info":{"Service":%q,"Version":"v1","Zone":"z1","Slots":%d},"Status":{"State":"ready","Sequence":%d,"WarmupLeftS":0},"born":%d}`,
		b.mesh.addr(b.machine, "app"), b.machine.service, b.slots, seq, b.born)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/api/Instances.Heartbeat/"+b.id, strings.NewReader(text))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := http.DefaultClient.Do(req); err == nil {
		resp.Body.Close()
	}
}

// ServeHTTP runs a request, or rejects it as the pages say.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", b.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	switch target := r.Header.Get("Target-Instance"); {
	case target != "" && target != b.id:
		w.Header().Set("Instance-Id", b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	digest := sha256.New()
	size, err := io.Copy(digest, r.Body)
	if err != nil {
		return // the request did not arrive in full and does not run
	}
	x := &run{backend: b.id, id: id, method: r.Method, target: r.RequestURI, digest: hex.EncodeToString(digest.Sum(nil)[:8]), size: size, began: time.Now()}
	b.mu.Lock()
	b.runs = append(b.runs, x)
	b.mu.Unlock()
	b.mesh.rec.printf("backend %s: runs %s, %s %s, body of %d bytes, digest %s", b.id, id, r.Method, r.RequestURI, size, x.digest)
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Response-Signature", "sig."+id)
	if b.handle != nil {
		b.handle(r.Context(), id)
	}
	_, _ = io.WriteString(w, "ok "+id+"\n")
	b.mu.Lock()
	x.ended, x.broken = time.Now(), r.Context().Err() != nil
	b.mu.Unlock()
	if x.broken {
		b.mesh.rec.printf("backend %s: the connection of %s ended while it ran", b.id, id)
	}
}

// runsOf returns the runs of a request.
func (b *backend) runsOf(id string) []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []run
	for _, x := range b.runs {
		if x.id == id {
			found = append(found, *x)
		}
	}
	return found
}
