package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is a request that a server has begun to work on.
type arrival struct {
	at     time.Time
	server string
	id     string
	header http.Header
}

// server is an application server on a sidecar machine.
type server struct {
	mesh    *mesh
	machine string
	id      string
	born    int64
	service string
	work    func(*http.Request) time.Duration
	seq     atomic.Int64
	cancel  context.CancelFunc
	http    *http.Server

	mu   sync.Mutex
	runs []arrival
}

func (m *mesh) newServer(machine, service string, work func(*http.Request) time.Duration) (*server, error) {
	s := &server{mesh: m, machine: machine, service: service, work: work, born: time.Now().UnixMilli()}
	s.id = fmt.Sprintf("i-%s-%x", machine, s.born&0xffffff)
	l, err := net.Listen("tcp", m.addr(machine, portApp))
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(l) }()
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.beat(ctx)
	return s, nil
}

// ServeHTTP runs a request, unless it is for another server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.runs = append(s.runs, arrival{time.Now(), s.machine, id, r.Header.Clone()})
	s.mu.Unlock()
	s.mesh.rec.add("server on %s runs %s %s id %s Tenant-Id %q Authorization %q", s.machine, r.Method, r.URL.Path, id,
		r.Header.Get("Tenant-Id"), r.Header.Get("Authorization"))
	select {
	case <-time.After(s.work(r)):
	case <-r.Context().Done():
		s.mesh.rec.add("server on %s drops id %s, its connection has closed", s.machine, id)
		return
	}
	w.Header().Set("Response-Signature", "sig-"+id)
	_, _ = io.WriteString(w, "body of "+id)
}

func (s *server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.report(ctx, "ready")
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// report sends one beat.
func (s *server) report(ctx context.Context, state string) {
	body := fmt.Sprintf(`{"Address":%q,"Info":{"Service":%q,"Version":"v1","Zone":%q,"Slots":18},"Status":{"State":%q,"Sequence":%d,"WarmupLeftS":0},"born":%d}`,
		s.mesh.addr(s.machine, portApp), s.service, s.mesh.machines[s.machine].zone, state, s.seq.Add(1), s.born)
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	status, _ := post(ctx, "http://"+s.mesh.addr(s.machine, portControl)+"/api/Instances.Heartbeat/"+s.id, body, nil)
	if status != http.StatusOK {
		s.mesh.rec.add("beat of %s: %d", s.machine, status)
	}
}

func (s *server) stop() {
	s.cancel()
	_ = s.http.Close()
}

func (s *server) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.runs...)
}

var plain = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func post(ctx context.Context, url, body string, header http.Header) (int, string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	for name, values := range header {
		r.Header[name] = values
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := plain.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// replace sends a configuration as the operator does, to one machine of the core after the other, until it is acknowledged.
func (m *mesh) replace(base, text string, limit time.Duration) (time.Time, error) {
	status, answer := 0, ""
	for end, i := time.Now().Add(limit), 0; time.Now().Before(end); i++ {
		name := []string{"c1", "c2", "c3"}[i%3]
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		status, answer = post(ctx, "http://"+m.addr(name, portControl)+"/api/Config.Replace", text, http.Header{"Base-Version": {base}})
		cancel()
		m.rec.add("operator: Config.Replace on %s at %s: %d %s", base, name, status, answer)
		if status == http.StatusOK {
			return time.Now(), nil
		}
		if status >= 400 && status < 500 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("configuration not acknowledged: %d %s", status, answer)
}

// attempt sends one request on a new connection and returns the status, or 0 without an answer. A daemon has a second to read it, and
// the client waits for the answer as long as the deadline says.
func (m *mesh) attempt(machine, host, path, id, key string, deadline time.Duration) (int, string, http.Header) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.addr(machine, portOutbound)+path, nil)
	if err != nil {
		return 0, err.Error(), nil
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	resp, err := plain.Do(r)
	if err != nil {
		return 0, err.Error(), nil
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error(), nil
	}
	return resp.StatusCode, string(text), resp.Header
}
