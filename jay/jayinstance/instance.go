// Package jayinstance wires the parts of one entry instance together.
package jayinstance

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jayadmin"
	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaycontrol"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaylog"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymesh"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jayresponse"
	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jayserver"
	"jayfield.example/jay/jaysetting"
	"jayfield.example/jay/jaystate"
	"jayfield.example/jay/jaytask"
	"jayfield.example/jay/jaywatch"
)

// Instance is one running entry instance.
type Instance struct {
	settings    jaysetting.Settings
	incarnation string
	log         *slog.Logger
	metrics     *jaymetric.Set
	policy      jayroute.Policy
	dial        jayengine.Dial
	planner     func(jaycontrol.Demands) jaycontrol.Planner

	platform   *jaylog.Client
	list       *jaylist.Client
	engines    *jayengine.Client
	dispatcher *jaydispatch.Dispatcher
	home       *jayonce.Home
	mesh       *jaymesh.Mesh
	follower   *jayconfig.Follower
	poller     *jaywatch.Poller
	frontend   *jaycall.Frontend
	journal    *jayonce.Journal
	control    *jaycontrol.Controller
	rates      *jaylimit.Limiter
	collector  *jaystate.Collector
	writer     *jaylog.Writer

	group     *jaytask.Group
	peers     *jaypeer.Server
	callers   *jayserver.Server
	operators *jayserver.Server
	addresses Addresses
	// leaving is set when a planned stop began.
	leaving atomic.Bool
	// configured is set once a configuration is in force.
	configured atomic.Bool
}

// Addresses are where an instance listens.
type Addresses struct {
	Caller, Operator, Peer string
}

// Option changes an instance at its construction.
type Option func(*Instance)

// WithMetrics sets the counters.
func WithMetrics(metrics *jaymetric.Set) Option {
	return func(i *Instance) { i.metrics = metrics }
}

// WithDial sets how upstreams are connected to.
func WithDial(dial jayengine.Dial) Option {
	return func(i *Instance) { i.dial = dial }
}

// WithPlanner sets how the roles of engines are planned.
func WithPlanner(planner func(jaycontrol.Demands) jaycontrol.Planner) Option {
	return func(i *Instance) { i.planner = planner }
}

// WithPolicy sets the way to choose among upstreams.
func WithPolicy(policy jayroute.Policy) Option {
	return func(i *Instance) { i.policy = policy }
}

// Start starts an instance. It must be stopped.
func Start(settings jaysetting.Settings, log *slog.Logger, options ...Option) (*Instance, error) {
	i := &Instance{
		settings:    settings,
		incarnation: jaylog.NewIncarnation(),
		log:         log.With("instance", settings.Name),
		policy:      jayroute.PolicyPredict,
		group:       jaytask.NewGroup(),
		planner:     func(d jaycontrol.Demands) jaycontrol.Planner { return jaycontrol.NewDemandRoles(d) },
	}
	i.metrics = jaymetric.NewSet(i.log)
	for _, option := range options {
		option(i)
	}
	listeners, err := listen(settings)
	if err != nil {
		i.group.Stop()
		return nil, err
	}
	i.addresses = listeners.addresses()
	i.build()
	i.run(listeners)
	i.log.Info("instance started", "incarnation", i.incarnation, "caller", i.addresses.Caller,
		"operator", i.addresses.Operator, "peer", i.addresses.Peer)
	return i, nil
}

// Addresses returns where the instance listens.
func (i *Instance) Addresses() Addresses {
	return i.addresses
}

// Done is closed when the instance has stopped.
func (i *Instance) Done() <-chan struct{} {
	return i.group.Done()
}

// Dump returns the state of every part.
func (i *Instance) Dump(ctx context.Context) jaystate.Dump {
	return i.collector.Collect(ctx)
}

// Metrics returns the counters.
func (i *Instance) Metrics() *jaymetric.Set {
	return i.metrics
}

// ConfigPosition returns the offset of the first configuration record that is not in force,
// or -1 if there is no configuration yet.
func (i *Instance) ConfigPosition() int64 {
	return i.follower.Position()
}

// observeInvalid returns an observer that logs and counts the invalid responses of a source.
func (i *Instance) observeInvalid(source string) jayresponse.Observer {
	return func(err *jayresponse.Error) {
		i.metrics.Add(jaymetric.InvalidResponses, 1)
		i.log.Warn("invalid response", "source", source, "kind", err.Kind, "error", err)
	}
}

// build makes the parts; none of them listens yet.
func (i *Instance) build() {
	s := i.settings
	i.writer = jaylog.NewWriter(i.incarnation)
	i.platform = jaylog.NewClient(s.Platform, jaylog.WithObserver(i.observeInvalid("log")))
	i.list = jaylist.NewClient(s.Platform, i.observeInvalid("list"))
	i.engines = jayengine.NewClient(i.dial, i.observeInvalid("upstream"))
	i.rates = jaylimit.New()
	i.dispatcher = jaydispatch.New(jaydispatch.Options{
		Region: s.Region, Policy: i.policy, Limit: s.Queue, Seed: uint64(time.Now().UnixNano()),
		OnSlow: i.notifySlow,
	})
	worker := jaycall.NewWorker()
	issuer := jayonce.NewIssuer(i.incarnation, time.Now(), s.Ticket)
	i.home = jayonce.NewHome(issuer, worker, func(o jayonce.KeyOutcome) { i.journal.Record(o) }, i.metrics.ReportBrokenInvariant)
	i.mesh = jaymesh.New(jaymesh.Options{
		Self:     i.member(),
		Key:      []byte(s.PeerKey),
		Loads:    i.dispatcher,
		InFlight: func() int { return i.frontend.InFlight() },
		Share:    i.rates.SetShare,
		Home:     i.home,
		Log:      i.log,
	})
	i.follower = jayconfig.NewFollower(jayconfig.FollowerOptions{
		Reader:          i.platform,
		Appender:        i.platform,
		Writer:          i.writer,
		Peers:           i.mesh,
		Metrics:         i.metrics,
		Log:             i.log,
		CheckpointEvery: int64(s.Checkpoint),
		CheckpointAge:   s.Retention / checkpointParts,
		Prepare:         i.prepare,
		Apply:           i.apply,
	})
	i.mesh.SetConfigs(i.follower)
	i.journal = jayonce.NewJournal(jayonce.JournalOptions{
		Log: i.platform, Writer: i.writer, Peers: i.mesh, Home: i.home, Logger: i.log,
	})
	i.frontend = jaycall.NewFrontend(jaycall.Options{
		Region:      s.Region,
		Incarnation: i.incarnation,
		Hedge:       i.policy == jayroute.PolicyPredict,
		Secret:      []byte(s.PeerKey),
		Limits:      s.Limits,
		Configs:     i.follower,
		Entries:     entries{mesh: i.mesh, lifetime: s.Lifetime},
		Homes:       i.mesh,
		Home:        i.home,
		Intents:     i.journal,
		Dispatcher:  i.dispatcher,
		Engines:     i.engines,
		Rates:       i.rates,
		Metrics:     i.metrics,
		Log:         i.log,
	})
	worker.SetFrontend(i.frontend)
	i.collector = jaystate.NewCollector(i.parts()...)
}

// apply announces the first configuration in force to the peers; from then on callers may be sent here.
func (i *Instance) apply() {
	if !i.configured.Swap(true) {
		i.group.Go(i.mesh.Announce)
	}
}

// checkpointParts is the part of the log's retention after which a checkpoint is due.
const checkpointParts = 4

func (i *Instance) member() jaymember.Member {
	return jaymember.Member{
		Name:        i.settings.Name,
		Incarnation: i.incarnation,
		Address:     "http://" + i.addresses.Caller,
		Peer:        i.addresses.Peer,
		Region:      i.settings.Region,
		Zone:        i.settings.Zone,
		Config:      -1,
	}
}

// prepare gives the dispatcher a configuration before any request is read by it.
func (i *Instance) prepare(view *jayconfig.View) {
	i.dispatcher.Configure(view.State())
}

// run starts the parts that talk to others.
func (i *Instance) run(l listeners) {
	i.peers = jaypeer.NewServer(l.peer, []byte(i.settings.PeerKey), i.mesh, i.log)
	i.mesh.Start()
	i.follower.Start()
	i.poller = jaywatch.New(i.member(), i.mesh, i.follower, i.mesh, i.engines)
	i.group.Every(listPeriod, i.readList)
	i.control = jaycontrol.New(jaycontrol.Options{
		Cell: i.settings.Zone, Incarnation: i.incarnation, TTL: i.settings.Lease, Margin: i.settings.Margin,
		Log: i.platform, Writer: i.writer, Engines: i.engines, Configs: i.follower, Members: i.mesh,
		Planner: i.planner(i.mesh), OrderObserver: i.dispatcher, Metrics: i.metrics, Logger: i.log,
	})
	admin := jayadmin.NewServer(jayadmin.Options{
		Key:       i.settings.OperatorKey,
		Configs:   i.follower,
		Members:   i.mesh,
		Appender:  i.platform,
		Writer:    i.writer,
		Explainer: i.dispatcher,
		State:     i.collector,
		Metrics:   i.metrics,
		Log:       i.log,
	})
	i.callers = jayserver.New(l.caller, i.frontend.Handler(), connectionLimits(), i.log)
	i.operators = jayserver.New(l.operator, admin.Handler(), connectionLimits(), i.log)
}

// notifySlow notifies the peers of an upstream that has become slow.
func (i *Instance) notifySlow(name string) {
	i.metrics.Add(jaymetric.SlowTold, 1)
	i.log.Info("upstream slow", "upstream", name)
	i.mesh.NotifySlow(name)
}
