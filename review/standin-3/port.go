package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	portHost = "ficu95.example"
	portPath = "/lohu930/2f"
)

// portCase adds two routes whose Host has a port. One has the name of an older route, which leads to another service, the other has
// a name of its own. Without the disruption the hosts have no port.
func portCase(m *mesh, trouble bool) ([]string, error) {
	sidecars := []string{"d1", "d2", "d3"}
	services := map[string]string{"d1": "huvo11a", "d2": "wuno96b", "d3": "huvo11a"}
	if err := m.startSmall(sidecars, "huvo11a", "wuno96b", "huvo11a"); err != nil {
		return nil, err
	}
	work := func(*http.Request) time.Duration { return 5 * time.Millisecond }
	servers := map[string]*server{}
	for _, name := range sidecars {
		s, err := m.newServer(name, services[name], work)
		if err != nil {
			return nil, err
		}
		defer s.stop()
		servers[name] = s
	}
	older, own := portHost+":8443", "zoro12.example:8443"
	if !trouble {
		older, own = "office."+portHost, "zoro12.example"
	}
	const r1 = `["r-1","` + portHost + `","/lohu930/","idempotent",2,0.6,2,"huvo11a",2,null]`
	config := func(version string, rows ...string) string {
		return fmt.Sprintf(`{"Version":%q,"Routes":{"Columns":["Name","Host","PathPrefix","RouteType","TimeoutS","TargetLatencyS","Priority","Service","Attempts","WeightedClusters"],`+
			`"Rows":[%s]},"Services":{"Columns":["Name","HealthCheckPath","MaxConnections","Protocol","Tls"],`+
			`"Rows":[["huvo11a","/health",130,"h1",false],["wuno96b","/health",130,"h1",false]]},`+
			`"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeoutS":3,"IdleTimeoutS":15}}`, version, strings.Join(rows, ","))
	}
	if _, err := m.replace("r0", config("r3", r1), 20*time.Second); err != nil {
		return nil, err
	}
	if err := m.awaitServing(sidecars, portHost, portPath); err != nil {
		return nil, err
	}
	added := fmt.Sprintf(`["r-2",%q,"/lohu930/","idempotent",2,0.6,2,"wuno96b",2,null],["r-3",%q,"/lohu930/","idempotent",2,0.6,2,"wuno96b",2,null]`, older, own)
	acked, err := m.replace("r3", config("r5", r1, added), 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second) // ConfigApplyS is 2
	var violations []string
	hosts := map[string]string{}
	for i := range 60 {
		name, host := sidecars[i%3], older
		if i%2 == 1 {
			host = own
		}
		id := fmt.Sprintf("%s-%04d", name, i)
		hosts[id] = host
		at := time.Now()
		status, _, _ := m.attempt(name, host, portPath, id, "", 1500*time.Millisecond)
		m.rec.add("client on %s: request %s for %s sent %.3f s after the ack of r5, answer %d", name, id, host, at.Sub(acked).Seconds(), status)
		if status == http.StatusNotFound {
			violations = append(violations, fmt.Sprintf("CONFIG, DENIED: request %s for %s got 404 though the route of r5 is there", id, host))
		}
	}
	for _, name := range sidecars {
		for _, a := range servers[name].arrivals() {
			if host, ok := hosts[a.id]; ok && services[name] != "wuno96b" {
				violations = append(violations, fmt.Sprintf("ROUTE, CONFIG: request %s for %s ran at a server of %s, its route leads to wuno96b", a.id, host, services[name]))
			}
		}
	}
	return violations, nil
}
