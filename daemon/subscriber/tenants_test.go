package subscriber_test

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"bluebellhoist/core/compiler"
	"bluebellhoist/core/framer"
	"bluebellhoist/core/wire"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/subscriber"
)

// revokeTime is the time after which a removed key must not be used any more.
const revokeTime = 5 * time.Second

// tenantFrame returns an update to a version in which calls need one of the keys, or no key if there are none.
func tenantFrame(version uint64, keys ...string) wire.Frame {
	frame := fullFrame(version, "a")
	batch := &frame.Full.Batch
	if len(keys) > 0 {
		batch.Salt, batch.Auth = compiler.NewSalt(), true
	}
	for _, key := range keys {
		hash := compiler.HashDigest(batch.Salt, compiler.DigestKey(key))
		batch.Tenants = append(batch.Tenants, wire.Tenant{Name: "tenant " + key, Keys: [][]byte{hash}, Mod: version})
	}
	frame.Full.Sum, _ = compiler.Checksum(*batch)
	return frame
}

// newGuard returns an authorizer that uses the configuration and the proofs of a subscriber, as a daemon does.
func newGuard(s *subscriber.Subscriber) *authorizer.Authorizer {
	return authorizer.New(
		authorizer.WithSnapshot(s.Snapshot),
		authorizer.WithProof(func() bool { return true }, func() bool {
			age, ok := s.ProofAge()
			return ok && age < revokeTime
		}),
	)
}

// TestFreezeOverRemoval guards against a daemon that runs calls with a removed key because it was stopped with a configuration in
// which these calls need no key: one from before the tenants, or one with a public route that was closed. It judges
// a call after each step.
func TestFreezeOverRemoval(t *testing.T) {
	for _, c := range []struct {
		name   string
		held   wire.Frame // configuration in force at the stop
		public bool       // the route is public in it
	}{
		{"before the tenants", tenantFrame(5), false},
		{"public route", tenantFrame(5, "k", "l"), true},
		{"key needed", tenantFrame(5, "k", "l"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			runInFakeTime(t, func(ctx context.Context, t *testing.T) {
				clock := newBootClock()
				var running, updated atomic.Bool
				running.Store(true)
				fake := newFakeController(ctx, t, func(p *fakeSession) {
					frame, ok := p.receive()
					if !ok || frame.Hello == nil {
						return
					}
					p.send(c.held)
					p.answerAsks(func(ask uint64) wire.Heartbeat {
						switch {
						case running.Load():
							return wire.Heartbeat{Version: 5, Fresh: true, Ask: ask, Newest: 5}
						case !updated.Load():
							return wire.Heartbeat{Version: 7, Fresh: true}
						}
						p.send(tenantFrame(7, "l"))
						return wire.Heartbeat{Version: 7, Fresh: true, Ask: ask, Newest: 7}
					})
				})
				s := startProving(ctx, t, clock, map[netip.AddrPort]*fakeController{localController.Addr: fake})
				guard := newGuard(s)
				judge := func(values ...string) error {
					_, err := guard.Authorize(authorizer.NewCall(values, func(snapshot *compiler.Snapshot) bool {
						return c.public && snapshot.Version() == 5
					}))
					return err
				}
				is := is.New(t)
				time.Sleep(time.Second)
				synctest.Wait()
				is.NoErr(judge("Token k")) // the key is valid, or not needed

				running.Store(false) // version 7 removes the key while the daemon is stopped
				clock.suspend(revokeTime)
				is.Equal(judge("Token k"), authorizer.ErrNoProof)
				is.Equal(judge("Token l"), authorizer.ErrNoProof)
				is.Equal(judge("Token k", "Token k"), authorizer.ErrNoProof)
				if c.public || !c.held.Full.Batch.Auth {
					is.NoErr(judge()) // needs no proof
				}
				time.Sleep(2 * framer.HeartbeatInterval)
				synctest.Wait()
				is.Equal(judge("Token k"), authorizer.ErrNoProof) // back in touch, but not yet updated

				updated.Store(true)
				time.Sleep(2 * framer.HeartbeatInterval)
				synctest.Wait()
				assertVersion(t, s, 7)
				is.Equal(judge("Token k"), authorizer.ErrUnknownKey)
				is.NoErr(judge("Token l"))
				is.Equal(judge(), authorizer.ErrNoKey)
			})
		})
	}
}
