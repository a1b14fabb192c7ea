package jayedge

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayplace"
	"jayfield.example/jay/jayquarantine"
	"jayfield.example/jay/jayrelay"
	"jayfield.example/jay/jayroster"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytask"
)

// fleetTickInterval is the time between two checks for registry entries that are still
// missing after the removal grace period.
const fleetTickInterval = 250 * time.Millisecond

// placer is the task that owns the fleet of upstreams, the placement table and the prompt
// parts in quarantine.
type placer struct {
	adapter Adapter
	owner   *jaytask.Owner[placerState]
	log     *slog.Logger
	// loaded is set once a snapshot of the registry has been applied.
	loaded atomic.Bool
	// takeWork holds the IDs of the upstreams that take new requests.
	takeWork atomic.Pointer[map[string]bool]
	// streams learns the versions of upstreams, nil if nothing needs them.
	streams *streams
}

// placerState is the state that the task owns.
type placerState struct {
	fleet      *jayfleet.Fleet
	table      *jayplace.Table
	quarantine *jayquarantine.Table
	// configuredChanges is the number of fleet changes at the last configuration of the table.
	configuredChanges uint64
}

func newPlacer(adapter Adapter, location jayplace.Location, regions map[string]string, log *slog.Logger) *placer {
	p := &placer{adapter: adapter, log: log}
	s := &placerState{fleet: jayfleet.New(), table: jayplace.NewTable(location, regions), quarantine: jayquarantine.NewTable()}
	p.owner = jaytask.NewOwner(s, fleetTickInterval, func(s *placerState, now time.Time) {
		removed, applied := s.fleet.Tick(now)
		for _, id := range removed {
			p.log.Info("upstream removed", "upstream", id, "reason", "entry still missing after the grace period that follows a store outage")
		}
		for _, id := range applied {
			p.log.Info("upstream entry applied late", "upstream", id, "reason", "its start remained the one that registered last although its start time or sequence is lower than before")
		}
		p.configure(s)
		for _, id := range s.table.EndHolds(now) {
			p.log.Info("upstream used again", "upstream", id, "reason", "the time for which it stated to be busy or leaving has passed")
		}
		p.logPaces(s.table.AdvancePaces(now))
		p.logQuarantine(s.quarantine.Tick(now))
	})
	return p
}

// logQuarantine logs the prompt parts whose quarantine has begun or ended.
func (p *placer) logQuarantine(changes []jayquarantine.Change) {
	for _, c := range changes {
		if c.Until.IsZero() {
			p.log.Info("prompt part released from quarantine", "part", c.Part, "key", c.Key)
			continue
		}
		p.log.Warn("prompt part in quarantine", "part", c.Part, "key", c.Key, "crashes", c.Crashes, "until", c.Until)
	}
}

// logPaces logs the upstreams that have just started or recovered and those that get their full share again.
func (p *placer) logPaces(changes []jayplace.PaceChange) {
	for _, c := range changes {
		if c.Ended {
			p.log.Info("upstream at full pace", "upstream", c.ID, "took", c.Took, "reason", c.Reason)
			continue
		}
		p.log.Info("upstream paced", "upstream", c.ID, "reason", c.Reason)
	}
}

// Apply processes changes of the registry.
func (p *placer) Apply(ctx context.Context, records []jaystore.Record) {
	p.send(ctx, func(s *placerState) {
		for _, record := range records {
			p.apply(s, record)
		}
		p.configure(s)
		if p.streams != nil && len(records) > 0 {
			p.streams.observed(records[len(records)-1].Position + 1)
		}
	})
}

// TakesWork reports whether an upstream takes new requests by the newest registry.
func (p *placer) TakesWork(id string) bool {
	ids := p.takeWork.Load()
	return ids != nil && (*ids)[id]
}

// Registered returns all upstreams by the newest registry, also those that are leaving.
func (p *placer) Registered(ctx context.Context) ([]jayfleet.Upstream, error) {
	var upstreams []jayfleet.Upstream
	err := p.owner.Call(ctx, func(s *placerState) { upstreams = s.fleet.Registered() })
	return upstreams, err //nolint:wrapcheck // The task has stopped or the instance stops.
}

// Choose returns the upstream for a request.
func (p *placer) Choose(ctx context.Context, w jayplace.Work) (jayplace.Choice, error) {
	var choice jayplace.Choice
	var failed error
	err := p.owner.Call(ctx, func(s *placerState) {
		now := time.Now()
		if failed = s.quarantine.Check(now, quarantineRequest(w)); failed == nil {
			choice, failed = s.table.Choose(now, w)
		}
	})
	if err != nil {
		return choice, err //nolint:wrapcheck // The task has stopped or the caller has disconnected.
	}
	return choice, failed //nolint:wrapcheck // The relay handles it by its kind.
}

// End records the outcome of a request at an upstream.
func (p *placer) End(id string, outcome jayplace.Outcome, took time.Duration, prompt bool) {
	p.send(context.Background(), func(s *placerState) {
		if s.table.End(time.Now(), id, outcome, took, prompt) {
			p.log.Info("upstream ejected", "upstream", id, "outcome", outcome, "took", took)
		}
	})
}

// EndAnswer records that an upstream completed an answer to a prompt or cut it off.
func (p *placer) EndAnswer(w jayplace.Work, id string, outcome jayplace.Outcome) {
	p.send(context.Background(), func(s *placerState) {
		if outcome == jayplace.OutcomeServed {
			s.quarantine.RecordServed(time.Now(), quarantineRequest(w))
			return
		}
		s.quarantine.RecordCrash(time.Now(), quarantineRequest(w), jayplace.UpstreamHash(id))
	})
}

func quarantineRequest(w jayplace.Work) jayquarantine.Request {
	return jayquarantine.Request{ID: w.ID, Service: w.Service, Parts: w.Parts}
}

// RecordAnswer records the times of a complete answer.
func (p *placer) RecordAnswer(a jayplace.Answer) {
	p.send(context.Background(), func(s *placerState) {
		if offload, changed := s.table.RecordAnswer(time.Now(), a); changed {
			p.log.Info("share of remote prefill changed", "service", a.Service, "offload", offload, "pause", a.Pause, "gap", a.Gap, "reason", "pauses between events")
		}
	})
}

// RecordStatement records that an upstream states in its answer to a request that it is leaving
// or busy.
func (p *placer) RecordStatement(u jayfleet.Upstream, request string, reply jayrelay.Reply) {
	p.send(context.Background(), func(s *placerState) {
		now := time.Now()
		if reply.Leaving && s.table.MarkLeaving(now, u) {
			p.log.Info("upstream leaving", "upstream", u.ID, "request", request, "reason", "its answer states so")
		}
		if !reply.Busy {
			return
		}
		until, outOfBounds := s.table.HoldBusy(now, u, reply.BusyFor)
		p.log.Info("upstream busy", "upstream", u.ID, "request", request, "stated", reply.BusyFor, "outOfBounds", outOfBounds, "until", until)
	})
}

// RecordLoad records the load that an upstream reported.
func (p *placer) RecordLoad(id string, load jayplace.Load) {
	p.send(context.Background(), func(s *placerState) { s.table.RecordLoad(time.Now(), id, load) })
}

// DecodeUpstream returns the upstream that decodes the response to a prompt which another upstream has prefilled.
func (p *placer) DecodeUpstream(ctx context.Context, w jayplace.Work, prefillUpstream jayfleet.Upstream) (jayfleet.Upstream, error) {
	var decodeUpstream jayfleet.Upstream
	var failed error
	err := p.owner.Call(ctx, func(s *placerState) {
		now := time.Now()
		if failed = s.quarantine.Check(now, quarantineRequest(w)); failed == nil {
			decodeUpstream, failed = s.table.DecodeUpstream(now, w, prefillUpstream)
		}
	})
	if err != nil {
		return decodeUpstream, err //nolint:wrapcheck // The task has stopped or the caller has disconnected.
	}
	return decodeUpstream, failed //nolint:wrapcheck // The relay handles it by its kind.
}

// Unavailable records that the registry is unavailable.
func (p *placer) Unavailable(ctx context.Context, _ error) {
	p.send(ctx, func(s *placerState) { s.fleet.StoreUnavailable() })
}

// EndPrefill records that the prefill of a prompt has ended, and whether it succeeded.
func (p *placer) EndPrefill(c jayplace.Choice, prefix string, done bool) {
	p.send(context.Background(), func(s *placerState) { s.table.EndPrefill(time.Now(), c, prefix, done) })
}

// RecordHandOver records the time to the first event of an upstream that decodes a prompt which
// another upstream has prefilled.
func (p *placer) RecordHandOver(u jayfleet.Upstream, took time.Duration) {
	p.send(context.Background(), func(s *placerState) { s.table.RecordHandOver(time.Now(), u, took) })
}

// StartPrefill records that a prompt is sent for prefill.
func (p *placer) StartPrefill(c jayplace.Choice) {
	p.send(context.Background(), func(s *placerState) { s.table.StartPrefill(c) })
}

// EndPlacement records that a placed request was sent, or that it won't be.
func (p *placer) EndPlacement(id string) {
	p.send(context.Background(), func(s *placerState) { s.table.EndPlacement(id) })
}

// Replace processes a snapshot of the registry.
func (p *placer) Replace(ctx context.Context, records []jaystore.Record, end jaystore.Position) {
	p.send(ctx, func(s *placerState) {
		if p.streams != nil {
			p.streams.skipped(end)
		}
		ids := make(map[string]bool, len(records))
		for _, record := range records {
			ids[record.Key] = len(record.Value) > 0
			p.apply(s, record)
		}
		s.fleet.Replace(time.Now(), end, ids)
		p.configure(s)
		if p.streams != nil {
			p.streams.setRegistered(s.fleet.Registered())
			p.streams.observed(end)
		}
		p.loaded.Store(true)
	})
}

// Available records that the registry is available again.
func (p *placer) Available(ctx context.Context) {
	p.send(ctx, func(s *placerState) { s.fleet.StoreAvailable(time.Now()) })
}

// Start records that a request is sent to an upstream.
func (p *placer) Start(id string) {
	p.send(context.Background(), func(s *placerState) { s.table.Start(id) })
}

// apply processes one record of the registry.
func (p *placer) apply(s *placerState, record jaystore.Record) {
	if len(record.Value) == 0 {
		p.log.Info("upstream entry removed", "upstream", record.Key, "offset", record.Position)
		s.fleet.Remove(time.Now(), record.Key, record.Position)
		return
	}
	upstream, err := p.adapter.ReadUpstream(record.Key, record.Value)
	if err != nil {
		p.log.Warn("upstream entry malformed", "upstream", record.Key, "offset", record.Position, "error", err)
		return
	}
	if p.streams != nil {
		p.streams.observe(upstream)
	}
	before := s.fleet.Changes()
	switch s.fleet.Put(time.Now(), record.Position, upstream) {
	case jayfleet.OutcomeHeldBack:
		p.log.Info("upstream entry held back", "upstream", upstream.ID, "born", upstream.Born, "sequence", upstream.Sequence,
			"offset", record.Position, "reason", "its start time is lower than that of a start before it")
	case jayfleet.OutcomeLate:
		p.log.Info("upstream entry late", "upstream", upstream.ID, "born", upstream.Born, "sequence", upstream.Sequence,
			"leaving", upstream.Leaving, "offset", record.Position, "reason", "its start has ended, or has registered before with a sequence that is not lower")
	case jayfleet.OutcomeApplied:
	}
	if s.fleet.Changes() != before {
		p.log.Info("upstream entry", "upstream", upstream.ID, "service", upstream.Service, "address", upstream.Address,
			"leaving", upstream.Leaving, "leavesIn", upstream.LeavesIn, "preemptible", upstream.Preemptible,
			"stage", upstream.Stage, "version", upstream.Version, "born", upstream.Born, "offset", record.Position)
	}
}

// configure passes the available upstreams to the table if the fleet has changed.
func (p *placer) configure(s *placerState) {
	if s.configuredChanges == s.fleet.Changes() {
		return
	}
	s.configuredChanges = s.fleet.Changes()
	if p.streams != nil {
		p.streams.setRegistered(s.fleet.Registered())
	}
	upstreams := s.fleet.Available()
	s.table.Configure(upstreams)
	p.logPaces(s.table.AdvancePaces(time.Now()))
	ids := make(map[string]bool, len(upstreams))
	for _, u := range upstreams {
		ids[u.ID] = true
	}
	p.takeWork.Store(&ids)
}

// updateReport processes the work, cached prefixes, send tallies and suspected prompt parts that the
// other instances report.
func (p *placer) updateReport(report jayroster.Report) {
	p.send(context.Background(), func(s *placerState) {
		now := time.Now()
		s.table.SetPeerWork(report.Work)
		s.table.MergePrefixes(now, report.Prefixes)
		for _, id := range s.table.MergeTallies(now, report.Tallies) {
			p.log.Info("upstream ejected", "upstream", id, "reason", "most requests of all instances to it fail")
		}
		for _, change := range s.table.MergeSpeeds(now, report.Speeds) {
			p.log.Info("weight of engine changed", "upstream", change.ID, "step", change.Step, "before", change.Before,
				"median", change.Median, "samples", change.Samples, "votes", change.Votes, "reason", "its measured speed against others of its stage")
		}
		s.quarantine.Merge(now, report.At, report.Suspects)
	})
}

// setTrials sets whether this instance tries prompt parts after their quarantine.
func (p *placer) setTrials(trials bool) {
	p.send(context.Background(), func(s *placerState) { s.quarantine.SetTrials(trials) })
}

// fillWork fills in this instance's own work, cached prefixes, send tallies and suspected prompt parts.
func (p *placer) fillWork(ctx context.Context, member *jaymember.Member) {
	err := p.owner.Call(ctx, func(s *placerState) {
		now := time.Now()
		member.Work, member.CachedPrefixes, member.Tallies = s.table.OwnWork(), s.table.AnnouncedPrefixes(now), s.table.Tallies(now)
		member.Speeds = s.table.Speeds(now)
		member.Suspects = s.quarantine.Reports(now)
	})
	if err != nil {
		p.log.Warn("own work missing from heartbeat", "error", err)
	}
}

func (p *placer) send(ctx context.Context, message func(*placerState)) {
	if err := p.owner.Send(ctx, message); err != nil {
		p.log.Debug("update of placement table failed", "error", err)
	}
}

// engineFigures returns the figures of the stages of a service. Stages with few samples are left out.
func (p *placer) engineFigures(ctx context.Context, service string) map[jayfleet.Stage]jayplace.EngineFigure {
	var figures map[jayfleet.Stage]jayplace.EngineFigure
	err := p.owner.Call(ctx, func(s *placerState) { figures = s.table.EngineFigures(service) })
	if err != nil {
		p.log.Debug("figures of engines not read", "error", err)
	}
	return figures
}
