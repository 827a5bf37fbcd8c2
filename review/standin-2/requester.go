package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// answer is what a requester got for one request.
type answer struct {
	id        string
	sent      time.Duration // since the start of the case
	status    int           // 0 without an answer
	signature string
}

// requesters send idempotent requests to the outbound address of a machine.
type requesters struct {
	rec    *record
	mu     sync.Mutex
	all    []answer
	client *http.Client
}

func newRequesters(rec *record) *requesters {
	return &requesters{rec: rec, client: &http.Client{
		Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	}}
}

// get sends one request and returns its answer.
func (q *requesters) get(v *machine, host, path string, budget time.Duration) answer {
	id := fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequest(http.MethodGet, "http://"+v.addr(outboundPort)+path, nil)
	if err != nil {
		return answer{id: id}
	}
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Deadline-Ms", fmt.Sprint(budget.Milliseconds()))
	a := answer{id: id, sent: q.rec.add("requester: %s to %s: GET %s%s", id, v.name, host, path)}
	resp, err := q.client.Do(r)
	if err != nil {
		q.rec.add("requester: %s: no answer: %v", id, err)
		return q.keep(a)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		q.rec.add("requester: %s: answer breaks off: %v", id, err)
		return q.keep(a)
	}
	a.status, a.signature = resp.StatusCode, resp.Header.Get("Response-Signature")
	q.rec.add("requester: %s: %d signature %q body %.60q", id, a.status, a.signature, body)
	return q.keep(a)
}

func (q *requesters) keep(a answer) answer {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.all = append(q.all, a)
	return a
}

// press sends requests to a machine at a steady pace until ctx ends.
func (q *requesters) press(ctx context.Context, v *machine, host, path string, gap time.Duration) {
	var group sync.WaitGroup
	defer group.Wait()
	ticker := time.NewTicker(gap)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			group.Go(func() { q.get(v, host, path, 2*time.Second) })
		case <-ctx.Done():
			return
		}
	}
}

// share returns how many of the requests sent between two times got a success, and how many there were.
func (q *requesters) share(from, to time.Duration) (served, sent int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, a := range q.all {
		if a.sent < from || a.sent >= to {
			continue
		}
		sent++
		if a.status/100 == 2 && a.signature != "" {
			served++
		}
	}
	return served, sent
}
