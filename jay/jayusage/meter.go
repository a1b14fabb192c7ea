package jayusage

import (
	"sync"
	"time"

	"jayfield.example/jay/jaymember"
)

// echoTTL is the age up to which a stamp of another instance is answered.
const echoTTL = 10 * time.Second

// Stamp is the time of day that an instance states in a heartbeat, in microseconds.
type Stamp struct {
	// TimeOfDay is the own time of day, and Mono the own monotonic clock, which only its sender reads.
	TimeOfDay, Mono int64
	// Common is the difference of the median of Weight clocks to TimeOfDay.
	Common int64
	Weight int
}

// IsZero reports whether no time is stated.
func (s Stamp) IsZero() bool {
	return s.TimeOfDay == 0
}

// Echo answers a stamp: TimeOfDay is the time of day of the sender of the echo when the monotonic clock of
// its receiver was Mono. With it a request gives a sample that is as exact as that of a reply.
type Echo struct {
	Mono, TimeOfDay int64
}

// MeterOptions configures a Meter.
type MeterOptions struct {
	// Window is the length of the windows.
	Window time.Duration
	// Usage is set if requests are counted by account; without it only demand is measured.
	Usage bool
	// Start is any point in time before the first use.
	Start time.Time
	// Now returns the present time.
	Now func() time.Time
	// Wall returns the own time of day at a point in time, if it differs from what that states.
	Wall func(at time.Time) time.Time
}

// Meter counts the requests that this instance begins, measures its demand, keeps the agreed time, and holds
// what other instances state of the same. It is safe for concurrent use.
type Meter struct {
	options MeterOptions

	mu      sync.Mutex
	clock   *Clock
	counter *Counter
	cells   *Cells
	demand  *Demand
	demands *Demands
	// echoes holds the latest stamp of each instance that replied.
	echoes map[string]echo
}

// echo is a stamp of another instance, and the own monotonic clock when it was made.
type echo struct {
	mono int64
	at   time.Duration
}

// NewMeter returns a meter.
func NewMeter(options MeterOptions) *Meter {
	if options.Wall == nil {
		options.Wall = func(at time.Time) time.Time { return at }
	}
	return &Meter{
		options: options, clock: NewClock(), counter: NewCounter(), cells: NewCells(), demand: NewDemand(), demands: NewDemands(), echoes: make(map[string]echo),
	}
}

// CountsUsage reports whether requests are counted by account.
func (m *Meter) CountsUsage() bool {
	return m.options.Usage
}

// Begun counts a request of an account that began to run.
func (m *Meter) Begun(account string, at time.Time) {
	if !m.options.Usage {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counter.Add(m.window(at), AccountHash(account))
}

// Admit records a prompt for a service.
func (m *Meter) Admit(service string, prefill, output int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.Admit(m.mono(m.options.Now()), ServiceHash(service), prefill, output)
}

// UsePrefix records that a prompt for a service begins with a shared prefix.
func (m *Meter) UsePrefix(service, prefix string, tokens int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.Use(m.mono(m.options.Now()), ServiceHash(service), prefix, tokens)
}

// Prefilled records that prompt tokens for a service are no longer queued.
func (m *Meter) Prefilled(service string, prefill int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.Prefilled(ServiceHash(service), prefill)
}

// End records the end of a request for a service.
func (m *Meter) End(service string, missed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demand.End(m.mono(m.options.Now()), ServiceHash(service), missed)
}

// Time returns the agreed time of day at a point in time.
func (m *Meter) Time(at time.Time) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.time(at)
}

// Spread returns the difference between the clocks that this instance observes.
func (m *Meter) Spread() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock.Spread()
}

// Dropped returns the number of requests and cells that were not kept since there were too many.
func (m *Meter) Dropped() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counter.dropped + m.cells.dropped
}

// Stamp returns what this instance states about the time of day.
func (m *Meter) Stamp(now time.Time) Stamp {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.options.Usage {
		return Stamp{}
	}
	own := m.updateOwn(now)
	s := Stamp{TimeOfDay: m.options.Wall(now).UnixMicro(), Mono: m.mono(now).Microseconds()}
	if common, weight := m.clock.Common(); weight > 0 {
		s.Common, s.Weight = (common - own).Microseconds(), weight
	}
	return s
}

// ObserveReply takes a sample from the stamp in a reply: it was made half of the round trip before
// the reply arrived.
func (m *Meter) ObserveReply(instance string, s Stamp, sentAt, receivedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.IsZero() || !m.options.Usage {
		return
	}
	made := m.mono(receivedAt) - receivedAt.Sub(sentAt)/2
	m.echoes[instance] = echo{mono: s.Mono, at: made}
	m.observe(receivedAt, instance, s, microseconds(s.TimeOfDay)-made)
}

// Echo returns the answer to the latest stamp of an instance, zero if there is none.
func (m *Meter) Echo(now time.Time, instance string) Echo {
	m.mu.Lock()
	defer m.mu.Unlock()
	e, ok := m.echoes[instance]
	if !ok || m.mono(now)-e.at > echoTTL {
		return Echo{}
	}
	return Echo{Mono: e.mono, TimeOfDay: (m.updateOwn(now) + e.at).Microseconds()}
}

// ObserveEcho takes a sample from the echo in a request.
func (m *Meter) ObserveEcho(now time.Time, instance string, s Stamp, e Echo) {
	m.mu.Lock()
	defer m.mu.Unlock()
	made := microseconds(e.Mono)
	if e.TimeOfDay == 0 || s.IsZero() || !m.options.Usage || (m.mono(now)-made).Abs() > echoTTL {
		return
	}
	m.observe(now, instance, s, microseconds(e.TimeOfDay)-made)
}

// observe takes a sample of another instance's time of day, as an offset to the own monotonic clock.
func (m *Meter) observe(now time.Time, instance string, s Stamp, own time.Duration) {
	m.updateOwn(now)
	m.clock.Observe(m.mono(now), instance, Sample{Own: own, Common: own + microseconds(s.Common), Weight: s.Weight})
}

// Cells returns the own cells that changed after a version, and the version up to which they lead.
func (m *Meter) Cells(version uint64) ([]Cell, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counter.Since(version)
}

// Merge merges the cells of an incarnation in a zone. Those of windows that are not kept, or have not begun, are
// dropped: their number is bounded whatever another instance sends. It reports whether all were kept.
func (m *Meter) Merge(now time.Time, incarnation, zone string, cells []Cell) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	first, current := m.first(now), m.window(now)
	kept := make([]Cell, 0, len(cells))
	for _, c := range cells {
		if c.Window >= first && c.Window <= current+1 {
			kept = append(kept, c)
		}
	}
	m.cells.Merge(incarnation, zone, kept)
	return len(kept) == len(cells)
}

// Sum returns the counts of a window in a zone by the hash of the account, and the number of incarnations.
func (m *Meter) Sum(zone string, window int64) (counts map[uint32]uint64, incarnations int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cells.Sum(zone, window)
}

// Demand returns this instance's demand.
func (m *Meter) Demand(now time.Time) []jaymember.ServiceDemand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.demand.List(m.mono(now))
}

// SetDemand sets the demand that an instance in a zone states.
func (m *Meter) SetDemand(now time.Time, incarnation, zone string, services []jaymember.ServiceDemand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.demands.Set(m.mono(now), incarnation, zone, services)
}

// SumDemand returns the demand of a zone, and the number of instances that it comes from.
func (m *Meter) SumDemand(now time.Time, zone string) (services []jaymember.ServiceDemand, instances int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.demands.Sum(m.mono(now), zone)
}

// Update takes the own state over into what the instance holds of all, and drops what is too old.
func (m *Meter) Update(now time.Time, incarnation, zone string) {
	cells, _ := m.Cells(0)
	m.Merge(now, incarnation, zone, cells)
	m.SetDemand(now, incarnation, zone, m.Demand(now))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.updateOwn(now)
	first := m.first(now)
	m.counter.Prune(first)
	m.cells.Prune(first)
	m.demands.Prune(m.mono(now))
	for instance, e := range m.echoes {
		if m.mono(now)-e.at > echoTTL {
			delete(m.echoes, instance)
		}
	}
}

// mono returns the own monotonic clock.
func (m *Meter) mono(at time.Time) time.Duration {
	return at.Sub(m.options.Start)
}

// updateOwn updates the own sample of the clock and returns it.
func (m *Meter) updateOwn(now time.Time) time.Duration {
	mono := m.mono(now)
	own := time.Duration(m.options.Wall(now).UnixNano()) - mono
	m.clock.SetOwn(mono, own)
	return own
}

func (m *Meter) time(at time.Time) time.Time {
	if !m.clock.known {
		m.updateOwn(at)
	}
	return time.Unix(0, int64(m.mono(at)+m.clock.Offset()))
}

// window returns the number of the window of a point in time.
func (m *Meter) window(at time.Time) int64 {
	return WindowAt(m.time(at), m.options.Window)
}

// first returns the first window that is kept.
func (m *Meter) first(now time.Time) int64 {
	return WindowAt(m.time(now).Add(-keep), m.options.Window)
}

// WindowAt returns the number of the window of an agreed time.
func WindowAt(at time.Time, length time.Duration) int64 {
	return at.UnixNano() / int64(length)
}

// WindowEnd returns the end of a window.
func WindowEnd(window int64, length time.Duration) time.Time {
	return time.Unix(0, (window+1)*int64(length))
}

func microseconds(n int64) time.Duration {
	return time.Duration(n) * time.Microsecond
}
