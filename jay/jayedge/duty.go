package jayedge

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"golang.org/x/time/rate"

	"jayfield.example/jay/jayduty"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayprovider"
	"jayfield.example/jay/jaystore"
)

const (
	// candidates is the number of usable instances, by incarnation, that are candidates besides the holder.
	// The second one is needed while the first one holds the duties, which an instance that doesn't read the
	// topic does not know.
	candidates = 2
	// retryPause is the time before a failed call to the store is repeated at the earliest.
	retryPause = 100 * time.Millisecond
	// dutyRetryInterval is the time between two retries while calls to the store fail, and between two
	// attempts that are made at once since another call has succeeded.
	dutyRetryInterval = time.Second
	// releaseTimeout limits the release of the duties in a planned stop: a call in flight ends within
	// jayprovider.Timeout, and the release is a call to the store.
	releaseTimeout = 2500 * time.Millisecond
	// maxDutyWait limits how long the task waits for a change.
	maxDutyWait = time.Hour
)

// storeContact is the instance's contact with the store.
type storeContact interface {
	State() jaymember.StoreContact
	onRecovered(notify func())
}

// DutyObserver is called when the instance begins to hold the duties and when it no longer does. It must not
// block. Holds is exact at any moment; the call may come later.
type DutyObserver func(fence int64, held bool)

// Duty is the instance's part in the duties at the control API, which one instance at a time holds. It is
// safe for concurrent use.
type Duty struct {
	self     jaymember.Member
	now      func() time.Duration
	store    Store
	provider jayprovider.Provider
	contact  storeContact
	log      *slog.Logger

	// retries limits the retries of failed calls to the store, attempts those that are made at once after
	// recovered was signalled: another call of this instance to the store has succeeded again.
	retries, attempts *rate.Limiter
	recovered         chan struct{}

	// machine, held, remaining and failing belong to the task. Held is the fencing token of the latest call to
	// the observers, 0 if the duties are not held. Remaining is how long the lease would have lasted when it was
	// given up. Failing is set if the last call to the store failed.
	machine   *jayduty.Machine
	held      int64
	remaining time.Duration
	failing   bool

	// lease is what the machine holds, fenced the highest fencing token that was refused.
	lease     atomic.Pointer[jayduty.Lease]
	fenced    atomic.Int64
	candidate atomic.Bool
	// wake makes the task take a step before the end of its wait.
	wake chan struct{}
	// released is closed once the duties are released.
	released    chan struct{}
	releaseOnce sync.Once
	done        chan struct{}

	mu        sync.Mutex
	observers []DutyObserver
	// closing is set once no calls may begin, calls counts those in flight, and idle is closed once there
	// are none.
	closing bool
	calls   int
	idle    chan struct{}
	// stopping is set once the machine is to release the duties.
	stopping atomic.Bool
}

// hasDuties reports whether there are duties at a control API.
func (p ProviderSettings) hasDuties() bool {
	return p.Address != "" && (p.Usage || p.Scale)
}

func newDuty(self jaymember.Member, ttl time.Duration, now func() time.Duration, store Store, contact storeContact, provider jayprovider.Provider, log *slog.Logger) *Duty {
	d := &Duty{
		self: self, now: now, store: store, contact: contact, provider: provider, log: log,
		retries: rate.NewLimiter(rate.Every(dutyRetryInterval), 1), attempts: rate.NewLimiter(rate.Every(dutyRetryInterval), 1),
		recovered: make(chan struct{}, 1),
		machine:   jayduty.NewMachine(jayduty.Options{Machine: self.Name, Incarnation: self.Incarnation, TTL: ttl, Nonce: uuid.NewString}),
		wake:      make(chan struct{}, 1), released: make(chan struct{}), done: make(chan struct{}), idle: make(chan struct{}),
	}
	d.lease.Store(&jayduty.Lease{})
	contact.onRecovered(func() {
		select {
		case d.recovered <- struct{}{}:
		default:
		}
	})
	return d
}

// show adds the metrics of the duties.
func (d *Duty) show(series *jaymetric.Exposition) {
	series.Gauge("duty_holder", func() float64 {
		if _, held := d.Holds(0); held {
			return 1
		}
		return 0
	})
	series.Gauge("duty_fence", func() float64 {
		fence, _ := d.Holds(0)
		return float64(fence)
	})
}

// Holds reports whether the instance holds the duties and will hold them for longer than minRemaining, and
// the fencing token. It is exact at the moment of the call.
func (d *Duty) Holds(minRemaining time.Duration) (fence int64, ok bool) {
	lease := d.lease.Load()
	if lease.Fence <= d.fenced.Load() || d.stopping.Load() || !lease.Holds(d.now(), minRemaining) {
		return 0, false
	}
	return lease.Fence, true
}

// Observe calls an observer at each change from now on.
func (d *Duty) Observe(observer DutyObserver) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.observers = append(d.observers, observer)
}

// Provider returns the control API for the holder. A call is sent only if the instance holds the duties under
// the call's fencing token for longer than jayprovider.Timeout, which is checked again immediately before
// the request is written. A call that fails with KindFenced ends the lease.
func (d *Duty) Provider() jayprovider.Provider {
	return dutyProvider{duty: d}
}

// Done is closed when the task has ended.
func (d *Duty) Done() <-chan struct{} {
	return d.done
}

// Release waits for the calls in flight and releases the duties. It returns once that is done or ctx ends.
// No calls begin afterwards.
func (d *Duty) Release(ctx context.Context) {
	d.mu.Lock()
	if !d.closing {
		d.closing = true
		if d.calls == 0 {
			close(d.idle)
		}
	}
	d.mu.Unlock()
	select {
	case <-d.idle:
	case <-ctx.Done():
	}
	d.stopping.Store(true)
	d.signal()
	select {
	case <-d.released:
	case <-d.done:
	case <-ctx.Done():
	}
}

// setMembers processes the status of the other instances. Usable is set if this instance is usable itself.
// Instances that reach the store are candidates before those that don't call it and those whose calls fail.
func (d *Duty) setMembers(members []jaymember.Status, usable bool) {
	rank, self := 0, d.self
	self.Store = d.contact.State()
	for _, m := range members {
		if m.Usable() && m.PrecedesForStore(self) {
			rank++
		}
	}
	candidate := usable && rank < candidates
	if d.candidate.Swap(candidate) != candidate {
		d.signal()
	}
}

func (d *Duty) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// begin registers a call, unless the duties are being released.
func (d *Duty) begin() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closing {
		return false
	}
	d.calls++
	return true
}

func (d *Duty) end() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.calls--; d.closing && d.calls == 0 {
		close(d.idle)
	}
}

// endLease ends a lease whose fencing token the control API refused.
func (d *Duty) endLease(fence int64) {
	for seen := d.fenced.Load(); seen < fence && !d.fenced.CompareAndSwap(seen, fence); seen = d.fenced.Load() {
	}
	d.signal()
}

// run is the task.
func (d *Duty) run(ctx context.Context) {
	defer close(d.done)
	for ctx.Err() == nil {
		now := d.now()
		d.resign(now)
		step := d.machine.Next(now, d.candidate.Load())
		if step.Action == jayduty.ActionWait {
			d.publish(now)
			if d.machine.Released() {
				d.releaseOnce.Do(func() { close(d.released) })
			}
			d.wait(ctx, d.untilChange(now, step.Until))
			continue
		}
		select {
		case <-d.recovered:
		default:
		}
		err := d.take(ctx, step)
		d.publish(d.now())
		if d.noteResult(err); err != nil {
			d.pause(ctx)
		}
	}
}

// resign gives the lease up in a planned stop, and where its fencing token was refused.
func (d *Duty) resign(now time.Duration) {
	remaining := d.machine.Lease().Remaining(now)
	fenced := d.machine.Fenced(now, d.fenced.Load())
	stopped := d.stopping.Load() && d.machine.Stop()
	if fenced || stopped {
		d.remaining = remaining
	}
}

// take makes one call to the store.
func (d *Duty) take(ctx context.Context, step jayduty.Step) error {
	switch step.Action {
	case jayduty.ActionNewest:
		records, end, err := d.store.Newest(ctx, jaystore.TopicDuty)
		if err != nil {
			return d.failed("newest", err)
		}
		d.machine.ApplyNewest(d.now(), records, end)
	case jayduty.ActionRead:
		records, next, err := d.store.Read(ctx, jaystore.TopicDuty, step.End, nil)
		if jayerror.Is(err, jaystore.KindExpired) {
			d.machine.Restart()
		}
		if err != nil {
			return d.failed("read", err)
		}
		d.machine.ApplyRead(d.now(), records, next)
	default:
		return d.append(ctx, step)
	}
	return nil
}

func (d *Duty) append(ctx context.Context, step jayduty.Step) error {
	value, err := step.Record.Encode()
	if err != nil {
		return d.failed("encode", err)
	}
	err = d.store.PutAt(ctx, jaystore.TopicDuty, jayduty.Key, value, step.End)
	result := jayduty.ResultUnknown
	switch {
	case err == nil:
		result = jayduty.ResultDone
	case jayerror.Is(err, jaystore.KindConflict):
		result = jayduty.ResultConflict
	}
	d.machine.Appended(d.now(), result)
	if result == jayduty.ResultUnknown {
		return d.failed(string(step.Record.Kind), err)
	}
	if step.Record.Kind == jayduty.KindRelease && result == jayduty.ResultDone {
		d.log.Info("duty released", "fence", step.Record.Fence, "remaining", d.remaining)
	}
	d.log.Debug("duty record appended", "kind", step.Record.Kind, "result", result, "offset", step.End)
	return nil
}

// failed returns the error of a call to the store. The first one of several in a row is logged.
func (d *Duty) failed(call string, err error) error {
	if !d.failing {
		d.log.Info("duty calls to the store fail", "call", call, "error", err)
	}
	return err
}

// noteResult notes whether calls to the store succeed.
func (d *Duty) noteResult(err error) {
	if d.failing && err == nil {
		d.log.Info("duty calls to the store succeed again")
	}
	d.failing = err != nil
}

// publish makes the lease of the machine visible, logs changes of the duties and notifies the observers.
func (d *Duty) publish(now time.Duration) {
	lease := d.machine.Lease()
	if lease.Fence != d.lease.Swap(&lease).Fence && lease.Fence != 0 {
		d.log.Info("duty claimed", "fence", lease.Fence, "actsIn", lease.ActsFrom-now)
	}
	fence, _ := d.Holds(0)
	if fence == d.held {
		return
	}
	lost := d.held
	d.held = fence
	if lost != 0 {
		d.log.Info("duty lost", "fence", lost, "reason", d.lossReason(lost))
		d.notify(lost, false)
	}
	if fence != 0 {
		d.log.Info("duty gained", "fence", fence, "remaining", lease.Remaining(now))
		d.notify(fence, true)
	}
}

func (d *Duty) lossReason(fence int64) string {
	newest := d.machine.Newest()
	switch {
	case d.stopping.Load():
		return "planned stop"
	case fence <= d.fenced.Load():
		return "control API has seen a higher fencing token"
	case newest.Kind == jayduty.KindFormer, newest.Incarnation == d.self.Incarnation && newest.Fence != fence:
		return "the store came back from a copy"
	case newest.Incarnation != d.self.Incarnation:
		return "claimed by " + newest.Machine
	}
	return "lease expired"
}

func (d *Duty) notify(fence int64, held bool) {
	d.mu.Lock()
	observers := d.observers
	d.mu.Unlock()
	for _, observer := range observers {
		observer(fence, held)
	}
}

// untilChange returns the time until the end of a wait, or until the lease begins or ceases to be held.
func (d *Duty) untilChange(now, until time.Duration) time.Duration {
	lease := d.machine.Lease()
	for _, change := range []time.Duration{lease.ActsFrom, lease.ExpiresAt} {
		if lease.Fence != 0 && now < change {
			until = min(until, change)
		}
	}
	return until - now
}

// wait waits until a time has passed or the task is woken.
func (d *Duty) wait(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(min(max(pause, time.Millisecond), maxDutyWait))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-d.wake:
	case <-ctx.Done():
	}
}

// pause waits after a failed call to the store until a retry is due, or until another call to the store succeeds.
func (d *Duty) pause(ctx context.Context) {
	retry := d.retries.Reserve()
	timer := time.NewTimer(max(retryPause, retry.Delay()))
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		case <-d.recovered:
			if d.attempts.Allow() {
				retry.Cancel()
				return
			}
		}
	}
}

// dutyProvider is the control API for the holder of the duties.
type dutyProvider struct {
	duty *Duty
}

// ReportUsage reports the usage of a window.
func (p dutyProvider) ReportUsage(ctx context.Context, authority jayprovider.Authority, report jayprovider.Report) error {
	return p.call(ctx, authority, func(ctx context.Context) error {
		return p.duty.provider.ReportUsage(ctx, authority, report) //nolint:wrapcheck // The error names the call.
	})
}

// Scale orders engines.
func (p dutyProvider) Scale(ctx context.Context, authority jayprovider.Authority, order jayprovider.Order) error {
	return p.call(ctx, authority, func(ctx context.Context) error {
		return p.duty.provider.Scale(ctx, authority, order) //nolint:wrapcheck // The error names the call.
	})
}

func (p dutyProvider) call(ctx context.Context, authority jayprovider.Authority, call func(context.Context) error) error {
	d := p.duty
	if !d.begin() {
		return jayerror.New("call", jayprovider.KindWithdrawn, "the duties are being released")
	}
	defer d.end()
	outer := ctx
	allowed := func() bool {
		fence, ok := d.Holds(jayprovider.Timeout)
		return ok && fence == authority.Fence && authority.Holder == d.self.Name && jayprovider.Allowed(outer)
	}
	if !allowed() {
		return jayerror.Newf("call", jayprovider.KindWithdrawn, "fencing token %d is not held for longer than %s", authority.Fence, jayprovider.Timeout)
	}
	err := call(jayprovider.WithAllowed(ctx, allowed))
	if jayerror.Is(err, jayprovider.KindFenced) {
		d.endLease(authority.Fence)
	}
	return err
}
