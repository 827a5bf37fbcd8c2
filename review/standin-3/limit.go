package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// limitCase raises MaxHeaderBytes to the largest whole number of 64 bits, which stands for no limit. Without the disruption it is raised
// to 1 MiB.
func limitCase(m *mesh, trouble bool) ([]string, error) {
	sidecars := []string{"d1", "d2", "d3"}
	if err := m.startSmall(sidecars, "huvo11a"); err != nil {
		return nil, err
	}
	for _, name := range sidecars {
		s, err := m.newServer(name, "huvo11a", func(*http.Request) time.Duration { return 5 * time.Millisecond })
		if err != nil {
			return nil, err
		}
		defer s.stop()
	}
	if _, err := m.replace("r0", keyConfig("r3", ""), 20*time.Second); err != nil {
		return nil, err
	}
	if err := m.awaitServing(sidecars, keyHost, keyPath); err != nil {
		return nil, err
	}
	limit := "9223372036854775807"
	if !trouble {
		limit = "1048576"
	}
	raised := strings.Replace(keyConfig("r5", ""), `"MaxHeaderBytes":16384`, `"MaxHeaderBytes":`+limit, 1)
	acked, err := m.replace("r3", raised, 10*time.Second)
	if err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	var violations []string
	for i := range 60 {
		name := sidecars[i%3]
		id := fmt.Sprintf("%s-%04d", name, i)
		at := time.Now()
		status, text, _ := m.attempt(name, keyHost, keyPath, id, "", 1500*time.Millisecond)
		m.rec.add("client on %s: request %s sent %.3f s after the ack of r5, answer %d %.60q", name, id, at.Sub(acked).Seconds(), status, text)
		if status >= 300 && status < 500 && status != 408 && status != 421 && status != 429 {
			violations = append(violations, fmt.Sprintf("DENIED: request %s, with a header of about 150 bytes, got %d", id, status))
		}
	}
	if len(violations) <= 5 {
		return nil, nil // the rule allows 5 and one in 500
	}
	return violations, nil
}
