package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	keyHost    = "ficu95.example"
	keyPath    = "/lohu930/2f"
	keyRevoked = "kd83hf02ks" // of school-7, in r5 only
	keyValid   = "pw61mmc0te" // of school-8, in r5 and r7
	revokeTime = 5 * time.Second
	freezeTime = 7100 * time.Millisecond // the site file dg-bookback.toml has 7.2 s
	changeTime = 1700 * time.Millisecond // after the start of the freeze; by then the controllers have given up the daemon's sessions
)

func keyConfig(version, tenants string) string {
	return fmt.Sprintf(`{"Version":%q,"Routes":{"Columns":["Name","Host","PathPrefix","RouteType","TimeoutS","TargetLatencyS","Priority","Service","Attempts","WeightedClusters"],`+
		`"Rows":[["r-1",%q,"/lohu930/","idempotent",2,0.6,2,"huvo11a",2,null]]},"Services":{"Columns":["Name","HealthCheckPath","MaxConnections","Protocol","Tls"],`+
		`"Rows":[["huvo11a","/health",130,"h1",false]]},%s"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`,
		version, keyHost, tenants)
}

func keyTenants(school7 string) string {
	return fmt.Sprintf(`"Tenants":{"Columns":["Name","ApiKeys"],"Rows":[["school-7",[%s]],["school-8",[%q]]]},`, school7, keyValid)
}

// keyCase freezes one of three sidecar machines. Meanwhile the operator introduces tenants with their keys (r5) and takes one key
// away again (r7). Clients of the machine send requests with both keys.
func keyCase(m *mesh, trouble bool) ([]string, error) {
	m.extra = "Timeouts.Bounds.RevokeFailClosed=true\nTimeouts.Bounds.RevokeS=5"
	sidecars := []string{"d1", "d2", "d3"}
	if err := m.startSmall(sidecars, "huvo11a"); err != nil {
		return nil, err
	}
	work := func(*http.Request) time.Duration { return 20 * time.Millisecond }
	var servers []*server
	for _, name := range sidecars {
		s, err := m.newServer(name, "huvo11a", work)
		if err != nil {
			return nil, err
		}
		defer s.stop()
		servers = append(servers, s)
	}
	if _, err := m.replace("r0", keyConfig("r3", ""), 20*time.Second); err != nil {
		return nil, err
	}
	if err := m.awaitServing(sidecars, keyHost, keyPath); err != nil {
		return nil, err
	}
	frozen := time.Now()
	if trouble {
		m.signal("d1", syscall.SIGSTOP)
	}
	time.Sleep(changeTime)
	if _, err := m.replace("r3", keyConfig("r5", keyTenants(fmt.Sprintf("%q", keyRevoked))), time.Second); err != nil {
		return nil, err
	}
	taken, err := m.replace("r5", keyConfig("r7", keyTenants("")), time.Second)
	if err != nil {
		return nil, err
	}
	// Clients send to all machines. In a zone with a single daemon they go on although it is not ready.
	sentAt := map[string]time.Time{}
	var wait sync.WaitGroup
	sent, tick, thawed := 0, 0, false
	for time.Since(frozen) < freezeTime+time.Second {
		if trouble && !thawed && time.Since(frozen) >= freezeTime {
			m.signal("d1", syscall.SIGCONT)
			thawed = true
		}
		for i, name := range sidecars {
			key, kind := keyRevoked, "revoked"
			if tick%5 == 4 {
				key, kind = keyValid, "valid"
			}
			if rare := i > 0 || time.Since(taken) < revokeTime; rare && tick%10 != 0 {
				continue // most of the requests are for the first machine, at the end
			}
			id := fmt.Sprintf("%s-%s-%04d", kind, name, sent)
			at := time.Now()
			sentAt[id] = at
			wait.Go(func() {
				status, _, _ := m.attempt(name, keyHost, keyPath, id, key, time.Second)
				m.rec.add("client on %s: request %s sent %.3f s after the ack of r7, answer %d", name, id, at.Sub(taken).Seconds(), status)
			})
			sent++
		}
		time.Sleep(10 * time.Millisecond)
		tick++
	}
	wait.Wait()
	var violations []string
	for _, s := range servers {
		for _, a := range s.arrivals() {
			at, ok := sentAt[a.id]
			if !ok {
				continue
			}
			key := a.header.Get("Authorization")
			if late := at.Sub(taken); a.id[0] == 'r' && late > revokeTime {
				violations = append(violations, fmt.Sprintf("CONFIG: the server on %s ran %s, sent %.3f s after the ack of the configuration that took its key away (RevokeS 5)",
					s.machine, a.id, late.Seconds()))
			}
			if key != "" {
				m.rec.add("also UNASKED: %s was passed on to the server on %s with Authorization %q", a.id, s.machine, key)
			}
		}
	}
	return violations, nil
}
