// Package jayedge wires an instance that relays requests as they are on a
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

	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jaylink"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jayrelay"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytask"
	"jayfield.example/jay/jaytraffic"
)

const (
	// registryPart and registryFresh are the parts of the time in which a leaving upstream may
	// still get new work that pass between two reads of the registry, and until a watcher
	// that may be cut off from the store is no longer believed.
	registryPart  = 0.36
	registryFresh = 0.7
	// registryLook is the time between two looks at what the watcher has read.
	registryLook = 250 * time.Millisecond
	// policyFresh and memberFresh are the ages up to which what another instance has read is
	// used; both topics are held at the store, for 4 and 10 s.
	policyFresh = 5500 * time.Millisecond
	memberFresh = 12 * time.Second
	// memberRest is the time between two reads of the members while they change: each change
	// ends the held reads of all zones, and instances tell each other directly as well.
	memberRest = time.Second
	// sweepPause is the time between two looks at resting connections.
	sweepPause = time.Second
	// headerBound bounds the header of a question to the instance itself.
	headerBound = 5 * time.Second
	// stopMargin is the part of the grace that is left for the end of the process.
	stopMargin = 700 * time.Millisecond
	// answersKept is how many lifetimes some callers keep an answer.
	answersKept = 3
	// storeBound bounds the note to the store that the instance leaves.
	storeBound = time.Second
	// retryPause and retryBurst bound the calls of an instance to a store that does not answer:
	// with three topics, each is tried again within 3 s, less than the 4 s after which the
	// users' letter counts on an instance again.
	retryPause = time.Second
	retryBurst = 3
)

// Edge is a running instance. Its parts have a done channel each and are
// stopped in the reverse order of their start.
type Edge struct {
	settings Settings
	self     jaymember.Member
	log      *slog.Logger
	metrics  *jaymetric.Set
	series   *jaymetric.Exposition
	policies *policies
	placer   *placer
	budgets  *budgets
	// retries bounds the calls to a store that does not answer.
	retries *rate.Limiter
	pool    *jaylink.Pool
	server  *jayrelay.Server
	roster  *jayroster.Roster
	group   *jaytask.Group
	small   []*http.Server
	leaving atomic.Bool
	// lifetime is how long callers may keep entry addresses, as a time.Duration.
	lifetime   atomic.Int64
	members    atomic.Pointer[[]jaymember.Status]
	policyFeed atomic.Pointer[jaystore.Follower]
	// behind is used by the roster's task alone.
	behind lag
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
	e.budgets = newBudgets(settings.Budget)
	e.retries = rate.NewLimiter(rate.Every(retryPause), retryBurst)
	e.placer = newPlacer(adapter, jayplace.Place{Zone: settings.Zone, Region: settings.Region}, settings.Regions, log)
	e.policies = &policies{adapter: adapter, log: log, changed: e.policyChanged}
	e.pool = jaylink.NewPool(jaylink.NewDialer())
	store := adapter.Store(settings.Store, e.series)
	if err := e.listen(adapter, store); err != nil {
		return nil, err
	}
	e.follow(store, jaystore.TopicMembers, jaystore.NewMirror(e.roster), 0, memberFresh, 0, jaystore.WithBatchDelay(memberRest))
	e.policyFeed.Store(e.follow(store, jaystore.TopicPolicy, jaystore.NewMirror(e.policies), 0, policyFresh, 0))
	drain := float64(settings.Drain)
	e.follow(store, jaystore.TopicUpstreams, jaystore.NewMirror(e.placer, jaystore.WithDeduplication(e.placer.repeats)), registryLook,
		time.Duration(registryFresh*drain), time.Duration(registryPart*drain))
	e.group.Every(sweepPause, func(context.Context) { e.pool.Sweep(time.Now()) })
	log.Info("instance started", "instance", e.self.Name, "incarnation", e.self.Incarnation, "zone", e.self.Zone,
		"caller", settings.Caller, "store", settings.Store)
	return e, nil
}

// Entries answers where callers connect.
func (e *Edge) Entries(q Question) ([]string, time.Duration) {
	members := append([]jaymember.Status{}, *e.members.Load()...)
	self := e.self
	e.stand(&self)
	members = append(members, jaymember.Status{Member: self})
	source := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // A draw needs no secrecy.
	near := jayentry.Near(q.Region, q.Zone, members, source)
	addresses := make([]string, 0, len(near))
	for _, m := range near {
		addresses = append(addresses, m.Address)
	}
	return addresses, time.Duration(e.lifetime.Load())
}

// Ready reports whether the instance takes callers.
func (e *Edge) Ready() bool {
	return !e.leaving.Load() && e.policies.Policy() != nil
}

// Reload puts changed settings into force as far as a running instance can.
func (e *Edge) Reload(settings Settings) {
	e.budgets.bound(settings.Budget)
	e.lifetime.Store(int64(settings.Lifetime))
	e.log.Info("settings reloaded", "lifetime", settings.Lifetime, "budget", settings.Budget, "level", settings.Level,
		"restartNeeded", e.settings.fixed() != settings.fixed())
}

// State fills in the changing parts of the own statement.
func (e *Edge) State(member *jaymember.Member) {
	e.stand(member)
	e.placer.state(e.group.Context(), member)
}

// Stop ends the instance without cutting a request that ends within the grace.
func (e *Edge) Stop() {
	began := time.Now()
	e.leaving.Store(true)
	e.server.Leave()
	e.log.Info("instance leaving", "instance", e.self.Name, "grace", e.settings.Grace)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(e.settings.Grace-stopMargin))
	defer cancel()
	told, done := context.WithTimeout(ctx, storeBound)
	e.roster.Leave(told)
	done()
	// Answers that name the instance are used for some lifetimes.
	kept := min(answersKept*e.settings.Lifetime, e.settings.Grace/2)
	select {
	case <-time.After(time.Until(began.Add(kept))):
	case <-ctx.Done():
	}
	e.server.Stop(ctx)
	for _, server := range e.small {
		_ = server.Close()
	}
	e.roster.Stop()
	e.group.Stop()
	e.placer.owner.Stop()
	e.pool.Close()
	e.log.Info("instance stopped", "instance", e.self.Name, "took", time.Since(began))
}

// stand fills in whether the instance takes callers.
func (e *Edge) stand(member *jaymember.Member) {
	member.Leaving = e.leaving.Load()
	if policy := e.policies.Policy(); policy != nil {
		member.Config = policy.Version
	}
}

// listen opens all listeners and serves them.
func (e *Edge) listen(adapter Adapter, store Store) error {
	relay := jayrelay.New(jayrelay.Parts{
		Policies: e.policies, Placer: e.placer, Budget: e.budgets, Links: e.pool,
		Dialect: adapter.Dialect(), Metrics: e.metrics, Series: e.series, Log: e.log,
	})
	listeners := make(map[string]net.Listener)
	for _, address := range []string{e.settings.Caller, e.settings.Ready, e.settings.Entry, e.settings.Peer, e.settings.Metric} {
		if address == "" {
			continue
		}
		listener, err := new(net.ListenConfig).Listen(context.Background(), "tcp", address)
		if err != nil {
			return errors.WithStack(err)
		}
		listeners[address] = listener
	}
	e.server = jayrelay.NewServer(listeners[e.settings.Caller], relay, e.log)
	e.serve(listeners[e.settings.Ready], adapter.ReadyHandler(e.Ready))
	e.serve(listeners[e.settings.Entry], adapter.EntryHandler(e))
	if listener, ok := listeners[e.settings.Metric]; ok {
		e.serve(listener, e.metricHandler())
	}
	e.roster = jayroster.Start(jayroster.Parts{
		Self: e.self, Source: e, Writer: store, Key: []byte(e.settings.PeerKey),
		Listener: listeners[e.settings.Peer], Log: e.log, Changed: e.membersChanged,
	})
	return nil
}

// serve serves a listener of the instance itself.
func (e *Edge) serve(listener net.Listener, handler http.Handler) {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerBound}
	e.small = append(e.small, server)
	e.group.Go(func(context.Context) {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error("listener ended", "address", listener.Addr().String(), "error", err)
		}
	})
}

func (e *Edge) follow(store Store, topic jaystore.Topic, mirror *jaystore.Mirror, pause, fresh, every time.Duration, options ...jaystore.FollowerOption) *jaystore.Follower {
	feed := e.roster.Feed(store, topic, mirror, fresh, every)
	follower := jaystore.NewFollower(feed, topic, mirror, pause, e.log, append(options, jaystore.WithRetryLimiter(e.retries))...)
	e.group.Go(follower.Run)
	return follower
}

// membersChanged takes in what is known of the other instances.
func (e *Edge) membersChanged(members []jaymember.Status) {
	e.members.Store(&members)
	speaking := 1
	for _, m := range members {
		if !m.Silent || m.Listed {
			speaking++
		}
	}
	e.budgets.share(speaking)
	e.hearPolicies(members)
	e.placer.others(members)
}

// hearPolicies reads the policy from the store where another instance has had a
// newer one for a while: the watcher of the zone may be cut off, or the own read
// be held on a connection that has fallen silent.
func (e *Edge) hearPolicies(members []jaymember.Status) {
	greatest := int64(-1)
	for _, m := range members {
		greatest = max(greatest, m.Config)
	}
	policy, feed := e.policies.Policy(), e.policyFeed.Load()
	if policy == nil || feed == nil || !e.behind.due(time.Now(), policy.Version, greatest) {
		return
	}
	e.log.Info("newer policy heard of", "version", greatest, "inForce", policy.Version)
	feed.ReadNow()
}

// policyChanged takes in a policy that has just come into force.
func (e *Edge) policyChanged(policy *jaytraffic.Policy) {
	e.server.Configure(policy.Limits)
}
