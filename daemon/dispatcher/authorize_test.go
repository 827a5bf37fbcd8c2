package dispatcher_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/courier"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/pipeliner"
)

// keyed is a dispatcher with one member and a configuration with tenants, which tests may change.
type keyed struct {
	*dispatcher.Dispatcher
	snapshot *compiler.Snapshot
	proven   atomic.Bool
	noProofs bool // the settings call for no proofs
	calls    []deliverer.Call
	deliver  func(deliverer.Call) deliverer.Result
	picked   func() // called before a member is returned
}

func newKeyed(t *testing.T) *keyed {
	t.Helper()
	k := &keyed{snapshot: tenantSnapshot(t, 1, map[string]string{"k": "alfa"}, nil), picked: func() {}}
	k.proven.Store(true)
	k.deliver = func(deliverer.Call) deliverer.Result { return answered }
	snapshot := func() *compiler.Snapshot { return k.snapshot }
	k.Dispatcher = dispatcher.New(
		dispatcher.WithSnapshot(snapshot),
		dispatcher.WithAuthorizer(authorizer.New(authorizer.WithSnapshot(snapshot), authorizer.WithProof(func() bool { return !k.noProofs }, k.proven.Load))),
		dispatcher.WithPick(func(service string, skip []string) (wire.Member, func(dispatcher.Outcome), error) {
			if len(skip) == 2 {
				return wire.Member{}, nil, errors.New("no member")
			}
			k.picked()
			return wire.Member{Name: "self", Service: service}, func(dispatcher.Outcome) {}, nil
		}),
		dispatcher.WithLocalDelivery("self", func(_ context.Context, c deliverer.Call) deliverer.Result {
			k.calls = append(k.calls, c)
			return k.deliver(c)
		}),
	)
	return k
}

// tenantSnapshot returns a configuration with a public and another route, and tenants by key.
func tenantSnapshot(t *testing.T, version uint64, tenants map[string]string, rank *int) *compiler.Snapshot {
	t.Helper()
	public := oneRoute(true, 2)[0]
	public.Name, public.Prefix, public.Public = "public", "/public/", true
	batch := wire.Batch{
		Name: "m", Version: version, Until: 1 << 50, Routes: compiler.SortRoutes(append(oneRoute(true, 2), public)),
		Services: []wire.Service{{Name: "a", Class: compiler.Normal, Limit: time.Second}},
	}
	if tenants != nil {
		batch.Salt, batch.Auth = compiler.NewSalt(), true
	}
	for key, name := range tenants {
		hash := compiler.HashDigest(batch.Salt, compiler.DigestKey(key))
		batch.Tenants = append(batch.Tenants, wire.Tenant{Name: name, Keys: [][]byte{hash}, Rank: rank})
	}
	compiler.SortTenants(batch.Tenants)
	sum, err := compiler.Checksum(batch)
	is.New(t).NoErr(err)
	s, err := compiler.New(batch, sum)
	is.New(t).NoErr(err)
	return s
}

// newKeyedRequest returns a request whose caller claims to be a tenant.
func newKeyedRequest(target, key string) *courier.Request {
	r := newRequest(target)
	r.Header.Set(courier.DefaultHeaderNames().Tenant, "zulu")
	if key != "" {
		r.Header.Set("Authorization", "Token "+key)
	}
	return r
}

// TestKeys guards against calls that are sent without a key or a proof, upstreams that get a key, and callers that choose their
// tenant.
func TestKeys(t *testing.T) {
	for _, c := range []struct {
		name, target, key string
		unproven, open    bool
		status            int
		tenant            string
		noProofs          bool
		passesKey         bool
	}{
		{name: "key", target: "/r/x", key: "k", status: 200, tenant: "alfa"},
		{name: "no key", target: "/r/x", status: 401},
		{name: "unknown key", target: "/r/x", key: "l", status: 401},
		{name: "key without proof", target: "/r/x", key: "k", unproven: true, status: 503},
		{name: "unknown key without proof", target: "/r/x", key: "l", unproven: true, status: 503},
		{name: "public", target: "/public/x", status: 200},
		{name: "public with key", target: "/public/x", key: "k", status: 200},
		{name: "public without proof", target: "/public/x", unproven: true, status: 200},
		{name: "public with key, no proof", target: "/public/x", key: "k", unproven: true, status: 503},
		{name: "no tenants", target: "/r/x", key: "k", open: true, status: 200},
		{name: "no tenants, no proof", target: "/r/x", key: "k", unproven: true, open: true, status: 503},
		{name: "no tenants, no key and no proof", target: "/r/x", unproven: true, open: true, status: 200},
		{name: "no tenants, no proofs needed", target: "/r/x", key: "k", unproven: true, open: true, noProofs: true, status: 200, passesKey: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newKeyed(t)
			k.proven.Store(!c.unproven)
			k.noProofs = c.noProofs
			if c.open {
				k.snapshot = tenantSnapshot(t, 1, nil, nil)
			}
			answer := k.Handle(t.Context(), newKeyedRequest(c.target, c.key))
			is.Equal(answer.Status, c.status)
			is.Equal(answer.Header.Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			is.Equal(answer.Header.Get("Www-Authenticate") != "", c.status == http.StatusUnauthorized)
			if c.status != http.StatusOK {
				is.Equal(answer.Header.Get(courier.HeaderOutcome), string(deliverer.NotRun))
				is.Equal(len(k.calls), 0)
				return
			}
			is.Equal(k.calls[0].Tenant, c.tenant)
			is.Equal(k.calls[0].Request.Header.Get(courier.DefaultHeaderNames().Tenant), "")
			is.Equal(k.calls[0].Request.Header.Get("Authorization") != "", c.passesKey)
		})
	}
}

// TestTenantRank guards against calls that get the class of their route although their tenant has a rank.
func TestTenantRank(t *testing.T) {
	urgent, bulk := 0, 9
	for _, c := range []struct {
		name  string
		rank  *int
		class string
	}{{"none", nil, compiler.Urgent}, {"urgent", &urgent, compiler.Urgent}, {"bulk", &bulk, compiler.Bulk}} {
		t.Run(c.name, func(t *testing.T) {
			k := newKeyed(t)
			k.snapshot = tenantSnapshot(t, 1, map[string]string{"k": "alfa"}, c.rank)
			k.Handle(t.Context(), newKeyedRequest("/r/x", "k"))
			is.New(t).Equal(k.calls[0].Class, c.class)
		})
	}
}

// TestKeyRemovedInFlight guards against an attempt that is sent after the key was removed or the proof ended, and against an
// answer that promises that no attempt has run although one may have.
func TestKeyRemovedInFlight(t *testing.T) {
	revoke := func(t *testing.T, k *keyed) { k.snapshot = tenantSnapshot(t, 2, map[string]string{"l": "alfa"}, nil) }
	expire := func(_ *testing.T, k *keyed) { k.proven.Store(false) }
	for _, c := range []struct {
		name   string
		change func(*testing.T, *keyed)
		first  *deliverer.Result // of an attempt before the change, or nil
		status int
	}{
		{"removed before the first attempt", revoke, nil, 401},
		{"no proof before the first attempt", expire, nil, 503},
		{"removed after a refusal", revoke, &refusedByDaemon, 401},
		{"no proof after a refusal", expire, &refusedByDaemon, 503},
		{"removed after an unknown outcome", revoke, &unknown, 502},
		{"no proof after an unknown outcome", expire, &unknown, 502},
		{"removed after a failure", revoke, &failed, 500},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			k := newKeyed(t)
			sends := 0
			if c.first == nil {
				k.picked = func() { c.change(t, k) }
			} else {
				sends = 1
				k.deliver = func(deliverer.Call) deliverer.Result {
					c.change(t, k)
					return *c.first
				}
			}
			answer := k.Handle(t.Context(), newKeyedRequest("/r/x", "k"))
			is.Equal(answer.Status, c.status)
			is.Equal(len(k.calls), sends)
		})
	}
}

// TestKeyCalledForInFlight guards against an attempt that passes on a key, or needs none, because the configuration had no
// tenants when the call arrived.
func TestKeyCalledForInFlight(t *testing.T) {
	for _, c := range []struct {
		key    string
		status int
	}{{"k", 200}, {"l", 401}, {"", 401}} {
		t.Run(c.key, func(t *testing.T) {
			is := is.New(t)
			k := newKeyed(t)
			withTenants := k.snapshot
			k.snapshot = tenantSnapshot(t, 0, nil, nil)
			k.picked = func() { k.snapshot = withTenants }
			is.Equal(k.Handle(t.Context(), newKeyedRequest("/r/x", c.key)).Status, c.status)
			if c.status == http.StatusOK {
				is.Equal(k.calls[0].Tenant, "alfa")
				is.Equal(k.calls[0].Request.Header.Get("Authorization"), "")
			}
		})
	}
}

// TestProofAfterStart guards against calls with a key that are refused right after a start because the first proof is about to
// arrive.
func TestProofAfterStart(t *testing.T) {
	for _, c := range []struct {
		name   string
		key    string
		after  time.Duration // arrival of the proof
		status int
		took   time.Duration
	}{
		{"arrives", "k", 200 * time.Millisecond, 200, 200 * time.Millisecond},
		{"too late", "k", time.Second, 503, 250 * time.Millisecond},
		{"no key", "", time.Second, 503, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				k := newKeyed(t)
				k.proven.Store(false)
				proof := time.AfterFunc(c.after, func() { k.proven.Store(true) })
				defer proof.Stop()
				r := newKeyedRequest("/r/x", c.key)
				r.Header.Set(courier.DefaultHeaderNames().Deadline, "1000")
				began := time.Now()
				is.Equal(k.Handle(t.Context(), r).Status, c.status)
				took := time.Since(began)
				is.True(took >= c.took && took <= c.took+20*time.Millisecond) // the poll interval
			})
		})
	}
}

// TestKeyRemovedOnOpenConnection guards against calls with a removed key on a connection that was opened before, while earlier
// calls on it are in flight.
func TestKeyRemovedOnOpenConnection(t *testing.T) {
	is := is.New(t)
	k := newKeyed(t)
	var current atomic.Pointer[compiler.Snapshot]
	current.Store(k.snapshot)
	arrived, release := make(chan struct{}), make(chan struct{})
	d := dispatcher.New(
		dispatcher.WithSnapshot(current.Load),
		dispatcher.WithPick(func(string, []string) (wire.Member, func(dispatcher.Outcome), error) {
			return wire.Member{Name: "self"}, func(dispatcher.Outcome) {}, nil
		}),
		dispatcher.WithLocalDelivery("self", func(context.Context, deliverer.Call) deliverer.Result {
			arrived <- struct{}{}
			<-release
			return deliverer.Result{Outcome: deliverer.Answered, Sent: true, Answer: &courier.Answer{Status: 200, Header: http.Header{}}}
		}),
	)
	server := pipeliner.New(pipeliner.WithHandler(d.Handle))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- server.Serve(ctx, listener) }()
	defer func() {
		cancel()
		<-served
	}()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	const request = "GET /r/x HTTP/1.1\r\nHost: h\r\nAuthorization: Token k\r\n\r\n"
	answers := bufio.NewReader(conn)
	readStatus := func() int {
		response, err := http.ReadResponse(answers, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, response.Body)
		is.NoErr(err)
		return response.StatusCode
	}
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	<-arrived
	current.Store(tenantSnapshot(t, 2, map[string]string{"l": "alfa"}, nil))
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	close(release)
	is.Equal(readStatus(), http.StatusOK) // was sent before the key was removed
	is.Equal(readStatus(), http.StatusUnauthorized)
	_, err = io.WriteString(conn, request)
	is.NoErr(err)
	is.Equal(readStatus(), http.StatusUnauthorized)
}
