package pipeliner

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Reasons for which callers are limited.
const (
	reasonConnections = "connections" // too many connections
	reasonPipelined   = "pipelined"   // too many calls whose response was not written; further ones wait
	reasonFields      = "fields"      // too many header fields
	reasonHeaderBytes = "header-bytes"
	reasonBodyBytes   = "body-bytes"
	reasonHeaderTime  = "header-time" // the header arrived too slowly
	reasonBodyTime    = "body-time"   // the body paused too long or arrived too slowly
	reasonWriteRate   = "write-rate"  // the caller read its response too slowly
)

// limitLogInterval is the shortest time between two log lines for the same reason.
const limitLogInterval = time.Second

// limitLog limits the rate of log lines for each reason.
type limitLog struct {
	mu    sync.Mutex
	times map[string]time.Time // of the last log line, by reason
	count map[string]int       // callers since then that were not logged, by reason
}

// countLimited counts a caller that is refused, or has to wait, for the given reason. It logs the caller's address unless
// others were logged shortly before.
func (s *Server) countLimited(reason string, conn net.Conn) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`bluebell_callers_limited_total{reason=%q}`, reason)).Inc()
	l := &s.limitLog
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.times == nil {
		l.times, l.count = map[string]time.Time{}, map[string]int{}
	}
	now := time.Now()
	if now.Sub(l.times[reason]) < limitLogInterval {
		l.count[reason]++
		return
	}
	s.log.Warn("caller limited", "reason", reason, "caller", conn.RemoteAddr().String(), "others", l.count[reason])
	l.times[reason], l.count[reason] = now, 0
}
