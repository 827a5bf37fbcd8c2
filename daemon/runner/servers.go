package runner

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"

	"github.com/labstack/echo/v4"
	"github.com/oklog/run"

	"bluebellhoist/core/exposer"
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

// boundServer is a server and its listen address.
type boundServer struct {
	addr   netip.AddrPort
	server *http.Server
}

// addServers opens the listeners for all endpoints and adds their servers to the group.
func (r *Runner) addServers(componentsCtx context.Context, group *run.Group, s Settings) ([]*http.Server, error) {
	peers := r.exchanger.Handler(r.peerHandler())
	bound := []boundServer{
		{s.Calls, forwarder.NewCallServer(r.forwarder.Egress())},
		{s.bind(), forwarder.NewPeerServer(peers)},
	}
	own := []endpoint{{s.Local, r.localHandler()}, {s.Metrics, exposer.New(r.newGauges())}}
	for _, d := range append(own, r.endpoints...) {
		bound = append(bound, boundServer{d.addr, &http.Server{Handler: d.handler, ReadHeaderTimeout: headerTimeout}})
	}
	var servers []*http.Server
	for _, a := range bound {
		if !a.addr.IsValid() {
			continue
		}
		listener, err := net.Listen("tcp", a.addr.String())
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

// peerHandler serves the routed calls and the service calls that other daemons send.
func (r *Runner) peerHandler() http.Handler {
	ingress := r.forwarder.Ingress()
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		if deliverer.IsRoutedCall(request) {
			r.deliverer.ServeHTTP(w, request)
			return
		}
		ingress.ServeHTTP(w, request)
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
