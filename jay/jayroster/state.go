package jayroster

import (
	"maps"
	"time"

	"jayfield.example/jay/jayexpiry"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jayusage"
)

// state is accessed only by the owner goroutine.
type state struct {
	view   *jaymember.View
	listed map[string]jaylist.Instance
	// listEnd is the position up to which listed is complete, registeredAt that of the own entry or
	// notRegistered, refusedEnd the listEnd of the latest removal that the store refused.
	listEnd, registeredAt, refusedEnd jaystore.Position
	expiry                            *jayexpiry.Table
	ledger                            *ledger
	// peers holds the state of the exchanges, by the address of the other instance.
	peers map[string]*peer
	// addresses holds the addresses of all members and seeds as of the latest round.
	addresses map[string]bool
	// sources holds what other instances have reported about members, by their incarnation.
	sources map[string]*source
	// directAt is when each instance last sent its own heartbeat, and zoneAt when an instance of
	// its zone last reported it to be alive, by incarnation. What this instance reports about
	// others rests on these alone, so that no two instances confirm each other's reports.
	directAt, zoneAt map[string]time.Time
	// hubSums are the sums that a hub of the own zone sent, zoneSums those of each other zone.
	hubSums  *receivedSums
	zoneSums map[string]receivedSums
	// relayedAt is when the first hub of the own zone last passed on recent sums of each other zone.
	relayedAt map[string]time.Time
	// announced are the prompt prefixes to pass on with the next report.
	announced []jaymember.CachedPrefix
	positions map[string]position
	ticks     int
	rounds    int
	// mesh is the kind of mesh in the latest round.
	mesh meshKind
	// newerList is what another instance reported of a newer list than the own copy.
	newerList listReport
	// meter holds the counts and the demand of instances, nil if neither is asked for.
	meter *jayusage.Meter
	// isHub is set if this instance is a hub of its zone as of the latest round.
	isHub bool
	// unanswered is when the instance at an address last failed to answer a collection.
	unanswered map[string]time.Time
}

// listReport is the kind of mesh that follows from the store's list up to a position.
type listReport struct {
	end  jaystore.Position
	mesh meshKind
}

// meshKind is how instances choose those with which they exchange.
type meshKind string

const (
	// meshFull means that each instance exchanges with all others.
	meshFull meshKind = "full"
	// meshPartial means that each instance exchanges with the hubs of its zone.
	meshPartial meshKind = "partial"
)

// peer is the state of the exchanges with an address.
type peer struct {
	// sentAt is when the exchange in flight began, zero if there is none.
	sentAt time.Time
	// failed is set if the latest exchange failed.
	failed bool
}

// source is what an instance has reported about members.
type source struct {
	at time.Time
	// version is the version of the source's ledger up to which its changes have been merged,
	// acked that of the own ledger that the source has acknowledged.
	version, acked uint64
	// usageVersion is the version of the source's counts up to which its cells have been merged, usageAcked that
	// of the own counts that the source has acknowledged.
	usageVersion, usageAcked uint64
	// sampledAt is when it last got the own sample of prefixes.
	sampledAt time.Time
	members   map[uint32]*reportedMember
	// noSums is set if the source has the sums of this zone from its own first hub, packs if it decodes packed sums.
	noSums, packs bool
	// direct and own are the states of the prefixes that it gets as an instance of another zone and as one of this zone.
	direct, own prefixStream
	// relayVersion is the version of its relay that has been merged.
	relayVersion uint64
}

type reportedMember struct {
	identity identity
	state    memberState
}

type receivedSums struct {
	at   time.Time
	sums sums
}

// notRegistered stands for the position of an entry that does not exist.
const notRegistered = -1

// sourceTTL is the time without a digest after which what a source has reported is dropped.
const sourceTTL = 10 * time.Second

func newState(self jaymember.Member) *state {
	return &state{
		view: jaymember.NewView(self), listed: make(map[string]jaylist.Instance), ledger: newLedger(), peers: make(map[string]*peer),
		sources: make(map[string]*source), directAt: make(map[string]time.Time), zoneAt: make(map[string]time.Time),
		zoneSums: make(map[string]receivedSums), relayedAt: make(map[string]time.Time), positions: make(map[string]position), unanswered: make(map[string]time.Time),
		expiry: jayexpiry.NewTable(), registeredAt: notRegistered, refusedEnd: notRegistered,
	}
}

// partialMesh reports whether there are too many instances for a full mesh. It counts the store's
// list, since the views of the members differ, and instances of both kinds miss each other's
// heartbeats. Of copies of the list that differ the newest decides, at all instances that are in reach.
func (s *state) partialMesh() bool {
	if s.newerList.end > s.listEnd {
		return s.newerList.mesh == meshPartial
	}
	if len(s.listed) == 0 {
		return s.view.Len() > maxFullMesh
	}
	return len(s.listed)-1 > maxFullMesh
}

// updateMesh sets the kind of mesh of this round and reports whether it has changed.
func (s *state) updateMesh() bool {
	kind := s.listReport().mesh
	changed := kind != s.mesh
	s.mesh = kind
	return changed
}

// listReport returns what this instance reports about the newest list that it knows of.
func (s *state) listReport() listReport {
	report := listReport{end: max(s.listEnd, s.newerList.end), mesh: meshFull}
	if s.partialMesh() {
		report.mesh = meshPartial
	}
	return report
}

// mergeList applies what another instance reports about the list.
func (s *state) mergeList(d digest) {
	if d.ListEnd > max(s.listEnd, s.newerList.end) {
		s.newerList = listReport{end: d.ListEnd, mesh: d.Mesh}
	}
}

// suspect reports whether the instance at an address does not answer this one.
func (s *state) suspect(now time.Time, address string) bool {
	p, ok := s.peers[address]
	return ok && (p.failed || !p.sentAt.IsZero() && now.Sub(p.sentAt) > suspectAfter)
}

func (s *state) source(incarnation string) *source {
	src, ok := s.sources[incarnation]
	if !ok {
		src = &source{members: make(map[uint32]*reportedMember)}
		s.sources[incarnation] = src
	}
	return src
}

// updateLedger records what this instance reports about members.
func (s *state) updateLedger(now time.Time, members []jaymember.Status) {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Incarnation] = true
		if at, ok := s.evidence(m.Member); ok {
			s.ledger.update(m.Member, now.Sub(at) <= jaymember.SilenceTimeout)
		}
	}
	for incarnation := range s.ledger.entries {
		if !known[incarnation] {
			s.ledger.remove(incarnation)
		}
	}
}

// evidence returns when a member was last alive by what this instance may report, and whether it
// may report anything.
func (s *state) evidence(m jaymember.Member) (at time.Time, ok bool) {
	at, ok = s.directAt[m.Incarnation]
	if m.Zone == s.view.Self().Zone {
		return at, ok
	}
	if zoneAt, reported := s.zoneAt[m.Incarnation]; reported && !zoneAt.Before(at) {
		return zoneAt, true
	}
	return at, ok
}

// prune drops what belongs to members that are gone, and prefixes that are no longer reported.
func (s *state) prune(now time.Time, members []jaymember.Status) {
	s.ledger.prune(now)
	maps.DeleteFunc(s.sources, func(_ string, src *source) bool { return now.Sub(src.at) > sourceTTL })
	for incarnation, p := range s.positions {
		if now.Sub(p.sentAt) > sourceTTL {
			delete(s.positions, incarnation)
		}
	}
	known := make(map[string]bool, len(members))
	s.addresses = make(map[string]bool, len(members))
	for _, m := range members {
		known[m.Incarnation], s.addresses[m.Peer] = true, true
	}
	for _, seed := range s.view.Seeds() {
		s.addresses[seed.Peer] = true
	}
	for _, src := range s.sources {
		maps.DeleteFunc(src.members, func(_ uint32, m *reportedMember) bool { return !m.state.Alive && !known[m.identity.Incarnation] })
	}
	maps.DeleteFunc(s.directAt, func(incarnation string, _ time.Time) bool { return !known[incarnation] })
	maps.DeleteFunc(s.zoneAt, func(incarnation string, _ time.Time) bool { return !known[incarnation] })
	maps.DeleteFunc(s.peers, func(address string, p *peer) bool { return p.sentAt.IsZero() && !s.addresses[address] })
}
