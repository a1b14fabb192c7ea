package jayedge

import (
	"context"
	"log/slog"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytask"
)

// fleetPeriod is the time between two looks at entries that vanished.
const fleetPeriod = 100 * time.Millisecond

// placer is the task that owns the fleet and the table of placing.
type placer struct {
	adapter Adapter
	owner   *jaytask.Owner[beliefs]
	log     *slog.Logger
}

// beliefs are what the task owns.
type beliefs struct {
	fleet  *jayfleet.Fleet
	table  *jayplace.Table
	placed uint64
}

func newPlacer(adapter Adapter, place jayplace.Place, regions map[string]string, log *slog.Logger) *placer {
	p := &placer{adapter: adapter, log: log}
	b := &beliefs{fleet: jayfleet.New(), table: jayplace.NewTable(place, regions)}
	p.owner = jaytask.NewOwner(b, fleetPeriod, func(b *beliefs, now time.Time) {
		for _, id := range b.fleet.Tick(now) {
			p.log.Info("upstream gone", "upstream", id, "reason", "entry did not come back after the store did")
		}
		p.configure(b)
	})
	return p
}

// Apply takes in changes of the registry.
func (p *placer) Apply(ctx context.Context, records []jaystore.Record) {
	p.tell(ctx, func(b *beliefs) {
		for _, record := range records {
			p.apply(b, record)
		}
		p.configure(b)
	})
}

// Choose returns where work goes.
func (p *placer) Choose(ctx context.Context, w jayplace.Work) (jayplace.Choice, error) {
	var choice jayplace.Choice
	var failed error
	err := p.owner.Ask(ctx, func(b *beliefs) { choice, failed = b.table.Choose(time.Now(), w) })
	if err != nil {
		return choice, err //nolint:wrapcheck // The task has stopped or the caller left.
	}
	return choice, failed //nolint:wrapcheck // The relay judges the kind.
}

// End takes in how a request ended at an upstream.
func (p *placer) End(id string, outcome jayplace.Outcome, took time.Duration, prompt bool) {
	p.tell(context.Background(), func(b *beliefs) {
		if b.table.End(time.Now(), id, outcome, took, prompt) {
			p.log.Info("upstream ejected", "upstream", id, "outcome", outcome, "took", took)
		}
	})
}

// Heard takes in the load that an upstream stated.
func (p *placer) Heard(id string, load jayplace.Load) {
	p.tell(context.Background(), func(b *beliefs) { b.table.Heard(time.Now(), id, load) })
}

// Host returns who gives the answer to a prompt that a reader has read.
func (p *placer) Host(ctx context.Context, w jayplace.Work, reader jayfleet.Upstream) (jayfleet.Upstream, error) {
	var host jayfleet.Upstream
	var failed error
	err := p.owner.Ask(ctx, func(b *beliefs) { host, failed = b.table.Host(time.Now(), w, reader) })
	if err != nil {
		return host, err //nolint:wrapcheck // The task has stopped or the caller left.
	}
	return host, failed //nolint:wrapcheck // The relay judges the kind.
}

// Lost notes that the registry cannot be read.
func (p *placer) Lost(ctx context.Context, _ error) {
	p.tell(ctx, func(b *beliefs) { b.fleet.Lost() })
}

// Read notes that a prompt has been read, or that its reading ended.
func (p *placer) Read(c jayplace.Choice, shared string, done bool) {
	p.tell(context.Background(), func(b *beliefs) { b.table.Read(time.Now(), c, shared, done) })
}

// Reading notes that a prompt is sent to be read.
func (p *placer) Reading(c jayplace.Choice) {
	p.tell(context.Background(), func(b *beliefs) { b.table.Reading(c) })
}

// Replace takes in the newest records of the registry.
func (p *placer) Replace(ctx context.Context, records []jaystore.Record, end int64) {
	p.tell(ctx, func(b *beliefs) {
		ids := make(map[string]bool, len(records))
		for _, record := range records {
			ids[record.Key] = true
			p.apply(b, record)
		}
		b.fleet.Replace(time.Now(), end, ids)
		p.configure(b)
	})
}

// Returned notes that the registry can be read again.
func (p *placer) Returned(ctx context.Context) {
	p.tell(ctx, func(b *beliefs) { b.fleet.Returned(time.Now()) })
}

// repeats reports whether a registry record says what is known from an earlier
// one. Records that cannot be read repeat nothing.
func (p *placer) repeats(known, repeat jaystore.Record) bool {
	before, err := p.adapter.ReadUpstream(known.Key, known.Value)
	if err != nil {
		return false
	}
	after, err := p.adapter.ReadUpstream(repeat.Key, repeat.Value)
	return err == nil && before.Same(after)
}

// Start notes that a request is sent to an upstream.
func (p *placer) Start(id string) {
	p.tell(context.Background(), func(b *beliefs) { b.table.Start(id) })
}

// apply takes in one record of the registry.
func (p *placer) apply(b *beliefs, record jaystore.Record) {
	if len(record.Value) == 0 {
		p.log.Info("upstream entry removed", "upstream", record.Key, "offset", record.Offset)
		b.fleet.Remove(time.Now(), record.Key, record.Offset)
		return
	}
	upstream, err := p.adapter.ReadUpstream(record.Key, record.Value)
	if err != nil {
		p.log.Warn("upstream entry not read", "upstream", record.Key, "offset", record.Offset, "error", err)
		return
	}
	before := b.fleet.Changes()
	b.fleet.Put(record.Offset, upstream)
	if b.fleet.Changes() != before {
		p.log.Info("upstream entry", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address,
			"leaving", upstream.Leaving, "stage", upstream.Stage, "born", upstream.Born, "offset", record.Offset)
	}
}

// configure hands the available upstreams to the table after a change.
func (p *placer) configure(b *beliefs) {
	if b.placed == b.fleet.Changes() {
		return
	}
	b.placed = b.fleet.Changes()
	b.table.Configure(b.fleet.Available())
}

// others takes in what the other instances state of their work.
func (p *placer) others(members []jaymember.Status) {
	now := time.Now()
	work, read, tallies := jayroster.Work(now, members), jayroster.Read(members), jayroster.Tallies(now, members)
	p.tell(context.Background(), func(b *beliefs) {
		b.table.Others(work)
		b.table.HeardRead(now, read)
		for _, id := range b.table.HeardTallies(now, tallies) {
			p.log.Info("upstream ejected", "upstream", id, "reason", "most sends of all instances fail")
		}
	})
}

// state fills in this instance's own work and what it had read.
func (p *placer) state(ctx context.Context, member *jaymember.Member) {
	err := p.owner.Ask(ctx, func(b *beliefs) {
		now := time.Now()
		member.Work, member.Read, member.Tallies = b.table.Own(), b.table.Stated(now), b.table.Tallies(now)
	})
	if err != nil {
		p.log.Warn("own work not stated", "error", err)
	}
}

func (p *placer) tell(ctx context.Context, message func(*beliefs)) {
	if err := p.owner.Tell(ctx, message); err != nil {
		p.log.Debug("table not told", "error", err)
	}
}
