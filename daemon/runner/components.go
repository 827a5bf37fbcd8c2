package runner

import (
	"time"

	"bluebellhoist/core/accountant"
	"bluebellhoist/core/chronometer"
	"bluebellhoist/core/connector"
	"bluebellhoist/daemon/announcer"
	"bluebellhoist/daemon/authorizer"
	"bluebellhoist/daemon/budgeter"
	"bluebellhoist/daemon/claimer"
	"bluebellhoist/daemon/deliverer"
	"bluebellhoist/daemon/dispatcher"
	"bluebellhoist/daemon/forwarder"
	"bluebellhoist/daemon/limiter"
	"bluebellhoist/daemon/pipeliner"
	"bluebellhoist/daemon/router"
	"bluebellhoist/daemon/subscriber"
	"bluebellhoist/daemon/tallier"
)

// buildComponents creates the components and connects them with each other.
func (r *Runner) buildComponents(s Settings) {
	r.account = accountant.New(accountant.WithMemory(s.Memory<<20), accountant.WithLogger(r.log.Named("accountant")))
	r.connections = newConnectionLimits(s.Files, r.account.Size())
	peers := connector.New(connector.WithSource(s.Bind.Addr()), connector.WithUserTimeout(connector.UserTimeout))
	r.subscriber = subscriber.New(
		subscriber.WithIdentity(s.Name, s.Domain, s.Batch),
		subscriber.WithRegion(s.Region),
		subscriber.WithControllers(s.Controllers...),
		subscriber.WithDiscovery(r.discoveredControllers),
		subscriber.WithFolder(s.Data),
		subscriber.WithDepartures(r.restoreDepartures),
		subscriber.WithDial(connector.New(connector.WithSource(s.Bind.Addr())).Dial),
		subscriber.WithProofs(chronometer.Now, r.needsProofs),
		subscriber.WithLogger(r.log.Named("subscriber")),
	)
	r.authorizer = authorizer.New(
		authorizer.WithSnapshot(r.subscriber.Snapshot),
		authorizer.WithProof(r.needsProofs, r.isProven),
		authorizer.WithLogger(r.log.Named("authorizer")),
	)
	r.claimer = claimer.New(claimer.WithRequest(r.subscriber.Request))
	var slots []limiter.Option
	if s.Routes.IsValid() {
		// After all daemons restart together, their calls arrive at once, and a slow start would hold them back.
		slots = append(slots, limiter.WithoutSlowStart())
	}
	r.limiter = limiter.New(slots...)
	r.router = router.New(router.WithMembers(r.gossiper.Members), router.WithDomain(s.Domain))
	r.announcer = announcer.New(
		announcer.WithMemberUpdate(r.updateMember),
		announcer.WithConfirm(r.gossiper.Confirm),
		announcer.WithRecord(r.recordDeparture),
		announcer.WithFolder(s.Data),
		announcer.WithRecovered(r.recovered),
		announcer.WithServices(r.hasService),
		announcer.WithConfigured(func() bool { return r.subscriber.Snapshot() != nil }),
		announcer.WithDrain(r.drainUpstream),
		announcer.WithLifetime(announcementLifetime(s)),
		announcer.WithLogger(r.log.Named("announcer")),
	)
	r.tallier = tallier.New(tallier.WithLogger(r.log.Named("tallier")))
	r.budgeter = budgeter.New(
		budgeter.WithLimits(func() budgeter.Limits { return r.settings.Load().Budget.limits() }),
		budgeter.WithClock(chronometer.New()),
		budgeter.WithCount(r.tallier.Count),
	)
	if s.Quota.Enabled() {
		r.buildQuota(s)
	}
	r.buildForwarder(peers)
	r.buildRoutedComponents(s, peers)
}

// buildForwarder creates the component that carries service calls.
func (r *Runner) buildForwarder(peers *connector.Connector) {
	r.forwarder = forwarder.New(
		forwarder.WithSnapshot(r.subscriber.Snapshot),
		forwarder.WithPick(r.pickForServiceCall),
		forwarder.WithAcquire(r.acquireForServiceCall),
		forwarder.WithLoad(r.limiter.Load),
		forwarder.WithUpstream(r.announcer.Upstream),
		forwarder.WithClaim(r.claimer.Claim),
		forwarder.WithRelease(r.claimer.Release),
		forwarder.WithFinish(r.claimer.Finish),
		forwarder.WithBudget(forwarder.Budget{
			StartNestedCall: r.budgeter.StartNestedCall, Check: r.budgeter.Check, Begin: r.budgeter.Begin,
		}),
		forwarder.WithAuthorizer(r.authorizer),
		forwarder.WithQuota(r.takeToken()),
		forwarder.WithHeaderNames(r.names),
		forwarder.WithDialPeer(peers.Dial),
		forwarder.WithAccount(r.account),
	)
}

// buildRoutedComponents creates the components that carry routed calls.
func (r *Runner) buildRoutedComponents(s Settings, peers *connector.Connector) {
	r.deliverer = deliverer.New(
		deliverer.WithUpstream(r.announcer.Upstream),
		deliverer.WithAcquire(r.acquireForRoutedCall),
		deliverer.WithUnreachable(r.announcer.MarkUnreachable),
		deliverer.WithLoad(r.limiter.Load),
		deliverer.WithBudget(r.budgeter.Check, r.budgeter.Begin),
		deliverer.WithDropKey(r.authorizer.DropKey),
		deliverer.WithHeaderNames(r.names),
		deliverer.WithAccount(r.account),
	)
	r.dispatcher = dispatcher.New(
		dispatcher.WithSnapshot(r.subscriber.Snapshot),
		dispatcher.WithConfigSource(r.configSource),
		dispatcher.WithPick(r.pickForRoutedCall),
		dispatcher.WithLocalDelivery(s.Name, r.deliverer.Deliver),
		dispatcher.WithDomain(s.Domain),
		dispatcher.WithCallerService(func() string { return r.settings.Load().Service }),
		dispatcher.WithStartCall(r.budgeter.StartCall),
		dispatcher.WithAuthorizer(r.authorizer),
		dispatcher.WithQuota(r.takeToken()),
		dispatcher.WithDial(peers.Dial, peerDialTimeout),
		dispatcher.WithHeaderNames(r.names),
		dispatcher.WithLogger(r.log.Named("dispatcher")),
	)
	r.pipeliner = pipeliner.New(
		pipeliner.WithHandler(r.handleRouted),
		pipeliner.WithBounds(r.callerBounds),
		pipeliner.WithAccount(r.account),
		pipeliner.WithMaxConnections(r.connections.callers),
		pipeliner.WithLogger(r.log.Named("pipeliner")),
	)
}

// announcementLifetime returns how long an announcement stays valid without being repeated.
func announcementLifetime(s Settings) time.Duration {
	if s.ReportInterval > 0 {
		return missedReportLimit * time.Duration(s.ReportInterval)
	}
	return announcer.DefaultLifetime
}
