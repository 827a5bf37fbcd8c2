package generator

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/google/uuid"
)

// Ways of a call.
const (
	Mesh   = "mesh"   // through a daemon
	Direct = "direct" // straight to a stand-in
)

// Service is one service of the load.
type Service struct {
	Name   string
	Weight int
	Once   bool
	Call   string           // services of a nested chain, separated by commas
	Direct []netip.AddrPort // its stand-ins, for direct calls
}

// Call is one planned call.
type Call struct {
	Service Service
	Way     string
	Method  string
	Path    string
	Size    int // -1 for a JSON answer
	Key     string
	Body    []byte
	Targets []netip.AddrPort // in the order to try
	Due     time.Time
}

// planner makes the sequence of calls, which depends on the seed only.
type planner struct {
	source   *rand.Rand
	stream   *rand.ChaCha8
	services []Service
	total    int
	targets  []netip.AddrPort
	sizes    []int
	body     int
	method   string
	prefix   string
	count    int
}

func newPlanner(g *Generator) *planner {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], g.seed)
	stream := rand.NewChaCha8(seed)
	p := &planner{
		source:   rand.New(stream),
		stream:   stream,
		services: g.services,
		targets:  g.targets,
		sizes:    g.sizes,
		body:     g.body,
		method:   g.method,
		prefix:   fmt.Sprintf("/load/%d", g.seed),
	}
	for _, s := range p.services {
		p.total += s.Weight
	}
	return p
}

// gap returns the time to the next call, for arrivals that are independent of each other.
func (p *planner) gap(rate float64) time.Duration {
	return time.Duration(p.source.ExpFloat64() / rate * float64(time.Second))
}

func (p *planner) next(due time.Time) (Call, error) {
	p.count++
	s := p.pick()
	key, err := uuid.NewV7FromReader(p.stream)
	if err != nil {
		return Call{}, fmt.Errorf("%w: %v", ErrPlan, err)
	}
	c := Call{Service: s, Way: Mesh, Method: p.method, Size: -1, Key: key.String(), Due: due}
	c.Path = fmt.Sprintf("%s/%d", p.prefix, p.count)
	mark := "?"
	if len(p.sizes) > 0 {
		c.Size = p.sizes[p.source.IntN(len(p.sizes))]
		if c.Size >= 0 {
			c.Path += fmt.Sprintf("%ssize=%d", mark, c.Size)
			mark = "&"
		}
	}
	c.Targets = p.targets
	// A direct call has no claim, so a resend would run twice: once services always take the mesh.
	if !s.Once && len(s.Direct) > 0 && (len(p.targets) == 0 || p.source.IntN(2) == 0) {
		c.Way, c.Targets = Direct, s.Direct
	}
	if s.Call != "" && c.Way == Mesh {
		c.Path += mark + "call=" + s.Call
	}
	if s.Once {
		c.Method = "POST"
	}
	if c.Method != "GET" {
		c.Body = bytes.Repeat([]byte{byte('a' + p.count%26)}, p.body)
	}
	c.Targets = rotate(c.Targets, p.source.IntN(len(c.Targets)))
	return c, nil
}

func (p *planner) pick() Service {
	at := p.source.IntN(p.total)
	for _, s := range p.services {
		if at < s.Weight {
			return s
		}
		at -= s.Weight
	}
	return p.services[0]
}

func rotate(list []netip.AddrPort, by int) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(list))
	return append(append(out, list[by:]...), list[:by]...)
}
