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

// Values of Call.Way.
const (
	Mesh   = "mesh"   // through a daemon
	Direct = "direct" // to a stand-in, without a daemon
)

// Service describes the calls to one service of the load.
type Service struct {
	Name          string
	Weight        int              // share of the calls, relative to the other services
	AtMostOnce    bool             // a call may run at most once
	Chain         string           // services of the nested calls, separated by commas
	DirectTargets []netip.AddrPort // addresses of its stand-ins
}

// Call is one planned call.
type Call struct {
	Service    Service
	Way        string // Mesh or Direct
	Method     string
	Path       string
	AnswerSize int    // -1 for a JSON answer
	Key        string // idempotency key
	Body       []byte
	Targets    []netip.AddrPort // in the order of attempts
	Due        time.Time        // planned start
}

// planner generates the sequence of calls. Apart from the time in the keys, the sequence depends only on the seed and the
// other settings.
type planner struct {
	rng         *rand.Rand
	chacha      *rand.ChaCha8 // source of rng and of the idempotency keys
	services    []Service
	totalWeight int
	targets     []netip.AddrPort
	answerSizes []int
	bodySize    int
	method      string
	pathPrefix  string
	planned     int
}

func newPlanner(g *Generator) *planner {
	var seed [32]byte
	binary.LittleEndian.PutUint64(seed[:], g.seed)
	chacha := rand.NewChaCha8(seed)
	p := &planner{
		rng:         rand.New(chacha),
		chacha:      chacha,
		services:    g.services,
		targets:     g.targets,
		answerSizes: g.answerSizes,
		bodySize:    g.bodySize,
		method:      g.method,
		pathPrefix:  fmt.Sprintf("/load/%d", g.seed),
	}
	for _, s := range p.services {
		p.totalWeight += s.Weight
	}
	return p
}

// interArrivalTime returns the time to the next call. Calls arrive independently of each other (a Poisson process).
func (p *planner) interArrivalTime(rate float64) time.Duration {
	return time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
}

// next returns the next call, which is to start at due.
func (p *planner) next(due time.Time) (Call, error) {
	p.planned++
	s := p.pickService()
	key, err := uuid.NewV7FromReader(p.chacha)
	if err != nil {
		return Call{}, fmt.Errorf("%w: %v", ErrPlan, err)
	}
	c := Call{Service: s, Way: Mesh, Method: p.method, AnswerSize: -1, Key: key.String(), Due: due}
	c.Path = fmt.Sprintf("%s/%d", p.pathPrefix, p.planned)
	separator := "?"
	if len(p.answerSizes) > 0 {
		c.AnswerSize = p.answerSizes[p.rng.IntN(len(p.answerSizes))]
		if c.AnswerSize >= 0 {
			c.Path += fmt.Sprintf("%ssize=%d", separator, c.AnswerSize)
			separator = "&"
		}
	}
	c.Targets = p.targets
	// Direct calls bypass the claims of the mesh, so a retry would run the call a second time. At-most-once calls
	// therefore always go through the mesh.
	if !s.AtMostOnce && len(s.DirectTargets) > 0 && (len(p.targets) == 0 || p.rng.IntN(2) == 0) {
		c.Way, c.Targets = Direct, s.DirectTargets
	}
	if s.Chain != "" && c.Way == Mesh {
		c.Path += separator + "call=" + s.Chain
	}
	if s.AtMostOnce {
		c.Method = "POST"
	}
	if c.Method != "GET" {
		c.Body = bytes.Repeat([]byte{byte('a' + p.planned%26)}, p.bodySize)
	}
	c.Targets = rotate(c.Targets, p.rng.IntN(len(c.Targets)))
	return c, nil
}

// pickService returns a random service, chosen by weight.
func (p *planner) pickService() Service {
	offset := p.rng.IntN(p.totalWeight)
	for _, s := range p.services {
		if offset < s.Weight {
			return s
		}
		offset -= s.Weight
	}
	return p.services[0]
}

// rotate returns a copy of addrs that starts with the element at n.
func rotate(addrs []netip.AddrPort, n int) []netip.AddrPort {
	rotated := make([]netip.AddrPort, 0, len(addrs))
	return append(append(rotated, addrs[n:]...), addrs[:n]...)
}
