// Package accountant keeps the account of the memory that callers occupy. When the account is full, it sheds the holder
// that occupies the most memory for the longest time.
package accountant

import (
	"context"
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
	unlogged int
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
	victims := a.overdrawn()
	a.mu.Unlock()
	for _, victim := range victims {
		victim.onShed()
	}
}

// overdrawn marks holders as shed until those that remain fit into the account, and returns them. a.mu must be held.
func (a *Account) overdrawn() []*Holder {
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

// fits reports whether a holder can grow, apart from memory that others are about to release. a.mu must be held.
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
		rank, score := h.rank(size), float64(size)*(now.Sub(h.since)+time.Millisecond).Seconds()
		if victim == nil || rank > victimRank || rank == victimRank && score > victimScore {
			victim, victimRank, victimScore = h, rank, score
		}
	}
	return victim
}

// markShed marks a holder as shed and logs it. a.mu must be held.
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

// Holder is a caller that occupies memory of an Account.
type Holder struct {
	account *Account
	caller  string
	onShed  func()
	since   time.Time
	shed    chan struct{} // closed when the holder is shed

	bytes   int64 // the remaining fields are guarded by account.mu
	running bool
	isShed  bool
	closed  bool
}

// largePart returns the part of a size that exceeds smallBytes.
func largePart(bytes int64) int64 {
	return max(bytes-smallBytes, 0)
}

// rank orders holders by how soon they are shed; higher ranks go first. The account's mu must be held.
func (h *Holder) rank(size int64) int {
	switch {
	case size <= smallBytes:
		return 0
	case h.running:
		return 1
	}
	return 2
}

// add changes the size of the holder. The account's mu must be held.
func (h *Holder) add(bytes int64) {
	h.account.used += bytes
	h.account.large += largePart(h.bytes+bytes) - largePart(h.bytes)
	h.bytes += bytes
	if bytes < 0 {
		h.account.notify()
	}
}

// Grow occupies more memory. If the account is full, it sheds holders and waits until they have released their memory.
// It returns ErrShed if this holder is or was shed itself, or if the memory is not released in time.
func (h *Holder) Grow(ctx context.Context, bytes int64) error {
	var timeout <-chan time.Time
	for {
		wait, err := h.tryGrow(bytes)
		if wait == nil || err != nil {
			return err
		}
		if timeout == nil {
			timer := time.NewTimer(maxWait)
			defer timer.Stop()
			timeout = timer.C
		}
		select {
		case <-wait:
		case <-h.shed:
			return ErrShed
		case <-timeout:
			return ErrShed
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// tryGrow occupies memory if there is room. Otherwise it sheds a holder if necessary, and returns a channel that is closed
// when memory is released.
func (h *Holder) tryGrow(bytes int64) (wait <-chan struct{}, err error) {
	a := h.account
	a.mu.Lock()
	switch {
	case h.isShed:
		a.mu.Unlock()
		return nil, ErrShed
	case largePart(h.bytes+bytes) > a.largeSize:
		a.mu.Unlock()
		return nil, ErrTooLarge
	case a.fits(h, bytes, 0, 0):
		h.add(bytes)
		a.mu.Unlock()
		return nil, nil
	}
	wait = a.released
	var victim *Holder
	if releasing, releasingLarge := a.releasing(); !a.fits(h, bytes, releasing, releasingLarge) {
		victim = a.victim(h, bytes)
		a.markShed(victim)
	}
	a.mu.Unlock()
	if victim == h {
		return nil, ErrShed
	}
	if victim != nil {
		victim.onShed()
	}
	return wait, nil
}

// Replace sets the memory that the holder occupies without waiting. If the account is then overdrawn, it sheds holders,
// which may include this one.
func (h *Holder) Replace(bytes int64) {
	a := h.account
	a.mu.Lock()
	var victims []*Holder
	if !h.closed {
		h.add(bytes - h.bytes)
		victims = a.overdrawn()
	}
	a.mu.Unlock()
	for _, victim := range victims {
		victim.onShed()
	}
}

// SetRunning records whether the call of the holder may be running, so that it can no longer be refused as not run.
func (h *Holder) SetRunning(running bool) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	h.running = running
}

// IsShed reports whether the holder has to give up its memory.
func (h *Holder) IsShed() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.isShed
}

// Close releases the memory of the holder. It may be called more than once.
func (h *Holder) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	h.add(-h.bytes)
	delete(a.holders, h)
}
