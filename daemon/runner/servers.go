package runner

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"bluebellhoist/core/exchanger"
	"bluebellhoist/core/exposer"
	"bluebellhoist/core/gatekeeper"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/forwarder"
)

// endpoint is a listen address and its handler.
type endpoint struct {
	addr    netip.AddrPort
	handler http.Handler
}

// AddHandler serves a handler on an additional address. It must be called before Run.
func (r *Runner) AddHandler(addr netip.AddrPort, handler http.Handler) {
	r.endpoints = append(r.endpoints, endpoint{addr, handler})
}

// boundServer is a server, its listen address and the gate of its connections.
type boundServer struct {
	addr   netip.AddrPort
	gate   *gatekeeper.Gate
	server *http.Server
}

// newGate returns the gate of an endpoint.
func (r *Runner) newGate(name string, connections int) *gatekeeper.Gate {
	return gatekeeper.New(name, gatekeeper.WithAccount(r.account), gatekeeper.WithMaxConnections(connections),
		gatekeeper.WithLogger(r.log.Named("gatekeeper")))
}

// boundServers returns the servers of all endpoints.
func (r *Runner) boundServers(s Settings) []boundServer {
	calls, peers := r.newGate("calls", r.connections.callers), r.newGate("peers", r.connections.peers)
	bound := []boundServer{
		{s.Calls, calls, calls.Apply(forwarder.NewCallServer(r.forwarder.Egress()))},
		{s.bind(), peers, peers.Apply(forwarder.NewPeerServer(r.peerHandler(peers)))},
	}
	own := []endpoint{{s.Local, r.localHandler()}, {s.Metrics, exposer.New(r.newGauges())}}
	for _, d := range append(own, r.endpoints...) {
		gate := r.newGate(d.addr.String(), r.connections.own)
		bound = append(bound, boundServer{d.addr, gate, gate.Server(d.handler)})
	}
	return bound
}

// addServers opens the listeners for all endpoints and adds their servers to the group.
func (r *Runner) addServers(componentsCtx context.Context, group *run.Group, s Settings) ([]*http.Server, error) {
	var servers []*http.Server
	for _, a := range r.boundServers(s) {
		if !a.addr.IsValid() {
			continue
		}
		listener, err := a.gate.Listen(a.addr)
		if err != nil {
			return nil, fmt.Errorf("listen: %w", err)
		}
		servers = append(servers, a.server)
		group.Add(func() error {
			if err := a.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			<-componentsCtx.Done() // the group must not end before the planned stop is complete
			return nil
		}, func(error) { _ = a.server.Close() })
	}
	return servers, nil
}

// peerHandler serves the exchanges of gossip, the routed calls and the service calls that other daemons send. Calls account
// for their memory themselves.
func (r *Runner) peerHandler(gate *gatekeeper.Gate) http.Handler {
	ingress := r.forwarder.Ingress()
	calls := http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if deliverer.IsRoutedCall(request) {
			r.deliverer.ServeHTTP(w, request)
			return
		}
		ingress.ServeHTTP(w, request)
	})
	exchanges := gate.Handler(r.exchanger.Handler(calls))
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if exchanger.IsExchange(request) {
			exchanges.ServeHTTP(w, request)
			return
		}
		calls.ServeHTTP(w, request)
	})
}

// localHandler serves the loopback API: the announcements of the upstream, the status and the metrics.
func (r *Runner) localHandler() http.Handler {
	e := echo.New()
	r.announcer.Register(e)
	e.GET("/v1/status", r.getStatus)
	e.GET("/metrics", echo.WrapHandler(exposer.New(r.newGauges())))
	return e
}
