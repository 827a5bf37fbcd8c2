package pipeliner

import "time"

// acquireSlot reserves a connection. If there are too many, it closes one that evict selects, and reports false if there is
// none.
func (s *Server) acquireSlot() bool {
	if s.slots == nil {
		return true
	}
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if !s.evict() {
		return false
	}
	s.slots <- struct{}{} // does not wait: only one goroutine accepts, and the closed connection has made room
	return true
}

// releaseSlot makes room for another connection.
func (c *connection) releaseSlot() {
	if c.server.slots != nil {
		c.slotOnce.Do(func() { <-c.server.slots })
	}
}

// evict closes the connection that has been idle for the longest time, or else the one whose call has been arriving for the
// longest time. It reports false if there is neither.
func (s *Server) evict() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	victim := s.oldest((*connection).idleSince)
	if victim == nil {
		victim = s.oldest((*connection).receivingSince)
	}
	if victim == nil {
		return false
	}
	victim.evicted = true
	s.countLimited(reasonConnections, victim.raw)
	_ = victim.raw.Close()
	victim.releaseSlot()
	return true
}

// oldest returns the connection with the earliest time, or nil if since returns false for all. s.mu must be held.
func (s *Server) oldest(since func(*connection) (time.Time, bool)) *connection {
	var oldest *connection
	var earliest time.Time
	for c := range s.conns {
		if at, ok := since(c); ok && !c.evicted && (oldest == nil || at.Before(earliest)) {
			oldest, earliest = c, at
		}
	}
	return oldest
}
