package jayedge

import (
	"context"
	"expvar"
	"log/slog"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaycapacity"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayprovider"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

const (
	scaleInterval = time.Second
	// scaleCallTimeout limits a call to the control API or the store. A call to the control API is made only
	// if the duty lasts for scaleMargin at least, so that it has ended before another instance calls.
	scaleCallTimeout = time.Second
	scaleMargin      = 1200 * time.Millisecond
	// maxOrders is the number of orders in a round. Each takes a call to the control API and one to the
	// store, where all duties of a deployment together may make 10 calls per second.
	maxOrders = 5
)

// ScaleHolder is the lease of the duty.
type ScaleHolder interface {
	// Holds returns the fencing token if the duty lasts for at least minRemaining.
	Holds(minRemaining time.Duration) (fence int64, ok bool)
}

// ScaleProvider receives orders of engines.
type ScaleProvider interface {
	Scale(ctx context.Context, authority jayprovider.Authority, order jayprovider.Order) error
}

// ScaleStore keeps the orders.
type ScaleStore interface {
	Newest(ctx context.Context, topic jaystore.Topic) (records []jaystore.Record, end jaystore.Position, err error)
	PutAt(ctx context.Context, topic jaystore.Topic, key string, value []byte, end jaystore.Position) error
}

// ScaleDemand returns what the instances of each availability zone put on a service.
type ScaleDemand interface {
	Demand(now time.Time, service string) map[string]jaycapacity.Demand
}

// ScaleFigures returns what an engine of each stage of a service achieves.
type ScaleFigures interface {
	Figures(service string) map[jayfleet.Stage]jaycapacity.Figure
}

// ScaleView is what the instance knows of the deployment.
type ScaleView interface {
	// Registered returns all upstreams and as of when they were read.
	Registered(ctx context.Context) (upstreams []jayfleet.Upstream, at time.Time, err error)
	Policy() *jaytraffic.Policy
	// Instances returns how many instances this one exchanges heartbeats with, itself included, and how
	// many are listed.
	Instances() (seen, listed int)
}

// ScaleOptions are the parts that a Scale uses.
type ScaleOptions struct {
	// Self is the name of the instance.
	Self     string
	Holder   ScaleHolder
	Provider ScaleProvider
	Store    ScaleStore
	Demand   ScaleDemand
	// Figures may be nil, as if there were no samples.
	Figures  ScaleFigures
	View     ScaleView
	Settings ScaleSettings
	// Zones holds the availability zones of the deployment, RegistryMaxAge the age from which a copy of the
	// registry is old.
	Zones          []string
	RegistryMaxAge time.Duration
	Now            func() time.Time
	Log            *slog.Logger
	Series         *jaymetric.Exposition
}

// Scale orders engines while the instance holds the duty. One goroutine at a time calls Run; Report may be
// called by any.
type Scale struct {
	ScaleOptions

	settings atomic.Pointer[ScaleSettings]
	services map[string]*scaledService
	// recorded holds the newest orders that the instance has read or recorded. It is kept while the instance does not hold the
	// duty, since the store may come back from a copy that lacks them.
	recorded recordedOrders
	// fence is the fencing token under which the records were read, 0 if they were not, and end the end of
	// the topic, -1 if it has to be read again.
	fence int64
	end   jaystore.Position
	// registered holds since when an engine has been in the registry, by ID and start.
	registered map[engineKey]time.Time
	report     atomic.Pointer[ScaleReport]
	gauges     map[gaugeKey]bool
}

// recordedOrders are recorded orders by service and group.
type recordedOrders map[string]map[jaycapacity.Group]scaleRecord

func (o recordedOrders) add(service string, group jaycapacity.Group, record scaleRecord) {
	if o[service] == nil {
		o[service] = make(map[jaycapacity.Group]scaleRecord)
	}
	o[service][group] = record
}

// addMissing adds the orders of which there is none under a higher fencing token. Of two under the same one, the known order
// counts: the other is an older one that a copy of the store has again, or one that was not sent, since its holder did not learn
// that it was recorded.
func (o recordedOrders) addMissing(known recordedOrders) {
	for service, groups := range known {
		for group, record := range groups {
			if record.Fence >= o[service][group].Fence {
				o.add(service, group, record)
			}
		}
	}
}

// scaledService is the state of a service.
type scaledService struct {
	planner *jaycapacity.Planner
	orders  *jaycapacity.Orders
	wanted  jaycapacity.Counts
	hold    jaycapacity.Hold
}

type engineKey struct {
	id   string
	born int64
}

// scaleRecord is an order in the store.
type scaleRecord struct {
	Wanted      int                `msgpack:"wanted"`
	Reason      jaycapacity.Reason `msgpack:"reason"`
	Holder      string             `msgpack:"holder"`
	Fence       int64              `msgpack:"fence"`
	DemandAge   time.Duration      `msgpack:"demand_age"`
	RegistryAge time.Duration      `msgpack:"registry_age"`
}

// NewScale returns a task that has not begun.
func NewScale(options ScaleOptions) *Scale {
	s := &Scale{ScaleOptions: options, recorded: make(recordedOrders), registered: make(map[engineKey]time.Time), gauges: make(map[gaugeKey]bool)}
	s.Configure(options.Settings)
	return s
}

// Configure sets the limits. It may be called by any goroutine.
func (s *Scale) Configure(settings ScaleSettings) {
	s.settings.Store(&settings)
}

// Run makes one round: it plans for each service with scaling limits and sends the orders that are due.
func (s *Scale) Run(ctx context.Context) {
	fence, ok := s.Holder.Holds(scaleMargin)
	if !ok {
		s.release()
		return
	}
	if (fence != s.fence || s.end < 0) && !s.load(ctx, fence) {
		return
	}
	policy := s.View.Policy()
	if policy == nil {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, scaleCallTimeout)
	upstreams, at, err := s.View.Registered(callCtx)
	cancel()
	if err != nil {
		s.Log.Warn("engines not planned", "error", err)
		return
	}
	s.observe(upstreams)
	report, left := &ScaleReport{Fence: fence}, maxOrders
	for _, name := range s.names(upstreams) {
		service, ok := policy.Service(name)
		if !ok || service.Scaling == nil {
			delete(s.services, name)
			continue
		}
		left -= s.round(ctx, service, upstreams, at, left, report)
	}
	s.publish(report)
}

// release forgets all but the recorded orders when another instance may hold the duty.
func (s *Scale) release() {
	if s.fence != 0 {
		s.Log.Info("orders of engines end", "reason", "this instance does not hold the duty", "fence", s.fence)
	}
	s.services, s.fence, s.end = nil, 0, -1
	s.report.Store(nil)
}

// load reads the recorded orders. With a new fencing token, the state continues from them and from those that the store
// has lost.
func (s *Scale) load(ctx context.Context, fence int64) bool {
	ctx, cancel := context.WithTimeout(ctx, scaleCallTimeout)
	defer cancel()
	records, end, err := s.Store.Newest(ctx, jaystore.TopicScale)
	if err != nil {
		s.Log.Warn("recorded orders of engines not read", "error", err)
		return false
	}
	recorded := make(recordedOrders)
	for _, r := range records {
		service, group, ok := parseScaleKey(r.Key)
		var record scaleRecord
		if err := msgpack.Unmarshal(r.Value, &record); err != nil || !ok {
			s.Log.Warn("recorded order of engines malformed", "key", r.Key, "offset", r.Position, "error", err)
			continue
		}
		if record.Fence > fence {
			s.Log.Warn("no orders of engines are sent", "reason", "another instance has recorded one under a higher fencing token", "own", fence, "recorded", record.Fence)
			return false
		}
		recorded.add(service, group, record)
	}
	recorded.addMissing(s.recorded)
	if fence != s.fence {
		s.services = make(map[string]*scaledService)
		s.Log.Info("orders of engines begin", "fence", fence, "recorded", len(records))
	}
	s.fence, s.end, s.recorded = fence, end, recorded
	return true
}

// scaleKey returns the key of the newest order for a group.
func scaleKey(service string, group jaycapacity.Group) string {
	return service + "/" + group.Zone + "/" + string(group.Kind)
}

func parseScaleKey(key string) (service string, group jaycapacity.Group, ok bool) {
	parts := strings.Split(key, "/")
	const fields = 3
	if len(parts) < fields {
		return "", group, false
	}
	last := len(parts) - 1
	group = jaycapacity.Group{Zone: parts[last-1], Kind: jaycapacity.Kind(parts[last])}
	known := group.Kind == jaycapacity.KindOnDemand || group.Kind == jaycapacity.KindPreemptible
	return strings.Join(parts[:last-1], "/"), group, known
}

// observe records since when engines have been registered.
func (s *Scale) observe(upstreams []jayfleet.Upstream) {
	now, registered := s.Now(), make(map[engineKey]time.Time, len(upstreams))
	for _, u := range upstreams {
		key := engineKey{u.ID, u.Born}
		if registered[key] = now; !s.registered[key].IsZero() {
			registered[key] = s.registered[key]
		}
	}
	s.registered = registered
}

// names returns the services that have upstreams or recorded orders.
func (s *Scale) names(upstreams []jayfleet.Upstream) []string {
	names := make(map[string]bool)
	for _, u := range upstreams {
		names[u.Service] = true
	}
	for name := range s.recorded {
		names[name] = true
	}
	return slices.Sorted(maps.Keys(names))
}

// round plans for a service and sends at most n orders. It returns how many.
func (s *Scale) round(ctx context.Context, service jaytraffic.Service, upstreams []jayfleet.Upstream, at time.Time, n int, report *ScaleReport) int {
	in, present := s.input(service, upstreams, at)
	state := s.state(service.Name, present)
	state.orders.Configure(jaycapacity.Limits{Min: service.Scaling.Min, Max: service.Scaling.Max, Boot: service.Scaling.Boot})
	in.Blocked = state.orders.Blocked()
	plan := state.planner.Plan(in)
	s.logPlan(service.Name, state, plan, in)
	report.add(service.Name, plan, state.orders.Ordered(), in)
	if plan.Hold != jaycapacity.HoldNone {
		return 0
	}
	orders := state.orders.Next(s.Now(), plan.Wanted, present, n)
	for _, order := range orders {
		result := s.send(ctx, service.Name, order, plan, in)
		state.orders.Record(s.Now(), order, result)
		s.Series.Count("scale_orders_total", jaymetric.Label{Name: "result", Value: string(result)})
	}
	return len(orders)
}

// input returns what the planner decides on, and the engines that take work.
func (s *Scale) input(service jaytraffic.Service, upstreams []jayfleet.Upstream, at time.Time) (jaycapacity.Input, jaycapacity.Counts) {
	now, present, settings := s.Now(), make(jaycapacity.Counts), s.settings.Load()
	in := jaycapacity.Input{
		Now: now, Scaling: *service.Scaling, Engine: service.Engine, Zones: s.Zones, DemandZones: s.Zones,
		Settings: jaycapacity.Settings{Floor: settings.Floor, Spend: settings.Spend, Freeze: settings.Freeze},
		Demand:   s.Demand.Demand(now, service.Name), RegistryAge: now.Sub(at), RegistryMaxAge: s.RegistryMaxAge,
	}
	in.Seen, in.Listed = s.View.Instances()
	if s.Figures != nil {
		in.Figures = s.Figures.Figures(service.Name)
	}
	zones := make(map[string]bool)
	for zone := range service.Scaling.ZonePrices {
		zones[zone] = true
	}
	for _, u := range upstreams {
		if u.Service != service.Name {
			continue
		}
		zones[u.Zone] = true
		group := jaycapacity.Group{Zone: u.Zone, Kind: jaycapacity.KindOnDemand}
		if u.Preemptible {
			group.Kind = jaycapacity.KindPreemptible
		}
		in.Engines = append(in.Engines, jaycapacity.Engine{Group: group, Stage: u.Stage, Leaving: u.Leaving, Age: now.Sub(s.registered[engineKey{u.ID, u.Born}])})
		if !u.Leaving {
			present[group]++
		}
	}
	if len(zones) > 0 {
		in.Zones = slices.Sorted(maps.Keys(zones))
	}
	return in, present
}

// state returns the state of a service, which continues from the recorded orders.
func (s *Scale) state(name string, present jaycapacity.Counts) *scaledService {
	if state, ok := s.services[name]; ok {
		return state
	}
	ordered, orders := make(jaycapacity.Counts), jaycapacity.NewOrders()
	for group, record := range s.recorded[name] {
		ordered[group] = record.Wanted
		orders.Restore(s.Now(), group, record.Wanted, present[group])
	}
	state := &scaledService{planner: jaycapacity.NewPlanner(ordered), orders: orders}
	s.services[name] = state
	return state
}

// send records an order and then makes the call.
func (s *Scale) send(ctx context.Context, service string, order jaycapacity.Order, plan jaycapacity.Plan, in jaycapacity.Input) jaycapacity.Result {
	fence, ok := s.Holder.Holds(scaleMargin)
	if !ok || fence != s.fence || s.end < 0 {
		return jaycapacity.ResultUnsent
	}
	log := s.Log.With("service", service, "zone", order.Zone, "kind", order.Kind, "number", order.Desired, "repeated", order.Repeated,
		"reason", plan.Reasons[order.Group], "fence", fence)
	if err := s.record(ctx, service, order, plan, in, fence); err != nil {
		// The record may exist all the same, and the topic then ends elsewhere.
		s.end = -1
		log.Warn("order of engines not recorded", "error", err)
		return jaycapacity.ResultUnsent
	}
	if fence, ok = s.Holder.Holds(scaleMargin); !ok || fence != s.fence {
		log.Info("order of engines not sent", "error", "the duty ends too soon")
		return jaycapacity.ResultUnsent
	}
	callCtx, cancel := context.WithTimeout(ctx, scaleCallTimeout)
	defer cancel()
	err := s.Provider.Scale(callCtx, jayprovider.Authority{Holder: s.Self, Fence: fence}, jayprovider.Order{
		Service: service, Zone: order.Zone, Desired: order.Desired, Preemptible: order.Kind == jaycapacity.KindPreemptible,
	})
	result := scaleResult(err)
	log.Info("order of engines", "result", result, "error", err)
	return result
}

// record writes an order to the store.
func (s *Scale) record(ctx context.Context, service string, order jaycapacity.Order, plan jaycapacity.Plan, in jaycapacity.Input, fence int64) error {
	record := scaleRecord{
		Wanted: order.Desired, Reason: plan.Reasons[order.Group], Holder: s.Self, Fence: fence, DemandAge: plan.DemandAge, RegistryAge: in.RegistryAge,
	}
	value, err := msgpack.Marshal(record)
	if err != nil {
		return err //nolint:wrapcheck // The record is always encodable.
	}
	ctx, cancel := context.WithTimeout(ctx, scaleCallTimeout)
	defer cancel()
	if err := s.Store.PutAt(ctx, jaystore.TopicScale, scaleKey(service, order.Group), value, s.end); err != nil {
		return err //nolint:wrapcheck // The caller logs it.
	}
	s.end++
	s.recorded.add(service, order.Group, record)
	return nil
}

// scaleResult returns what became of an order.
func scaleResult(err error) jaycapacity.Result {
	switch {
	case err == nil:
		return jaycapacity.ResultDone
	case jayerror.Is(err, jayprovider.KindRefused):
		return jaycapacity.ResultRefused
	case jayerror.Is(err, jayprovider.KindLimited):
		return jaycapacity.ResultLimited
	case jayerror.Is(err, jayprovider.KindFenced), jayerror.Is(err, jayprovider.KindFormat):
		return jaycapacity.ResultUnsent
	default:
		return jaycapacity.ResultUnknown
	}
}

// ScaleSources are the parts of a Scale that other parts of an instance provide.
type ScaleSources struct {
	Holder   ScaleHolder
	Provider ScaleProvider
	Demand   ScaleDemand
	Figures  ScaleFigures
}

// StartScale starts the orders of engines if they are a duty of the deployment.
func (e *Edge) StartScale(sources ScaleSources) {
	if !e.settings.Provider.Scale || e.settings.Provider.Address == "" {
		return
	}
	scale := NewScale(ScaleOptions{
		Self: e.self.Name, Holder: sources.Holder, Provider: sources.Provider, Store: e.store, Demand: sources.Demand, Figures: sources.Figures,
		View: edgeView{e}, Settings: e.settings.Scale, Zones: slices.Sorted(maps.Keys(e.settings.Regions)), RegistryMaxAge: e.settings.Drain,
		Now: time.Now, Log: e.log, Series: e.series,
	})
	e.scale.Store(scale)
	e.metrics.Map().Set("scale", expvar.Func(func() any { return scale.Report() }))
	e.group.Every(scaleInterval, scale.Run)
}

// edgeView is what an instance knows of the deployment.
type edgeView struct {
	edge *Edge
}

// Registered returns all upstreams and as of when they were read.
func (v edgeView) Registered(ctx context.Context) ([]jayfleet.Upstream, time.Time, error) {
	// Records read after this point in time only make the upstreams more recent.
	_, at := v.edge.registry.Position()
	upstreams, err := v.edge.placer.Registered(ctx)
	return upstreams, at, err
}

// Policy returns the policy in force, nil before the first one.
func (v edgeView) Policy() *jaytraffic.Policy {
	return v.edge.policies.Policy()
}

// Instances returns how many instances exchange heartbeats with this one, itself included, and how many are listed.
func (v edgeView) Instances() (seen, listed int) {
	members := *v.edge.members.Load()
	return jaymember.Live(members) + 1, len(members) + 1
}
