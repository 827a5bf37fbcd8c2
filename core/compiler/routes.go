package compiler

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"bluebellhoist/core/wire"
)

// MaxTimeout is the maximum timeout that a route may set for a call.
const MaxTimeout = 10 * time.Minute

// CheckRoutes validates the routes of a batch and returns the first error.
//
// Routes must be sorted by name, and each service that they send calls to must be one of services.
func CheckRoutes(batch string, routes []wire.Route, services []wire.Service) error {
	knownServices := make(map[string]bool, len(services))
	for _, s := range services {
		knownServices[s.Name] = true
	}
	routeByMatch := make(map[[2]string]string, len(routes))
	for i, r := range routes {
		if i > 0 && routes[i-1].Name >= r.Name {
			return fmt.Errorf("%w: batch %q: route %q is out of order or duplicated", ErrInvalid, batch, r.Name)
		}
		if err := checkRoute(r, knownServices); err != nil {
			return fmt.Errorf("%w: batch %q: route %q: %v", ErrInvalid, batch, r.Name, err)
		}
		match := [2]string{strings.ToLower(r.Host), r.Prefix}
		if other, ok := routeByMatch[match]; ok {
			return fmt.Errorf("%w: batch %q: routes %q and %q have the same host and prefix", ErrInvalid, batch, other, r.Name)
		}
		routeByMatch[match] = r.Name
	}
	return nil
}

// checkChangedRoutes validates the changed routes of a batch whose services have not changed, and returns the first error.
// It does not look for routes with the same host and prefix: the checksum shows that the routes are those of a batch in
// which CheckRoutes found none.
func checkChangedRoutes(batch wire.Batch, changed []wire.Route) error {
	knownServices := make(map[string]bool, len(batch.Services))
	for _, s := range batch.Services {
		knownServices[s.Name] = true
	}
	for _, r := range changed {
		if err := checkRoute(r, knownServices); err != nil {
			return fmt.Errorf("%w: batch %q: route %q: %v", ErrInvalid, batch.Name, r.Name, err)
		}
	}
	return nil
}

func checkRoute(r wire.Route, knownServices map[string]bool) error {
	switch {
	case r.Name == "":
		return fmt.Errorf("name is empty")
	case r.Host == "":
		return fmt.Errorf("host is empty")
	case !strings.HasPrefix(r.Prefix, "/"):
		return fmt.Errorf("prefix %q does not begin with a slash", r.Prefix)
	case r.Timeout < 0 || r.Timeout > MaxTimeout:
		return fmt.Errorf("timeout %v is not between 0 and %v", r.Timeout, MaxTimeout)
	case r.Target < 0:
		return fmt.Errorf("target %v is negative", r.Target)
	case r.Attempts < 1:
		return fmt.Errorf("attempts %d is below 1", r.Attempts)
	}
	return checkParts(r.Parts, knownServices)
}

func checkParts(parts []wire.Part, knownServices map[string]bool) error {
	weighted := false
	for _, p := range parts {
		if !knownServices[p.Service] {
			return fmt.Errorf("service %q is not in the batch", p.Service)
		}
		if p.Weight < 0 {
			return fmt.Errorf("weight %d of service %q is negative", p.Weight, p.Service)
		}
		weighted = weighted || p.Weight > 0
	}
	if !weighted {
		return fmt.Errorf("no part has a weight")
	}
	return nil
}

// SortRoutes sorts routes by name in place and returns them.
func SortRoutes(routes []wire.Route) []wire.Route {
	slices.SortFunc(routes, func(a, b wire.Route) int { return cmp.Compare(a.Name, b.Name) })
	return routes
}

// SameRoute reports whether two routes are equal apart from the version of their last change.
func SameRoute(a, b wire.Route) bool {
	return a.Name == b.Name && a.Host == b.Host && a.Prefix == b.Prefix && a.Retryable == b.Retryable &&
		a.Timeout == b.Timeout && a.Target == b.Target && a.Rank == b.Rank && a.Attempts == b.Attempts && a.Public == b.Public &&
		slices.Equal(a.Parts, b.Parts)
}

// matcher finds the route of a call. It is immutable.
type matcher map[string][]*wire.Route // by host, longest prefix first

func newMatcher(routes []wire.Route) matcher {
	m := matcher{}
	for i := range routes {
		host := strings.ToLower(routes[i].Host)
		m[host] = append(m[host], &routes[i])
	}
	for _, list := range m {
		slices.SortStableFunc(list, func(a, b *wire.Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return m
}

// publicServices returns the services that public routes lead to.
func publicServices(routes []wire.Route) map[string]bool {
	public := map[string]bool{}
	for i := range routes {
		if !routes[i].Public {
			continue
		}
		for _, p := range routes[i].Parts {
			if p.Weight > 0 {
				public[p.Service] = true
			}
		}
	}
	return public
}

func (m matcher) match(host, path string) (*wire.Route, bool) {
	for _, r := range m[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}
