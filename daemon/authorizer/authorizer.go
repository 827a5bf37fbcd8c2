// Package authorizer decides which tenant a call belongs to and whether it may be sent.
package authorizer

import (
	"errors"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
	"github.com/hashicorp/go-hclog"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
)

// HeaderKey is the header that carries the key of a call.
const HeaderKey = "Authorization"

// scheme precedes the key in HeaderKey.
const scheme = "Token"

// Challenge is the value of WWW-Authenticate in the answer to a call without a valid key.
const Challenge = scheme

// Reasons to refuse a call. The texts are part of answers and logs.
var (
	// ErrNoKey reports a call without a key, or with a malformed one.
	ErrNoKey = errors.New("the call needs a key")
	// ErrUnknownKey reports a key that no tenant has.
	ErrUnknownKey = errors.New("unknown key")
	// ErrNoProof reports that the configuration is not proven to be current, so that the key may have been removed.
	ErrNoProof = errors.New("the configuration is not proven to be current")
)

// refusals counts the refused calls by reason.
var refusals = map[error]*metrics.Counter{
	ErrNoKey:      metrics.NewCounter(`bluebell_calls_unauthorized_total{reason="no key"}`),
	ErrUnknownKey: metrics.NewCounter(`bluebell_calls_unauthorized_total{reason="unknown key"}`),
	ErrNoProof:    metrics.NewCounter(`bluebell_calls_unauthorized_total{reason="no proof"}`),
}

// Authorizer authorizes calls. Its methods may be called concurrently.
type Authorizer struct {
	snapshot    func() *compiler.Snapshot
	needsProofs func() bool
	proven      func() bool
	log         hclog.Logger
	refusing    atomic.Bool // the last call that needed a proof was refused for want of one
}

// Option configures an Authorizer.
type Option func(*Authorizer)

// WithSnapshot sets the source of the configuration.
func WithSnapshot(snapshot func() *compiler.Snapshot) Option {
	return func(a *Authorizer) { a.snapshot = snapshot }
}

// WithProof sets the functions that report whether the settings call for proofs, and whether the configuration in force is proven
// to be current. Without it, no proof is needed.
func WithProof(needed, proven func() bool) Option {
	return func(a *Authorizer) { a.needsProofs, a.proven = needed, proven }
}

// WithLogger sets the logger.
func WithLogger(log hclog.Logger) Option {
	return func(a *Authorizer) { a.log = log }
}

// New returns an authorizer. WithSnapshot is required.
func New(opts ...Option) *Authorizer {
	a := &Authorizer{
		needsProofs: func() bool { return false },
		proven:      func() bool { return true },
		log:         hclog.NewNullLogger(),
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// Call is the part of a call that decides its authorization.
type Call struct {
	Key    string // empty if the call has none, or has a malformed one
	HasKey bool   // the call has a key, which may be malformed
	// IsPublic reports whether the call needs no key in the given configuration.
	IsPublic func(*compiler.Snapshot) bool
}

// Grant is the result of a successful authorization. It holds for one configuration.
type Grant struct {
	Tenant   wire.Tenant        // without a name if the call belongs to no tenant
	DropKey  bool               // the key must not be passed on
	snapshot *compiler.Snapshot // the configuration
}

// NewCall returns the part of a call with the given values of HeaderKey.
func NewCall(values []string, isPublic func(*compiler.Snapshot) bool) Call {
	return Call{Key: ParseKey(values), HasKey: HasKey(values), IsPublic: isPublic}
}

// HasKey reports whether there is a key among the values of HeaderKey, well-formed or not. Other schemes belong to the upstream.
func HasKey(values []string) bool {
	return slices.ContainsFunc(values, func(value string) bool {
		words := strings.Fields(value)
		return len(words) > 0 && strings.EqualFold(words[0], scheme)
	})
}

// ParseKey returns the key in the values of HeaderKey, or an empty text if there is not exactly one.
func ParseKey(values []string) string {
	if len(values) != 1 {
		return ""
	}
	name, key, _ := strings.Cut(strings.TrimSpace(values[0]), " ")
	if !strings.EqualFold(name, scheme) {
		return ""
	}
	return strings.TrimLeft(key, " ")
}

// Authorize authorizes a call that has been read completely.
func (a *Authorizer) Authorize(c Call) (Grant, error) {
	return a.authorize(c, nil)
}

// Renew authorizes a call again, with the newest configuration, before it is sent.
func (a *Authorizer) Renew(c Call, last Grant) (Grant, error) {
	return a.authorize(c, &last)
}

// authorize authorizes a call. It does not look up the key again if the configuration is that of the last grant.
//
// A call with a key needs a proof whatever the configuration in force says: an old one may be from before the tenants, or from
// before a public route was closed, and cannot tell that it is old.
func (a *Authorizer) authorize(c Call, last *Grant) (Grant, error) {
	// The proof must be checked first: it covers the version in force at that time and all later ones, while a snapshot that
	// was read earlier may be older than the version that the proof covers.
	proven := a.isProven()
	snapshot := a.snapshot()
	guardsKey := c.HasKey && a.GuardsKeys()
	grant := Grant{snapshot: snapshot}
	if snapshot == nil {
		return grant, nil
	}
	grant.DropKey = snapshot.NeedsKey() || guardsKey
	open := !snapshot.NeedsKey() || c.IsPublic(snapshot)
	if open && !guardsKey {
		return grant, nil
	}
	a.logProof(proven, snapshot)
	if !proven {
		return grant, refuse(ErrNoProof)
	}
	if open {
		return grant, nil
	}
	if c.Key == "" {
		return grant, refuse(ErrNoKey)
	}
	if last != nil && last.snapshot == snapshot && last.Tenant.Name != "" {
		return *last, nil
	}
	var ok bool
	if grant.Tenant, ok = snapshot.TenantOfKey(c.Key); !ok {
		return grant, refuse(ErrUnknownKey)
	}
	return grant, nil
}

// logProof logs when calls begin to be refused for want of a proof, and when they are served again.
func (a *Authorizer) logProof(proven bool, snapshot *compiler.Snapshot) {
	if a.refusing.Load() == !proven || a.refusing.Swap(!proven) == !proven {
		return
	}
	if proven {
		a.log.Info("configuration proven again", "version", snapshot.Version())
		return
	}
	a.log.Warn("configuration not proven, calls that need a key are refused", "version", snapshot.Version())
}

// isProven reports whether the configuration in force is proven to be current, or needs no proof.
func (a *Authorizer) isProven() bool {
	return !a.needsProofs() || a.proven()
}

// Ready reports whether calls with a key can be judged.
func (a *Authorizer) Ready() bool {
	return a.isProven() && a.snapshot() != nil
}

// GuardsKeys reports whether keys are kept from upstreams whatever the configuration in force says.
func (a *Authorizer) GuardsKeys() bool {
	return a.needsProofs()
}

// DropKey removes the key from the header of a call that goes to an upstream, if the configuration in force calls for keys or may
// be older than one that does.
func (a *Authorizer) DropKey(h http.Header) {
	snapshot := a.snapshot()
	if snapshot != nil && snapshot.NeedsKey() || a.GuardsKeys() && HasKey(h.Values(HeaderKey)) {
		h.Del(HeaderKey)
	}
}

// refuse counts a refusal and returns its reason.
func refuse(reason error) error {
	refusals[reason].Inc()
	return reason
}
