package subscriber

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// lateAfter is the wait for a known version that is worth a warning.
const lateAfter = time.Second

// controllerMoves counts the moves to the watched controller.
var controllerMoves = metrics.NewCounter("bluebell_controller_moves_total")

// versionWaits holds the times from hearing of a version at the watched controller to having it in effect.
var versionWaits = metrics.NewHistogram("bluebell_version_wait_seconds")

// lag is the oldest version that the daemon has heard of and lacks.
type lag struct {
	mu       sync.Mutex
	version  uint64 // 0 if the daemon lacks none
	since    time.Time
	held     uint64    // version in effect
	newest   uint64    // highest version heard of
	movedFor uint64    // version for which the daemon last moved to another controller
	movedAt  time.Time // when it did
}

// hear records a version that a controller has.
func (l *lag) hear(version uint64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.newest = max(l.newest, version)
	if l.version == 0 && l.newest > l.held {
		l.version, l.since = l.newest, now
	}
}

// apply records that a version is in effect. It returns how long the daemon has known of a version that it lacked until now, or
// false if it lacked none or still lacks it.
func (l *lag) apply(version uint64, now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = max(l.held, version)
	if l.version == 0 || l.version > version {
		return 0, false
	}
	l.version = 0
	return now.Sub(l.since), true
}

// due returns the version that the daemon lacks and the time at which it should no longer wait for its controller, or false if it
// lacks none. A move that brought nothing yet gets as long as a session may be silent: another one would begin the same
// transfer again.
func (l *lag) due() (uint64, time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.version == 0 {
		return 0, time.Time{}, false
	}
	at := l.since.Add(catchUpLimit)
	if retry := l.movedAt.Add(moveRetryDelay); l.movedFor >= l.version && retry.After(at) {
		at = retry
	}
	return l.version, at, true
}

// move records that the daemon moves to another controller, which has all versions heard of.
func (l *lag) move(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.movedFor, l.movedAt = l.newest, now
	controllerMoves.Inc()
}

// latest returns the highest version heard of, or 0.
func (l *lag) latest() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.newest
}
