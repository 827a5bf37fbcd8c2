package compiler

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"bluebellhoist/core/wire"
)

// textRoute is a route in the configuration text.
type textRoute struct {
	Host     string         `json:"host"`
	Prefix   string         `json:"prefix"`
	Parts    map[string]int `json:"parts"` // weights by service
	Repeat   bool           `json:"repeat"`
	Timeout  string         `json:"timeout"`
	Target   string         `json:"target"`
	Rank     int            `json:"rank"`
	Attempts int            `json:"attempts"` // 1 if omitted
	Public   bool           `json:"public"`   // calls need no key
}

// textBounds holds the limits on requests from callers of the routes.
type textBounds struct {
	Header int    `json:"header"`
	Body   int    `json:"body"`
	Wait   string `json:"wait"`
	Idle   string `json:"idle"`
}

func parseRoutes(batch string, routeTexts map[string]textRoute) ([]wire.Route, error) {
	var routes []wire.Route
	for _, name := range slices.Sorted(maps.Keys(routeTexts)) {
		route, err := routeTexts[name].parse(name)
		if err != nil {
			return nil, fmt.Errorf("%w: batch %q: route %q: %v", ErrInvalid, batch, name, err)
		}
		routes = append(routes, route)
	}
	return routes, nil
}

func (t textRoute) parse(name string) (wire.Route, error) {
	route := wire.Route{
		Name: name, Host: t.Host, Prefix: t.Prefix, Retryable: t.Repeat, Rank: t.Rank, Attempts: max(t.Attempts, 1), Public: t.Public,
	}
	for _, service := range slices.Sorted(maps.Keys(t.Parts)) {
		route.Parts = append(route.Parts, wire.Part{Service: service, Weight: t.Parts[service]})
	}
	var err error
	if route.Timeout, err = parseDuration("timeout", t.Timeout); err != nil {
		return route, err
	}
	route.Target, err = parseDuration("target", t.Target)
	return route, err
}

func (t *textBounds) parse(batch string) (*wire.Bounds, error) {
	if t == nil {
		return nil, nil
	}
	wait, err := parseDuration("wait", t.Wait)
	if err != nil {
		return nil, fmt.Errorf("%w: batch %q: bounds: %v", ErrInvalid, batch, err)
	}
	idle, err := parseDuration("idle", t.Idle)
	if err != nil {
		return nil, fmt.Errorf("%w: batch %q: bounds: %v", ErrInvalid, batch, err)
	}
	if t.Header <= 0 || t.Body < 0 || wait <= 0 || idle <= 0 {
		return nil, fmt.Errorf("%w: batch %q: bounds: header, wait and idle must be positive and body must not be negative", ErrInvalid, batch)
	}
	return &wire.Bounds{Header: t.Header, Body: t.Body, Wait: wait, Idle: idle}, nil
}

// parseDuration parses a duration. An empty text yields 0.
func parseDuration(field, text string) (time.Duration, error) {
	if text == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return 0, fmt.Errorf("%s: %v", field, err)
	}
	return d, nil
}
