// Package jaydispatch assigns upstreams to work. A single goroutine owns the
// routing table and the queues of an instance.
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

// tickPeriod is how often expired work is refused and slow upstreams are detected.
const tickPeriod = 100 * time.Millisecond

// Dispatcher assigns upstreams to work. It is safe for concurrent use.
type Dispatcher struct {
	owner *jaytask.Owner[state]
}

// Options are the settings of a dispatcher.
type Options struct {
	Region string
	Policy jayroute.Policy
	// OnSlow is called from the dispatcher's goroutine with the name of a slow
	// upstream that should be reported to the other instances. It must not block.
	OnSlow func(name string)
	// Limit is the maximum number of items in each queue.
	Limit int
	Seed  uint64
}

// New starts a dispatcher that has no configuration yet.
func New(options Options) *Dispatcher {
	rng := rand.New(rand.NewPCG(options.Seed, 1)) //nolint:gosec // Routing needs no secrets.
	s := &state{
		table:  jayroute.NewTable(options.Region, options.Policy, rng),
		queues: make(map[string]*jayqueue.Queue[*waiter]),
		costs:  make(map[string]poolCost),
		limit:  options.Limit,
		policy: options.Policy,
		onSlow: options.OnSlow,
		share:  1,
		meter:  newMeter(),
	}
	return &Dispatcher{owner: jaytask.NewOwner(s, tickPeriod, (*state).tick)}
}

// Acquire waits for an upstream. The grant must be released. An error means
// that the work was not assigned and did not run; a refusal at admission is a
// *jayqueue.RefusalError.
func (d *Dispatcher) Acquire(ctx context.Context, request Request) (Grant, error) {
	w := &waiter{request: request, reply: make(chan reply, 1)}
	err := d.owner.Send(ctx, func(s *state) {
		s.meter.add(request)
		s.submit(time.Now(), w)
	})
	if err != nil {
		return Grant{}, jayerror.Wrap("acquire", KindGone, err)
	}
	select {
	case r := <-w.reply:
		return r.grant, r.err
	case <-ctx.Done():
		_ = d.owner.Send(context.Background(), func(s *state) { s.cancel(w) })
		return Grant{}, jayerror.Wrap("acquire", KindGone, ctx.Err())
	case <-d.owner.Done():
		return Grant{}, jayerror.Wrap("acquire", KindGone, jaytask.ErrStopped)
	}
}

// Configure applies a configuration.
func (d *Dispatcher) Configure(config *jayconfig.State) {
	d.send(func(s *state) { s.configure(config) })
}

// Done is closed when the dispatcher has stopped.
func (d *Dispatcher) Done() <-chan struct{} {
	return d.owner.Done()
}

// RecordFirstToken records the time to the first token of granted work.
func (d *Dispatcher) RecordFirstToken(g Grant, took time.Duration) {
	d.send(func(s *state) { s.table.RecordFirstToken(g.upstream, g.work, g.tokensAhead, took) })
}

// RecordNoToken records that granted work was cancelled after a time without a first token.
func (d *Dispatcher) RecordNoToken(g Grant, took time.Duration) {
	d.send(func(s *state) { s.table.RecordNoToken(g.upstream, g.work, g.tokensAhead, took) })
}

// MarkSlow records that another instance reported an upstream as slow.
func (d *Dispatcher) MarkSlow(name string) {
	d.send(func(s *state) { s.table.MarkSlow(time.Now(), name) })
}

// RecordLateFirstToken records that the first token of granted work is late.
func (d *Dispatcher) RecordLateFirstToken(g Grant) {
	d.send(func(s *state) { s.table.RecordLateFirstToken(time.Now(), g.upstream) })
}

// SetLeaving records which upstreams the platform's instance list marks as leaving.
func (d *Dispatcher) SetLeaving(names map[string]bool) {
	d.send(func(s *state) { s.table.SetListedLeaving(names) })
}

// SetEnginesWithOrders records which engines have unsettled orders.
func (d *Dispatcher) SetEnginesWithOrders(engines map[string]bool) {
	d.send(func(s *state) { s.table.SetEnginesWithOrders(engines) })
}

// AcquirePrefill assigns a separate prefill engine to granted work, if one is expected
// to finish the prefill earlier than the decode engine. The prefill then no longer
// counts towards the load of the decode engine. The returned grant must be
// released.
func (d *Dispatcher) AcquirePrefill(ctx context.Context, decodeGrant Grant) (Grant, bool) {
	if decodeGrant.work.Prompt < jayroute.MinRemotePrefillTokens {
		return Grant{}, false
	}
	var prefillGrant Grant
	var found bool
	err := d.owner.Call(ctx, func(s *state) { prefillGrant, found = s.acquirePrefill(time.Now(), decodeGrant) })
	return prefillGrant, found && err == nil
}

// SetPeers records the number of usable instances, the rank of this instance among
// those of its region, and the work that the other instances report at each
// upstream.
func (d *Dispatcher) SetPeers(ranking jaymember.Ranking, others map[string]int) {
	d.send(func(s *state) {
		s.share = 1 / float64(ranking.All)
		s.table.SetRanking(ranking.Rank, ranking.Near)
		s.table.SetPeerRunning(others)
	})
}

// Release ends granted work. prefillDone is set if the prompt no longer counts
// towards the upstream's queued prefill, because RecordFirstToken was called or
// AcquirePrefill moved the prefill to another engine. tokens and took describe the
// time after the first token.
func (d *Dispatcher) Release(g Grant, result Result, prefillDone bool, tokens int, took time.Duration) {
	d.send(func(s *state) { s.release(time.Now(), g, releaseInfo{result, prefillDone, tokens, took}) })
}

// RecordLoad records a load report of an upstream.
func (d *Dispatcher) RecordLoad(name string, load jayengine.Load) {
	d.send(func(s *state) { s.table.Report(time.Now(), name, load) })
}

// SetStalled records that a stream of granted work has stopped producing tokens, or has
// resumed.
func (d *Dispatcher) SetStalled(g Grant, stalled bool) {
	d.send(func(s *state) {
		if stalled {
			s.stall(time.Now(), g.upstream)
		} else {
			s.table.Resume(g.upstream)
		}
	})
}

// Stop stops the dispatcher.
func (d *Dispatcher) Stop() {
	d.owner.Stop()
}

func (d *Dispatcher) send(message func(*state)) {
	_ = d.owner.Send(context.Background(), message)
}
