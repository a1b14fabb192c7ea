// Package jayedge assembles an instance that relays requests unchanged, on a
// platform whose store holds the registry of upstreams and the traffic policy.
package jayedge

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"jayfield.example/jay/jayboot"
	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jayrelay"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jayserver"
	"jayfield.example/jay/jaystop"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytask"
	"jayfield.example/jay/jaytraffic"
	"jayfield.example/jay/jayusage"
)

const (
	// registryPollInterval is the time between two reads of the registry, each of which waits for
	// records itself.
	registryPollInterval = 10 * time.Millisecond
	// registryHistoryLen is the number of records for each upstream that are read after a snapshot of the registry:
	// those that an upstream writes in the time for which the store keeps them, which is more than that in which a
	// write may take effect late and an entry expires.
	registryHistoryLen = 16
	// memberPollWait is how long a long poll of the members waits at the store, and memberMaxAge the
	// time since the store's last answer up to which another instance's copy of them is used. No
	// change of the list has to take effect within a time, since instances also exchange heartbeats.
	memberPollWait = 9 * time.Second
	memberMaxAge   = 12 * time.Second
	// memberBatchDelay is the time between two reads of the members while they change: each change
	// ends the long polls of all zones, and instances also exchange their status directly.
	memberBatchDelay = time.Second
	// sweepInterval is the time between two sweeps of idle connections.
	sweepInterval = time.Second
	// headerTimeout is the time limit for reading the header of a request to the instance itself.
	headerTimeout = 5 * time.Second
	// The limits of connections until the first policy is loaded.
	initialMaxHeaderBytes = 16 << 10
	initialHeaderTimeout  = 3 * time.Second
	initialIdleTimeout    = 15 * time.Second
	// memoryParts is the number of parts of the memory limit of which one may be used by buffered
	// requests and responses. A buffer that grows takes up to three times its content.
	memoryParts = 8
	// leaveTimeout limits the write to the store which announces that the instance leaves.
	leaveTimeout = time.Second
	// retryInterval and retryBurst limit the calls of an instance to an unavailable store. With
	// three topics, each is retried within 3 s, and at once if another one is answered. So the registry is
	// read soon enough to keep removed entries for the grace period and still be up to date 4 s after
	// the store is available again. The duty has its own limit.
	retryInterval = time.Second
	retryBurst    = 3
)

// Edge is a running instance. Stop stops its listeners before the tasks and the
// connections that they use.
type Edge struct {
	settings Settings
	self     jaymember.Member
	log      *slog.Logger
	metrics  *jaymetric.Set
	series   *jaymetric.Exposition
	policies *policies
	placer   *placer
	// admission holds requests of client accounts while engines are overloaded.
	admission *admission
	budgets   *budgets
	// duty is nil if the settings have no duties.
	duty *Duty
	// followers share a limit on the calls to an unavailable store.
	followers *jaystore.Group
	// contact is the instance's contact with the store.
	contact *contact
	// streams knows the versions of upstreams that began streams.
	streams *streams
	// memory limits what is buffered of requests and responses.
	memory  *jaylimit.Memory
	pool    *jaylink.Pool
	relay   *jayrelay.Relay
	server  *jayserver.Server
	roster  *jayroster.Roster
	group   *jaytask.Group
	servers []*http.Server
	leaving atomic.Bool
	// closed is set during a planned stop, shortly before no more connections are accepted.
	closed atomic.Bool
	// lifetime is how long callers may cache entry addresses, as a time.Duration.
	lifetime       atomic.Int64
	members        atomic.Pointer[[]jaymember.Status]
	policyFollower atomic.Pointer[jaystore.Follower]
	// store and registry are the platform's store and this instance's copy of the registry.
	store    Store
	registry *jaystore.Mirror
	// scale orders engines, nil if it is no duty of the deployment.
	scale atomic.Pointer[Scale]
	// policyLag is used only by the roster's task.
	policyLag lag
	// meter counts requests by account and measures the demand, nil if no duty needs them.
	meter *jayusage.Meter
}

// Start starts an instance and returns once it listens.
func Start(settings Settings, adapter Adapter, log *slog.Logger) (*Edge, error) {
	e := &Edge{settings: settings, log: log, metrics: jaymetric.NewSet(log), series: jaymetric.NewExposition(), group: jaytask.NewGroup()}
	e.self = jaymember.Member{
		Name: settings.Name, Incarnation: uuid.NewString(), Address: settings.Caller, Peer: settings.Peer,
		Region: settings.Region, Zone: settings.Zone, Config: -1,
	}
	e.members.Store(&[]jaymember.Status{})
	e.lifetime.Store(int64(settings.Lifetime))
	e.policyLag.tolerance = lagTolerance(settings.Apply)
	e.budgets = newBudgets(settings.Budget)
	e.meter = newMeter(settings.Provider)
	e.followers = jaystore.NewGroup(rate.NewLimiter(rate.Every(retryInterval), retryBurst))
	e.placer = newPlacer(adapter, jayplace.Location{Zone: settings.Zone, Region: settings.Region}, settings.Regions, log)
	e.admission = newAdmission(e.placer, e.series, log)
	e.policies = newPolicies(adapter, log, e.policyChanged)
	e.memory = jaylimit.NewMemory(int64(settings.Memory) << 20 / memoryParts)
	e.pool = jaylink.NewPool(jaylink.NewDialer(), e.memory)
	policy, registry := jaystore.LongPolled(settings.Apply), jaystore.Polled(settings.Drain).WithHistory(registryHistoryLen)
	polls := jaystore.Polls{jaystore.TopicPolicy: policy.Wait, jaystore.TopicMembers: memberPollWait}
	e.contact = newContact()
	store := Store(observedStore{Store: adapter.Store(settings.Store, polls, e.series), contact: e.contact})
	e.streams = newStreams(streamOptions{
		adapter: adapter, store: store, instances: func() int { return len(*e.members.Load()) + 1 },
		storeFails: func() bool { return e.contact.State() == jaymember.ContactFails },
		run:        e.group.Go, series: e.series, log: log,
	})
	e.placer.streams = e.streams
	if settings.Provider.hasDuties() {
		provider := adapter.Provider(settings.Provider.Address, e.series)
		e.duty = newDuty(e.self, settings.Provider.Lease, jayboot.NewClock().Now, store, e.contact, provider, log)
		e.duty.show(e.series)
	}
	if err := e.listen(adapter, store); err != nil {
		e.group.Stop()
		e.admission.Stop()
		e.placer.owner.Stop()
		return nil, err
	}
	e.follow(store, jaystore.TopicMembers, jaystore.NewMirror(e.roster), 0, jaystore.Freshness{MaxAge: memberMaxAge}, jaystore.WithBatchDelay(memberBatchDelay))
	e.policyFollower.Store(e.follow(store, jaystore.TopicPolicy, e.policies.mirror, 0, policy))
	e.store, e.registry = store, jaystore.NewMirror(e.placer, jaystore.WithHistory(newRegistryHistory(adapter), jayfleet.Retention))
	e.follow(store, jaystore.TopicUpstreams, e.registry, registryPollInterval, registry)
	e.startDuties(store)
	e.group.Go(e.streams.Run)
	e.group.Every(sweepInterval, func(context.Context) { e.pool.Sweep(time.Now()) })
	log.Info("instance started", "instance", e.self.Name, "incarnation", e.self.Incarnation, "zone", e.self.Zone,
		"caller", settings.Caller, "store", settings.Store)
	return e, nil
}

// startDuties starts the task that holds the duties at the control API, and those that carry them out.
func (e *Edge) startDuties(store Store) {
	if e.duty == nil {
		return
	}
	e.group.Go(e.duty.run)
	if settings := e.settings.Provider; settings.Usage {
		e.group.Go(newUsageTask(usageOptions{
			name: e.self.Name, window: settings.Window, late: settings.Late,
			holder: e.duty, provider: e.duty.Provider(), store: store, collector: e.roster,
			now: func() time.Time { return e.meter.Time(time.Now()) }, accounts: e.policies.AccountNames, series: e.series, log: e.log,
		}).run)
	}
	if e.settings.Provider.Scale {
		demand := newDemandCollector(e.duty, e.roster)
		e.group.Every(demandInterval, demand.collect)
		e.StartScale(ScaleSources{Holder: e.duty, Provider: e.duty.Provider(), Demand: demand, Figures: measuredFigures{e.placer}})
	}
}

// Duty returns the instance's part in the duties at the control API, or nil if the settings have none.
func (e *Edge) Duty() *Duty {
	return e.duty
}

// Entries returns the addresses to which callers connect.
func (e *Edge) Entries(q EntryQuery) ([]string, time.Duration) {
	members := append([]jaymember.Status{}, *e.members.Load()...)
	self := e.self
	e.fillStatus(&self)
	members = append(members, jaymember.Status{Member: self})
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Load balancing needs no secrecy.
	near := jayentry.Near(q.Region, q.Zone, members, source)
	addresses := make([]string, 0, len(near))
	for _, m := range near {
		addresses = append(addresses, m.Address)
	}
	return addresses, time.Duration(e.lifetime.Load())
}

// Ready reports whether the instance accepts callers.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.policies.Policy() != nil && e.placer.loaded.Load()
}

// Reload applies changed settings, except those that need a restart.
func (e *Edge) Reload(settings Settings) {
	e.budgets.setLimits(settings.Budget)
	e.lifetime.Store(int64(settings.Lifetime))
	if scale := e.scale.Load(); scale != nil {
		scale.Configure(settings.Scale)
	}
	e.log.Info("settings reloaded", "lifetime", settings.Lifetime, "budget", settings.Budget, "scale", settings.Scale, "level", settings.Level,
		"restartNeeded", e.settings.restartOnly() != settings.restartOnly())
}

// FillHeartbeat fills in the changing fields of this instance's heartbeat.
func (e *Edge) FillHeartbeat(member *jaymember.Member) {
	e.fillStatus(member)
	e.placer.fillWork(e.group.Context(), member)
}

// Stop stops the instance by the plan of package jaystop: requests that it takes end within the grace
// period, except some that were taken before callers could know of the stop.
func (e *Edge) Stop() {
	began := time.Now()
	plan := jaystop.NewPlan(began, e.settings.Grace, time.Duration(e.lifetime.Load()))
	e.leaving.Store(true)
	timer := e.relay.BeginStop(plan)
	defer timer.Stop()
	e.admission.BeginStop(func() bool { return len(e.others()) > 0 })
	e.server.Drain()
	e.log.Info("instance leaving", "instance", e.self.Name, "grace", e.settings.Grace)
	ctx, cancel := context.WithDeadline(context.Background(), plan.End())
	defer cancel()
	released := e.releaseDuty(ctx)
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	e.roster.Leave(leaveCtx)
	cancelLeave()
	waitUntil(ctx, plan.Open())
	e.closed.Store(true)
	waitUntil(ctx, plan.Closed())
	e.server.Stop(ctx)
	<-released
	for _, server := range e.servers {
		_ = server.Close()
	}
	e.roster.Stop()
	e.group.Stop()
	e.admission.Stop()
	e.placer.owner.Stop()
	e.pool.Close()
	e.log.Info("instance stopped", "instance", e.self.Name, "took", time.Since(began))
}

// waitUntil waits until a point in time or until ctx ends.
func waitUntil(ctx context.Context, at time.Time) {
	select {
	case <-time.After(time.Until(at)):
	case <-ctx.Done():
	}
}

// others returns the addresses of other instances that take requests, near ones first.
func (e *Edge) others() []string {
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Load balancing needs no secrecy.
	var addresses []string
	for _, m := range jayentry.Near(e.self.Region, e.self.Zone, *e.members.Load(), source) {
		if m.Usable() {
			addresses = append(addresses, m.Address)
		}
	}
	return addresses
}

// fillStatus fills in whether the instance is leaving and, while it can serve requests, the
// version of its policy.
func (e *Edge) fillStatus(member *jaymember.Member) {
	member.Leaving, member.Config = e.leaving.Load(), -1
	if policy := e.policies.Policy(); policy != nil && e.placer.loaded.Load() && !e.closed.Load() {
		member.Config = policy.Version
	}
	if e.duty != nil {
		member.Store = e.contact.State()
	}
}

// listen opens all listeners and serves them.
func (e *Edge) listen(adapter Adapter, store Store) error {
	options := jayrelay.Options{
		Policies: e.policies, Confirmer: newConfirmer(e.settings.Apply, e.policies.Age, e.readPolicy, e.group.Go), Apply: e.settings.Apply,
		Placer: e.placer, Budget: e.budgets, Links: e.pool,
		Dialect: adapter.Dialect(), Metrics: e.metrics, Series: e.series, Log: e.log, Memory: e.memory, Others: e.others,
		Admission: e.admission, Streams: e.streams,
	}
	if e.meter != nil {
		options.Usage, options.Demand = e.meter, e.meter
	}
	e.relay = jayrelay.New(options)
	listeners := make(map[string]net.Listener)
	for _, address := range []string{e.settings.Caller, e.settings.Ready, e.settings.Entry, e.settings.Peer, e.settings.Metric} {
		if address == "" {
			continue
		}
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			for _, opened := range listeners {
				_ = opened.Close()
			}
			return errors.WithStack(err)
		}
		listeners[address] = listener
	}
	e.server = jayserver.New(listeners[e.settings.Caller], e.relay, initialLimits(), e.log)
	e.serve(listeners[e.settings.Ready], adapter.ReadyHandler(e.Ready))
	e.serve(listeners[e.settings.Entry], adapter.EntryHandler(e))
	if listener, ok := listeners[e.settings.Metric]; ok {
		e.serve(listener, e.metricHandler())
	}
	e.roster = jayroster.Start(jayroster.Options{
		Self: e.self, Source: e, Writer: store, Key: []byte(e.settings.PeerKey),
		Listener: listeners[e.settings.Peer], Log: e.log, Series: e.series, Changed: e.membersChanged, Reported: e.placer.updateReport,
		Meter: e.meter, Streams: e.streams.handlePeer,
	})
	e.streams.connect(e.roster.AskStreams, func() []jaymember.Status { return *e.members.Load() })
	return nil
}

// initialLimits returns the limits of connections until the first policy is loaded.
func initialLimits() jaytraffic.Limits {
	return jaytraffic.Limits{Header: initialMaxHeaderBytes, HeaderTimeout: initialHeaderTimeout, IdleTimeout: initialIdleTimeout}
}

// serve serves requests to the instance itself on a listener.
func (e *Edge) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	e.servers = append(e.servers, server)
	e.group.Go(func(context.Context) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener failed", "address", listener.Addr().String(), "error", err)
		}
	})
}

func (e *Edge) follow(store Store, topic jaystore.Topic, mirror *jaystore.Mirror, interval time.Duration, fresh jaystore.Freshness, options ...jaystore.FollowerOption) *jaystore.Follower {
	reader := e.roster.TopicReader(store, topic, mirror, fresh.MaxAge, fresh.Interval).WithPollWait(fresh.Wait).WithHistory(fresh.History)
	follower := jaystore.NewFollower(reader, topic, mirror, interval, e.log, append(options, jaystore.WithGroup(e.followers))...)
	e.group.Go(follower.Run)
	return follower
}

// membersChanged processes a changed status of the other instances.
func (e *Edge) membersChanged(members []jaymember.Status, population int) {
	e.members.Store(&members)
	lowest := true
	for _, m := range members {
		lowest = lowest && (!m.Usable() || e.self.Incarnation < m.Incarnation)
	}
	e.budgets.setMembers(population)
	e.checkPolicyLag(members)
	e.placer.setTrials(lowest)
	if e.duty != nil {
		e.duty.setMembers(members, e.Ready())
	}
}

// releaseDuty begins to release the duties. The channel that it returns is closed at the end of that.
func (e *Edge) releaseDuty(ctx context.Context) <-chan struct{} {
	released := make(chan struct{})
	go func() {
		defer close(released)
		if e.duty == nil {
			return
		}
		releaseCtx, cancel := context.WithTimeout(ctx, releaseTimeout)
		defer cancel()
		e.duty.Release(releaseCtx)
	}()
	return released
}

// checkPolicyLag reads the policy from the store if another instance has had a newer
// one for some time: the watcher of the zone may be cut off, or this instance's long
// poll may be pending on a connection that no longer delivers anything.
func (e *Edge) checkPolicyLag(members []jaymember.Status) {
	newest := int64(-1)
	for _, m := range members {
		newest = max(newest, m.Config)
	}
	policy, follower := e.policies.Policy(), e.policyFollower.Load()
	if policy == nil || follower == nil || !e.policyLag.due(time.Now(), policy.Version, newest) {
		return
	}
	e.log.Info("newer policy on another instance", "version", newest, "inForce", policy.Version)
	follower.ReadNow()
}

// readPolicy requests a read of the policy.
func (e *Edge) readPolicy() {
	if follower := e.policyFollower.Load(); follower != nil {
		follower.ReadNow()
	}
}

// policyChanged applies the limits of a policy that has just come into force.
func (e *Edge) policyChanged(policy *jaytraffic.Policy) {
	e.server.Configure(policy.Limits)
	e.streams.setPolicy(policy)
}
