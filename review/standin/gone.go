package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["gone"] = gone }

const (
	depth             = 20 // requests that a requester sends before the first is answered
	stayingRequesters = 4
	workTime          = 3 * time.Second
	stayTime          = 500 * time.Millisecond // until the requester leaves
	goneSlack         = 500 * time.Millisecond
)

// gone lets requesters send idempotent requests behind each other on one connection. The disruption is that they leave
// before their time budget.
func gone(rec *record, trouble bool) int {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	work := func(ctx context.Context, id string) {
		if strings.HasPrefix(id, "warm") {
			return
		}
		select {
		case <-time.After(workTime):
		case <-ctx.Done():
		}
	}
	cfg := config{version: 1, services: []string{counter, ledger}, maxBody: oldLimit, routes: []route{
		{name: "r-read", prefix: "/read/", kind: "idempotent", service: ledger, timeoutS: 10, attempts: 2},
	}}
	in, err := startInstallation(ctx, rec, cfg, "/read/x", work, counter, ledger, ledger)
	if err != nil {
		return rec.failed(err)
	}
	defer in.stopAll()
	// Four other requesters stay, so that one in five leaves.
	var others sync.WaitGroup
	defer others.Wait()
	for i := range stayingRequesters {
		others.Go(func() {
			q := request{id: fmt.Sprintf("stays-%d", i), method: http.MethodGet, path: "/read/x", deadline: 10 * time.Second}
			rec.printf("requester: %s gets %s", q.id, do(in.addr(in.sidecars[0], "outbound"), q))
		})
	}
	conn, err := net.DialTimeout("tcp", in.addr(in.sidecars[0], "outbound"), time.Second)
	if err != nil {
		return rec.failed(err)
	}
	defer conn.Close()
	var ids []string
	for i := range depth {
		q := request{id: fmt.Sprintf("p-%d", i), method: http.MethodGet, path: "/read/x", deadline: 10 * time.Second}
		ids = append(ids, q.id)
		if err := q.send(conn); err != nil {
			return rec.failed(err)
		}
	}
	rec.printf("requester: has sent %d idempotent requests on one connection", depth)
	if !trouble {
		r := bufio.NewReader(conn)
		_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
		for _, id := range ids {
			if a := receive(r, http.MethodGet); a.err != nil || a.status != http.StatusOK {
				rec.printf("requester: %s gets %s", id, a)
				return failed
			}
		}
		rec.printf("requester: all are answered")
		return held
	}
	time.Sleep(stayTime)
	_ = conn.Close()
	left := time.Now()
	rec.printf("requester: has left")
	time.Sleep(workTime + 2*time.Second)
	return judgeGone(rec, in, ids, left)
}

// judgeGone counts the idempotent requests that would have lasted until half a second after the requester left, and
// those of them at which a backend was still at work then.
func judgeGone(rec *record, in *installation, ids []string, left time.Time) int {
	would, still, late := 0, 0, 0
	for _, id := range ids {
		for _, r := range in.runsOf(id) {
			if r.began.After(left.Add(goneSlack)) {
				late++
				continue
			}
			if r.began.Add(workTime).Before(left.Add(goneSlack)) {
				continue
			}
			would++
			if r.ended.IsZero() || r.ended.After(left.Add(goneSlack)) {
				still++
			}
		}
	}
	rec.printf("%d runs would have lasted until 0.5 s after the requester left; backends were still at work on %d of them; %d requests reached a backend later than that", would, still, late)
	if 4*still > would {
		rec.printf("GONE: backends were still at work on more than a quarter")
		return broken
	}
	return held
}
