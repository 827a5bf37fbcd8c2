package runner

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/labstack/echo/v4"
)

// status is the answer to a status query on the local API.
type status struct {
	Name    string   `json:"name"`
	Domain  string   `json:"domain"`
	Batch   string   `json:"batch"`
	Held    uint64   `json:"held"`
	Covers  bool     `json:"covers"`
	Load    int      `json:"load"`
	Limit   int      `json:"limit"`
	Members []member `json:"members"`
}

// member is a gossip member in the answer to a status query.
type member struct {
	Name    string         `json:"name"`
	Domain  string         `json:"domain"`
	Addr    netip.AddrPort `json:"addr"`
	State   string         `json:"state"`
	Service string         `json:"service"`
	Ready   bool           `json:"ready"`
}

func (r *Runner) getStatus(c echo.Context) error {
	s := status{
		Name:    r.settings.Load().Name,
		Domain:  r.settings.Load().Domain,
		Batch:   r.settings.Load().Batch,
		Load:    r.limiter.Load(),
		Limit:   r.limiter.Limit(),
		Members: []member{},
	}
	if inEffect := r.subscriber.Snapshot(); inEffect != nil {
		s.Held, s.Covers = inEffect.Version(), inEffect.InForce(time.Now())
	}
	for _, m := range r.gossiper.Members() {
		s.Members = append(s.Members, member{
			Name: m.Name, Domain: m.Domain, Addr: m.Addr, State: m.State, Service: m.Service, Ready: m.Ready,
		})
	}
	return c.JSON(http.StatusOK, s)
}
