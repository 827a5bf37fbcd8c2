package main

import (
	"encoding/json"
	"fmt"
)

// route is one route of a configuration.
type route struct {
	name, prefix, kind, service string
	timeoutS                    float64
	attempts                    int
}

// config is a configuration as the operator sends it. All routes have the same host.
type config struct {
	version  int
	services []string
	routes   []route
	maxBody  int64
}

// host is the host of all routes.
const host = "ficu95.example"

// encode returns the JSON text of the configuration.
func (c config) encode() []byte {
	type table struct {
		Columns []string
		Rows    [][]any
	}
	routes := table{Columns: []string{"Name", "Host", "PathPrefix", "RouteType", "TimeoutS", "TargetLatencyS", "Priority", "Service", "Attempts", "WeightedClusters"}}
	for _, r := range c.routes {
		routes.Rows = append(routes.Rows, []any{r.name, host, r.prefix, r.kind, r.timeoutS, r.timeoutS / 2, 1, r.service, r.attempts, nil})
	}
	services := table{Columns: []string{"Name", "HealthCheckPath", "MaxConnections", "Protocol", "Tls"}}
	for _, s := range c.services {
		services.Rows = append(services.Rows, []any{s, "/health", 130, "h1", false})
	}
	text, err := json.Marshal(map[string]any{
		"Version": fmt.Sprintf("r%d", c.version), "Routes": routes, "Services": services,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": c.maxBody, "HeaderTimeoutS": 3, "IdleTimeoutS": 15},
	})
	if err != nil {
		panic(err)
	}
	return text
}
