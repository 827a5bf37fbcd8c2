// Package accountant keeps the account of the memory that callers occupy. When the account is full, it sheds a holder, which
// then has to release its memory: the one that has occupied the most for the longest time.
package accountant

import (
	"errors"
	"math"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"
)

const (
	// memoryShare is the share of the memory of a process that callers may occupy. A body of 64 MiB fits into a process
	// with 184 MiB; the rest is for the program, its garbage, answers that are being read, and buffers of the kernel.
	memoryShare = 0.42
	// smallShare is the share of the account that is kept for the first smallBytes of each holder, so that large bodies
	// do not keep out ordinary calls.
	smallShare = 0.125
	// smallBytes is the size above which a holder counts as large.
	smallBytes = 64 << 10
	// maxWait is how long a holder waits for the memory of others that were shed.
	maxWait = time.Second
	// minHeldTime is added to the time for which a holder has occupied memory, so that new holders differ by their size.
	minHeldTime = time.Millisecond
	// logInterval is the shortest time between two log lines about holders that were shed.
	logInterval = time.Second
)

var (
	// ErrShed reports that a holder has to give up its memory.
	ErrShed = errors.New("no memory left for this call")
	// ErrTooLarge reports that a holder would not fit into the account even if it were the only one.
	ErrTooLarge = errors.New("larger than the memory for calls")
)

var shedTotal = metrics.NewCounter("bluebell_callers_shed_total")

// Account limits the memory that all callers occupy together. Its methods may be called concurrently.
type Account struct {
	size      int64
	largeSize int64 // bytes that all holders together may occupy beyond smallBytes each
	log       hclog.Logger

	mu       sync.Mutex
	used     int64
	large    int64 // part of used that holders occupy beyond smallBytes each
	holders  map[*Holder]struct{}
	released chan struct{} // closed and replaced when memory is released
	lastLog  time.Time
	unlogged int // holders shed since lastLog without a log line
}

// Option configures an Account.
type Option func(*Account)

// WithMemory sets the memory of the process in bytes, of which the account takes a share. Without it, or with 0, the
// account is not limited.
func WithMemory(bytes int64) Option {
	return func(a *Account) {
		if bytes > 0 {
			a.size = int64(memoryShare * float64(bytes))
			a.largeSize = a.size - int64(smallShare*float64(a.size))
		}
	}
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Account) { a.log = log }
}

// New returns an empty Account.
func New(opts ...Option) *Account {
	a := &Account{
		size: math.MaxInt64, largeSize: math.MaxInt64, log: hclog.NewNullLogger(),
		holders: map[*Holder]struct{}{}, released: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Size returns the number of bytes that all holders may occupy together.
func (a *Account) Size() int64 {
	return a.size
}

// Used returns the number of bytes that are occupied.
func (a *Account) Used() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used
}

// Open adds a holder that occupies no memory yet. The function shed is called once if the holder has to give up its
// memory; it must not block. The holder keeps its memory until it is closed.
func (a *Account) Open(caller string, shed func()) *Holder {
	h := &Holder{account: a, caller: caller, onShed: shed, since: time.Now(), shed: make(chan struct{})}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holders[h] = struct{}{}
	return h
}

// AddFixed occupies memory that no shed holder could release, for example that of a connection. If the account is then
// overdrawn, it sheds holders. A negative number releases memory.
func (a *Account) AddFixed(bytes int64) {
	a.mu.Lock()
	a.used += bytes
	if bytes < 0 {
		a.notify()
	}
	victims := a.shedOverdraft()
	a.mu.Unlock()
	for _, victim := range victims {
		victim.onShed()
	}
}

// shedOverdraft marks holders as shed until those that remain fit into the account, and returns the marked ones, whose onShed
// the caller must call without the lock. a.mu must be held.
func (a *Account) shedOverdraft() []*Holder {
	if a.used <= a.size {
		return nil
	}
	var victims []*Holder
	for releasing, _ := a.releasing(); a.used-releasing > a.size; releasing, _ = a.releasing() {
		victim := a.victim(nil, 0)
		if victim == nil {
			break
		}
		a.markShed(victim)
		victims = append(victims, victim)
	}
	return victims
}

// notify wakes the holders that wait for memory. a.mu must be held.
func (a *Account) notify() {
	close(a.released)
	a.released = make(chan struct{})
}

// fits reports whether a holder can grow by bytes. The memory that shed holders are about to release counts as free: releasing
// in all, and releasingLarge of it beyond smallBytes each. a.mu must be held.
func (a *Account) fits(h *Holder, bytes, releasing, releasingLarge int64) bool {
	largeGrowth := largePart(h.bytes+bytes) - largePart(h.bytes)
	return a.used-releasing+bytes <= a.size && (largeGrowth == 0 || a.large-releasingLarge+largeGrowth <= a.largeSize)
}

// releasing returns the memory of holders that were shed and are not closed yet. a.mu must be held.
func (a *Account) releasing() (bytes, large int64) {
	for h := range a.holders {
		if h.isShed {
			bytes += h.bytes
			large += largePart(h.bytes)
		}
	}
	return bytes, large
}

// victim returns the holder to shed if the given one grows by bytes, which may be that one, or nil. a.mu must be held.
//
// Large holders whose call is not running go first, since their call can still be refused as not run; then large ones;
// then small ones. Among equals it is the one that has occupied the most for the longest time.
func (a *Account) victim(growing *Holder, bytes int64) *Holder {
	now := time.Now()
	var victim *Holder
	var victimRank int
	var victimScore float64
	for h := range a.holders {
		size := h.bytes
		if h == growing {
			size += bytes
		}
		if h.isShed || size == 0 {
			continue
		}
		rank, score := h.rank(size), float64(size)*(now.Sub(h.since)+minHeldTime).Seconds()
		if victim == nil || rank > victimRank || rank == victimRank && score > victimScore {
			victim, victimRank, victimScore = h, rank, score
		}
	}
	return victim
}

// markShed marks a holder, unless it is nil, as shed, and logs at most one in logInterval. a.mu must be held.
func (a *Account) markShed(h *Holder) {
	if h == nil {
		return
	}
	h.isShed = true
	close(h.shed)
	shedTotal.Inc()
	now := time.Now()
	if now.Sub(a.lastLog) < logInterval {
		a.unlogged++
		return
	}
	a.log.Warn("caller shed, since the memory for calls is used up", "caller", h.caller, "bytes", h.bytes,
		"held", now.Sub(h.since).Round(time.Millisecond).String(), "running", h.running, "used", a.used, "size", a.size, "others", a.unlogged)
	a.lastLog, a.unlogged = now, 0
}
