// Package jaydispatch assigns upstreams to work: one task owns the routing
// table and the queues of an instance.
package jaydispatch

import (
	"context"
	"math/rand/v2"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayqueue"
	"jayfield.example/jay/jayroute"
	"jayfield.example/jay/jaytask"
)

// tickPeriod is how often late work is refused and slow upstreams are looked for.
const tickPeriod = 100 * time.Millisecond

// Dispatcher is the task that assigns upstreams. It is safe for concurrent use.
type Dispatcher struct {
	owner *jaytask.Owner[state]
}

// Options are the settings of a dispatcher.
type Options struct {
	Region string
	Policy jayroute.Policy
	// Slow is called from the dispatcher's task with the name of an upstream of
	// which the other instances should hear that it is slow. It must not wait.
	Slow func(name string)
	// Limit bounds the items of each queue.
	Limit int
	Seed  uint64
}

// New starts a dispatcher without configuration.
func New(options Options) *Dispatcher {
	source := rand.New(rand.NewPCG(options.Seed, 1)) //nolint:gosec // Routing needs no secrets.
	s := &state{
		table:  jayroute.NewTable(options.Region, options.Policy, source),
		queues: make(map[string]*jayqueue.Queue[*waiter]),
		costs:  make(map[string]poolCost),
		limit:  options.Limit,
		policy: options.Policy,
		slow:   options.Slow,
		share:  1,
		meter:  newMeter(),
	}
	return &Dispatcher{owner: jaytask.NewOwner(s, tickPeriod, (*state).tick)}
}

// Acquire waits for an upstream. The grant must be released. An error means
// that the work was not assigned and did not run; a refusal at the door is a
// *jayqueue.RefusalError.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (Grant, error) {
	w := &waiter{request: request, reply: make(chan reply, 1)}
	err := d.owner.Tell(ctx, func(s *state) {
		s.meter.count(request)
		s.submit(time.Now(), w)
	})
	if err != nil {
		return Grant{}, jayerror.Wrap("acquire", KindGone, err)
	}
	select {
	case r := <-w.reply:
		return r.grant, r.err
	case <-ctx.Done():
		_ = d.owner.Tell(context.Background(), func(s *state) { s.cancel(w) })
		return Grant{}, jayerror.Wrap("acquire", KindGone, ctx.Err())
	case <-d.owner.Done():
		return Grant{}, jayerror.Wrap("acquire", KindGone, jaytask.ErrStopped)
	}
}

// Configure takes in a configuration.
func (d *Dispatcher) Configure(config *jayconfig.State) {
	d.tell(func(s *state) { s.configure(config) })
}

// Done is closed when the dispatcher has stopped.
func (d *Dispatcher) Done() <-chan struct{} {
	return d.owner.Done()
}

// First records when the first token of granted work came.
func (d *Dispatcher) First(g Grant, took time.Duration) {
	d.tell(func(s *state) { s.table.First(g.upstream, g.work, g.ahead, took) })
}

// Heard records that another instance saw signs of slowness at an upstream.
func (d *Dispatcher) Heard(name string) {
	d.tell(func(s *state) { s.table.Heard(time.Now(), name) })
}

// Late records that the first token of granted work is late.
func (d *Dispatcher) Late(g Grant) {
	d.tell(func(s *state) { s.table.Late(time.Now(), g.upstream) })
}

// Leaving records which upstreams the platform's list shows as leaving.
func (d *Dispatcher) Leaving(names map[string]bool) {
	d.tell(func(s *state) { s.table.List(names) })
}

// Ordered records which engines have orders that are not settled.
func (d *Dispatcher) Ordered(engines map[string]bool) {
	d.tell(func(s *state) { s.table.Ordered(engines) })
}

// Partner assigns an engine that reads the prompt of granted work for the
// engine that gives the answer, if one is expected to be done earlier. The
// host no longer counts as reading it. The partner's grant must be released.
func (d *Dispatcher) Partner(ctx context.Context, host Grant) (Grant, bool) {
	if host.work.Prompt < jayroute.PartnerLeast {
		return Grant{}, false
	}
	var partner Grant
	var found bool
	err := d.owner.Ask(ctx, func(s *state) { partner, found = s.partner(time.Now(), host) })
	return partner, found && err == nil
}

// Peers records the place of this instance among the others, and the work that
// they say they run at each upstream.
func (d *Dispatcher) Peers(place jaymember.Place, others map[string]int) {
	d.tell(func(s *state) {
		s.share = 1 / float64(place.All)
		s.table.Share(place.Rank, place.Near)
		s.table.Others(others)
	})
}

// Release ends granted work. Tokens and took describe the time after the first token.
func (d *Dispatcher) Release(g Grant, result Result, first bool, tokens int, took time.Duration) {
	d.tell(func(s *state) { s.release(time.Now(), g, ending{result, first, tokens, took}) })
}

// Report takes in a load report of an upstream.
func (d *Dispatcher) Report(name string, load jayengine.Load) {
	d.tell(func(s *state) { s.table.Report(time.Now(), name, load) })
}

// Stall records that a stream of granted work has stopped giving tokens, or goes on again.
func (d *Dispatcher) Stall(g Grant, stalled bool) {
	d.tell(func(s *state) {
		if stalled {
			s.stall(time.Now(), g.upstream)
		} else {
			s.table.Resume(g.upstream)
		}
	})
}

// Stop ends the task.
func (d *Dispatcher) Stop() {
	d.owner.Stop()
}

func (d *Dispatcher) tell(message func(*state)) {
	_ = d.owner.Tell(context.Background(), message)
}
