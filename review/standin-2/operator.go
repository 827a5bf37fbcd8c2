package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// client sends the calls of the operator and the backends, each on a new connection.
var client = &http.Client{
	Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true},
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// post sends a JSON body and returns the status and the body of the answer, or status 0 if there is none.
func post(url string, body []byte, headers ...string) (int, string) {
	r, err := http.NewRequest(http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	resp, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// route is one route of a configuration.
type route struct {
	name, host, prefix, kind string
	timeout                  float64
	service                  string
	attempts                 int
}

// configuration returns the body of Config.Replace.
func configuration(version string, services []string, routes []route) []byte {
	type table struct {
		Columns []string
		Rows    [][]any
	}
	r := table{Columns: []string{"Name", "Host", "PathPrefix", "RouteType", "TimeoutS", "TargetLatencyS", "Priority", "Service", "Attempts", "WeightedClusters"}}
	for _, x := range routes {
		r.Rows = append(r.Rows, []any{x.name, x.host, x.prefix, x.kind, x.timeout, x.timeout / 2, 1, x.service, x.attempts, nil})
	}
	s := table{Columns: []string{"Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls"}}
	for _, name := range services {
		s.Rows = append(s.Rows, []any{name, "/health", 110, "h1", false})
	}
	data, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": r, "Services": s,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
	return data
}

// replace sends a configuration until it is acknowledged, and returns the time of the acknowledgement.
func (m *mesh) replace(ctx context.Context, base string, text []byte) (acked time.Duration, err error) {
	i := 0
	err = eventually(ctx, 20*time.Second, "the configuration is acknowledged", func() bool {
		v := m.core[i%len(m.core)]
		i++
		status, body := post("http://"+v.addr(controlPort)+"/api/Config.Replace", text, "Base-Version", base)
		acked = m.rec.add("operator: Config.Replace on %s at %s: %d %.80q", base, v.name, status, body)
		return status == http.StatusOK
	})
	return acked, err
}

// ready reports whether a daemon says that it is ready.
func ready(v *machine) bool {
	resp, err := client.Get(fmt.Sprintf("http://%s/api/ready", v.addr(readyPort)))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}
