package jayquarantine

import (
	"cmp"
	"slices"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
)

const (
	// settleTime is the time after the last crash of the evidence until the part is put in
	// quarantine, in which other instances report their crashes and answers.
	settleTime = 1500 * time.Millisecond
	// doubtTime is the further time for which a part is spared while a part deeper in the prompt
	// has nearly the same evidence against it.
	doubtTime = 3 * time.Second
	// minOtherAnswers is the number of answers to other requests since the first crash without
	// which the engines, not the part, are taken to be the cause.
	minOtherAnswers = 3
	// minPeriod and maxPeriod bound the length of a quarantine.
	minPeriod = 30 * time.Second
	maxPeriod = 10 * time.Minute
	// trialInterval is the least time between two trials, and the longest that a trial takes.
	trialInterval = 10 * time.Second
	// reportFor is how long a crash or an answer is reported to other instances.
	reportFor = 3 * time.Second
	// maxSuspects and maxReports bound the parts that are tracked and those in a report.
	maxSuspects = 4096
	maxReports  = 64
)

// Table is what an instance has observed of prompt parts, and what others reported.
type Table struct {
	suspects map[uint64]*suspect
	// answers holds, by the hash of the service, the times of the latest answers that this
	// instance completed.
	answers map[uint32]*[minOtherAnswers]time.Time
	// trials is set if this instance tries parts whose period has passed.
	trials bool
}

// Change is a part that was put in quarantine or released from it.
type Change struct {
	// Part is the ID of the part, empty if this instance has had no request with it.
	Part string
	// Key identifies the part in the reports of all instances.
	Key uint64
	// Until is the earliest end of the quarantine, zero if the part was released.
	Until   time.Time
	Crashes int
}

// NewTable returns a table without suspects.
func NewTable() *Table {
	return &Table{suspects: make(map[uint64]*suspect), answers: make(map[uint32]*[minOtherAnswers]time.Time)}
}

// Check returns an error of KindQuarantined if a part of the request is in quarantine. Its
// cause has the method RetryAfter() time.Duration.
func (t *Table) Check(now time.Time, r Request) error {
	for n, key := range r.keys() {
		s, ok := t.suspects[key]
		if !ok || !s.quarantined() {
			continue
		}
		s.name, s.requestedAt = r.Parts[n], now
		if t.trials && s.try(now, r.ID) {
			continue
		}
		return jayerror.Wrap("check", KindQuarantined, &rejection{part: s.name, wait: max(s.until.Sub(now), trialInterval)})
	}
	return nil
}

// RecordCrash records that an upstream, given by the hash of its ID, ended the answer to a
// request without completing it.
func (t *Table) RecordCrash(now time.Time, r Request, upstream uint32) {
	for n, key := range r.keys() {
		s := t.suspect(key, r.service())
		if s == nil {
			continue
		}
		s.name, s.depth = r.Parts[n], n
		s.add(crash{upstream: upstream, at: now, own: true})
		if s.quarantined() && !now.Before(s.until) && now.Sub(s.trialAt) < trialInterval {
			s.isolate(now)
		}
	}
}

// RecordServed records that the answer to a request completed.
func (t *Table) RecordServed(now time.Time, r Request) {
	answers, ok := t.answers[r.service()]
	if !ok {
		answers = new([minOtherAnswers]time.Time)
		t.answers[r.service()] = answers
	}
	copy(answers[1:], answers[:])
	answers[0] = now
	for _, key := range r.keys() {
		if s, ok := t.suspects[key]; ok {
			s.servedAt, s.ownServedAt = now, now
		}
	}
}

// SetTrials sets whether this instance tries parts whose period has passed. One instance
// should, since each trial may crash an engine.
func (t *Table) SetTrials(trials bool) {
	t.trials = trials
}

// Merge applies the report that another instance sent at a point in time.
func (t *Table) Merge(now, sentAt time.Time, reports []jaymember.Suspect) {
	for _, r := range reports {
		s := t.suspect(r.Key, r.Service)
		if s == nil {
			continue
		}
		s.depth = max(s.depth, r.Depth)
		for _, c := range r.Crashes {
			if at := sentAt.Add(-c.Age); now.Sub(at) < eventTTL {
				s.add(crash{upstream: c.Upstream, at: at})
			}
		}
		if r.Served {
			s.servedAt = later(s.servedAt, sentAt.Add(-r.ServedAge))
		}
		if since := sentAt.Add(-r.QuarantinedFor); r.Quarantined && since.After(s.servedAt) && !t.refuted(s) {
			s.until = later(s.until, sentAt.Add(r.Remaining))
			s.period = max(s.period, r.QuarantinedFor+r.Remaining)
			if s.since.IsZero() {
				s.since = since
			}
		}
	}
}

// Reports returns what this instance reports to others.
func (t *Table) Reports(now time.Time) []jaymember.Suspect {
	var reports []jaymember.Suspect
	for key, s := range t.suspects {
		r := jaymember.Suspect{Key: key, Service: s.service, Depth: s.depth}
		for _, c := range s.crashes {
			if c.own && now.Sub(c.at) < reportFor {
				r.Crashes = append(r.Crashes, jaymember.Crash{Upstream: c.upstream, Age: now.Sub(c.at)})
			}
		}
		if r.Served = now.Sub(s.ownServedAt) < reportFor; r.Served {
			r.ServedAge = now.Sub(s.ownServedAt)
		}
		if r.Quarantined = s.quarantined(); r.Quarantined {
			r.QuarantinedFor, r.Remaining = now.Sub(s.since), s.until.Sub(now)
		}
		if r.Quarantined || r.Served || len(r.Crashes) > 0 {
			reports = append(reports, r)
		}
	}
	slices.SortFunc(reports, compareReports)
	return reports[:min(len(reports), maxReports)]
}

// compareReports orders parts in quarantine first, then those with the most crashes.
func compareReports(a, b jaymember.Suspect) int {
	if a.Quarantined != b.Quarantined {
		if a.Quarantined {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(len(b.Crashes), len(a.Crashes)), cmp.Compare(a.Key, b.Key))
}

// Tick puts parts in quarantine, drops what is no longer needed and returns the changes since
// the previous tick.
func (t *Table) Tick(now time.Time) []Change {
	for key, s := range t.suspects {
		s.prune(now)
		idle := s.quarantined() && now.Sub(later(s.until, s.requestedAt)) > maxPeriod
		if idle || !s.quarantined() && !s.changed() && len(s.crashes) == 0 && now.Sub(s.servedAt) > reportFor {
			delete(t.suspects, key)
		}
	}
	for s := t.worst(now); s != nil; s = t.worst(now) {
		s.isolate(now)
	}
	for _, s := range t.suspects {
		if s.quarantined() && t.refuted(s) {
			s.quarantine = quarantine{announced: s.announced}
		}
	}
	return t.changes()
}

// changes returns the parts whose quarantine began or ended since the previous call.
func (t *Table) changes() []Change {
	var changes []Change
	for key, s := range t.suspects {
		if !s.changed() {
			continue
		}
		change := Change{Part: s.name, Key: key, Crashes: len(s.crashes)}
		if s.announced = s.quarantined(); s.announced {
			change.Until = s.until
		} else {
			s.quarantine = quarantine{}
		}
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, b Change) int { return cmp.Compare(a.Key, b.Key) })
	return changes
}

// worst returns a part with enough evidence for quarantine, or nil: the one deepest in the
// prompt, which the fewest other requests have, and of these the one with the most evidence.
func (t *Table) worst(now time.Time) *suspect {
	var worst *suspect
	most, lowest := 0, uint64(0)
	for key, s := range t.suspects {
		if s.quarantined() || len(s.crashes) < minCrashes {
			continue
		}
		count, first, last := s.evidence(t.explanation(s))
		if count < minCrashes || now.Sub(last) < settleTime || !t.answeredSince(s.service, first) {
			continue
		}
		if now.Sub(last) < settleTime+doubtTime && t.doubtful(s) {
			continue
		}
		if worst == nil || cmp.Or(cmp.Compare(s.depth, worst.depth), cmp.Compare(count, most), cmp.Compare(lowest, key)) > 0 {
			worst, most, lowest = s, count, key
		}
	}
	return worst
}

// doubtful reports whether a deeper part that may still be put in quarantine was there during
// all crashes but one that count against a part.
func (t *Table) doubtful(s *suspect) bool {
	for _, deeper := range t.suspects {
		if deeper.depth <= s.depth || deeper.quarantined() {
			continue
		}
		shared := 0
		for _, c := range s.crashes {
			if deeper.has(c) {
				shared++
			}
		}
		if shared >= max(minCrashes, len(s.crashes))-1 {
			return true
		}
	}
	return false
}

// answeredSince reports whether minOtherAnswers answers of a service have completed since a
// point in time.
func (t *Table) answeredSince(service uint32, since time.Time) bool {
	answers, ok := t.answers[service]
	return ok && answers[minOtherAnswers-1].After(since)
}

// refuted reports whether another part in quarantine with more evidence explains the crashes
// of a part, which was suspected since reports of the other part arrived late.
func (t *Table) refuted(s *suspect) bool {
	all, _, _ := s.evidence(func(crash) bool { return false })
	unexplained, _, _ := s.evidence(t.explanation(s))
	return all >= minCrashes && unexplained < minCrashes
}

// explanation returns a function that reports whether another part in quarantine, with more
// evidence than s, explains a crash.
func (t *Table) explanation(s *suspect) func(crash) bool {
	var others []*suspect
	for _, other := range t.suspects {
		if other.quarantined() && other.outweighs(s) {
			others = append(others, other)
		}
	}
	return func(c crash) bool {
		return slices.ContainsFunc(others, func(other *suspect) bool { return other.has(c) })
	}
}

// suspect returns the state of a part and creates it on first use, nil if there are too many.
func (t *Table) suspect(key uint64, service uint32) *suspect {
	s, ok := t.suspects[key]
	if !ok && len(t.suspects) < maxSuspects {
		s = &suspect{service: service}
		t.suspects[key] = s
	}
	return s
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
