package jayroster

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
)

// digest is the message that two instances exchange.
type digest struct {
	// Incarnation and Zone are those of the sender, To is the incarnation of the instance for
	// which the digest was made.
	Incarnation string `msgpack:"i"`
	Zone        string `msgpack:"z"`
	To          string `msgpack:"o,omitempty"`
	// Self is the heartbeat of the sender.
	Self jaymember.Member `msgpack:"s"`
	// ListEnd is the position up to which the newest list of instances is complete that the sender knows
	// of, and Mesh the kind of mesh that follows from it. Instances of a former release report neither.
	ListEnd jaystore.Position `msgpack:"l,omitempty"`
	Mesh    meshKind          `msgpack:"m,omitempty"`
	// Version is the version of the sender's ledger up to which Changes lead, Ack that of the
	// receiver's ledger up to which the sender has merged its changes.
	Version uint64         `msgpack:"v,omitempty"`
	Ack     uint64         `msgpack:"a,omitempty"`
	Changes []memberChange `msgpack:"c,omitempty"`
	// WantSums asks for the sums of the receiver's zone.
	WantSums bool  `msgpack:"w,omitempty"`
	Sums     *sums `msgpack:"u,omitempty"`
	// WantRelay asks the first hub of the sender's zone for what other zones report. NoSums is set if the sender has the sums of
	// the receiver's zone from there. Instances of a former release know neither, and get sums from each hub.
	WantRelay bool   `msgpack:"x,omitempty"`
	RelayAck  uint64 `msgpack:"y,omitempty"`
	Relay     *relay `msgpack:"r,omitempty"`
	NoSums    bool   `msgpack:"n,omitempty"`
	// Packs is set if the sender decodes packed sums.
	Packs bool `msgpack:"k,omitempty"`
	// Usage is an encoded usageDigest, absent unless usage is reported or engines are ordered.
	Usage []byte `msgpack:"q,omitempty"`
}

// contact is an instance to exchange with.
type contact struct {
	incarnation, peer, zone string
	wantSums, wantRelay     bool
}

// tick starts a round of exchanges if one is due, or asks for the relay between two rounds.
func (r *Roster) tick(s *state, now time.Time) {
	s.ticks++
	if !s.partialMesh() || s.ticks%partialTicks == 0 {
		r.exchangeAll(s, now)
		return
	}
	for _, c := range s.relayContacts(now) {
		r.exchange(s, now, c)
	}
}

// exchangeAll updates this instance's heartbeat, starts an exchange with each contact that is due
// and passes on the members and what they report.
func (r *Roster) exchangeAll(s *state, now time.Time) {
	defer r.traffic.measure(jaypeer.TopicRoster)()
	members, contacts := s.beginRound(now, func(self *jaymember.Member) {
		// It waits for the owners of what it fills in, which is no processing time of the round.
		start := time.Now()
		r.source.FillHeartbeat(self)
		r.traffic.Spent(jaypeer.TopicRoster, -time.Since(start))
		self.Mirrors = r.mirrors.Positions(now)
	})
	r.others.Store(&members)
	r.closeConnections(s)
	if s.updateMesh() {
		r.log.Info("kind of mesh changed", "mesh", s.mesh, "entries", len(s.listed), "live", 1+jaymember.Live(members), "limit", maxFullMesh+1)
	}
	for _, c := range contacts {
		r.exchange(s, now, c)
	}
	r.removeExpired(s, now, members)
	r.updateRank(s.view.Self(), s.candidates(now, members))
	r.changed(members, s.view.Population())
	if r.reported != nil {
		r.reported(s.report(now))
	}
}

// closeConnections drops the connections to addresses of instances that are gone.
func (r *Roster) closeConnections(s *state) {
	r.clients.Range(func(key, value any) bool {
		to, isConnection := key.(connection)
		client, isClient := value.(*jaypeer.Client)
		if isConnection && isClient && !s.addresses[to.address] {
			r.clients.Delete(key)
			r.group.Go(func(context.Context) { client.Close() })
		}
		return true
	})
}

// beginRound updates this instance's heartbeat and what it reports, and returns all members and the
// contacts of the round.
func (s *state) beginRound(now time.Time, fill func(self *jaymember.Member)) ([]jaymember.Status, []contact) {
	s.rounds++
	s.view.UpdateSelf(fill)
	s.view.Tick(now)
	members := s.view.Members()
	if s.meter != nil {
		s.meter.Update(now, s.view.Self().Incarnation, s.view.Self().Zone)
	}
	if s.partialMesh() {
		s.updateLedger(now, members)
		for _, prefix := range s.view.Self().CachedPrefixes {
			s.ledger.announce(now, prefix, true)
		}
	}
	s.prune(now, members)
	candidates := s.candidates(now, members)
	hubs := hubsOf(s.view.Self().Zone, candidates)
	s.isHub = rankOf(s.view.Self().Incarnation, hubs) < len(hubs)
	return members, s.contacts(members, candidates)
}

// contacts returns the instances to exchange with in this round.
func (s *state) contacts(members []jaymember.Status, candidates []candidate) []contact {
	if s.partialMesh() {
		return s.hubContacts(candidates)
	}
	return s.meshContacts(members, candidates)
}

// meshContacts returns the contacts in a full mesh. Of two members of each other's view, the one
// with the higher incarnation sends the request, since the watcher has the lowest and only a
// reply bounds the age of its positions. The watcher, silent members and seeds are
// contacted by all.
func (s *state) meshContacts(members []jaymember.Status, candidates []candidate) []contact {
	self := s.view.Self()
	watcher := ""
	if hubs := hubsOf(self.Zone, candidates); len(hubs) > 0 {
		watcher = hubs[0].incarnation
	}
	var contacts []contact
	for _, m := range members {
		if m.Peer == "" || m.Unlisted && m.Silent {
			continue
		}
		if self.Incarnation > m.Incarnation || m.Silent || m.Incarnation == watcher {
			contacts = append(contacts, contact{incarnation: m.Incarnation, peer: m.Peer, zone: m.Zone})
		}
	}
	for _, seed := range s.view.Seeds() {
		contacts = append(contacts, contact{incarnation: seed.Incarnation, peer: seed.Peer, zone: seed.Zone})
	}
	return contacts
}

// hubContacts returns the contacts in a partial mesh: the hubs of the own zone and, for a hub, one
// hub of each other zone whose name is greater. Each round includes the first hub, which supplies the
// sums of the zone.
func (s *state) hubContacts(candidates []candidate) []contact {
	self := s.view.Self()
	hubs := hubsOf(self.Zone, candidates)
	rank := rankOf(self.Incarnation, hubs)
	isHub := rank < len(hubs)
	var contacts []contact
	for n, c := range hubs[:rank] {
		if first := n == 0; isHub || first || s.rounds%secondaryRounds == 0 {
			contacts = append(contacts, contact{incarnation: c.incarnation, peer: c.peer, zone: c.zone, wantSums: !isHub && first})
		}
	}
	contacts = append(contacts, s.retries(self.Zone, candidates, hubs)...)
	if !isHub {
		return contacts
	}
	for _, zone := range zonesOf(candidates, self.Zone) {
		if zone < self.Zone {
			continue
		}
		remote := hubsOf(zone, candidates)
		if len(remote) > 0 {
			c := remote[min(rank, len(remote)-1)]
			contacts = append(contacts, contact{incarnation: c.incarnation, peer: c.peer, zone: c.zone})
		}
		contacts = append(contacts, s.retries(zone, candidates, remote)...)
	}
	return contacts
}

// retries returns the instances of a zone that were passed over as hubs and are contacted again in
// this round.
func (s *state) retries(zone string, candidates, hubs []candidate) []contact {
	if s.rounds%retryRounds != 0 {
		return nil
	}
	list := passedOver(zone, candidates, hubs)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] }) //nolint:gosec // Load spreading needs no secrecy.
	var contacts []contact
	for _, c := range list[:min(maxRetries, len(list))] {
		if c.incarnation != s.view.Self().Incarnation {
			contacts = append(contacts, contact{incarnation: c.incarnation, peer: c.peer, zone: c.zone})
		}
	}
	return contacts
}

// exchange sends a digest to one instance and merges its reply, in a separate goroutine,
// unless an exchange with it is in flight.
func (r *Roster) exchange(s *state, now time.Time, c contact) {
	p, ok := s.peers[c.peer]
	if !ok {
		p = &peer{}
		s.peers[c.peer] = p
	}
	if !p.sentAt.IsZero() {
		return
	}
	body, err := encode(s.request(now, c))
	if err != nil {
		r.log.Error("digest not encoded", "error", err)
		return
	}
	p.sentAt = now
	r.group.Go(func(ctx context.Context) {
		reply, err := r.ask(ctx, connection{address: c.peer, topic: noTopic}, jaypeer.TopicRoster, body, exchangeBound)
		receivedAt := time.Now()
		var received digest
		if err == nil {
			err = msgpack.Unmarshal(reply, &received)
			r.traffic.Spent(jaypeer.TopicRoster, time.Since(receivedAt))
		}
		if err != nil {
			r.log.Debug("instance does not answer", "address", c.peer, "error", err)
		}
		sendErr := r.owner.Send(ctx, func(s *state) {
			p.sentAt, p.failed = time.Time{}, err != nil
			if err == nil {
				start := time.Now()
				s.mergeReply(start, received, now)
				s.mergeUsageReply(received, now, receivedAt)
				r.positions.set(s.positions)
				r.traffic.Spent(jaypeer.TopicRoster, time.Since(start))
			}
		})
		if sendErr != nil {
			r.log.Debug("reply not merged", "address", c.peer, "error", sendErr)
		}
	})
}

// mergeReply merges the reply to a request that was sent at a point in time.
func (s *state) mergeReply(now time.Time, d digest, sentAt time.Time) {
	s.merge(now, d)
	if d.To == s.view.Self().Incarnation {
		s.source(d.Incarnation).acked = d.Ack
	}
	if d.Zone == s.view.Self().Zone {
		s.positions[d.Incarnation] = position{peer: d.Self.Peer, mirrors: d.Self.Mirrors, sentAt: sentAt}
	}
}

// merge applies a digest.
func (s *state) merge(now time.Time, d digest) {
	self := s.view.Self()
	if d.Incarnation == self.Incarnation || d.Self.Incarnation != d.Incarnation {
		return
	}
	s.mergeList(d)
	before, _ := s.view.Member(d.Incarnation)
	s.view.Merge(now, d.Self)
	if m, ok := s.view.Member(d.Incarnation); ok && m.Sequence > before.Sequence {
		s.directAt[d.Incarnation] = now
		if s.partialMesh() && d.Zone == self.Zone {
			s.ledger.update(m.Member, true)
		}
	}
	s.announced = append(s.announced, d.Self.CachedPrefixes...)
	for _, prefix := range d.Self.CachedPrefixes {
		s.ledger.announce(now, prefix, d.Zone == self.Zone)
	}
	s.mergeChanges(now, d)
	src := s.source(d.Incarnation)
	src.noSums, src.packs = d.NoSums, d.Packs
	s.mergeSums(now, d)
	s.mergeRelay(now, d)
	s.mergeUsage(now, d)
}

// mergeChanges applies the changes of members in a digest, and confirms all members that its
// sender reports to be alive. A digest without a version or with an old one confirms nothing.
func (s *state) mergeChanges(now time.Time, d digest) {
	src := s.source(d.Incarnation)
	src.at = now
	if d.Version == 0 || d.Version < src.version {
		return
	}
	src.version = d.Version
	for _, c := range d.Changes {
		if !src.apply(c) {
			// Everything is requested again.
			src.version = 0
			continue
		}
		if !c.State.Alive {
			s.markGone(now, src.members[c.Number].identity, d.Zone)
		}
	}
	for _, m := range src.members {
		s.view.Vouch(now, m.identity.member(m.state), m.state.Alive)
		if zone := m.identity.Zone; m.state.Alive && zone == d.Zone && zone != s.view.Self().Zone {
			s.zoneAt[m.identity.Incarnation] = now
		}
	}
}

// markGone records that an instance of a zone no longer takes a member for alive. Another one that
// does confirms the member with its next digest.
func (s *state) markGone(now time.Time, member identity, zone string) {
	if at, ok := s.directAt[member.Incarnation]; ok && now.Sub(at) <= jaymember.SilenceTimeout {
		return
	}
	s.view.MarkSilent(now, member.Incarnation)
	if _, ok := s.zoneAt[member.Incarnation]; ok && zone == member.Zone {
		s.zoneAt[member.Incarnation] = time.Time{}
	}
}

// apply applies a change. It reports false if the member is not known.
func (src *source) apply(c memberChange) bool {
	if c.Identity != nil {
		src.members[c.Number] = &reportedMember{identity: *c.Identity, state: c.State}
		return true
	}
	m, ok := src.members[c.Number]
	if ok {
		m.state = c.State
	}
	return ok
}

func (s *state) mergeSums(now time.Time, d digest) {
	if d.Sums == nil {
		return
	}
	unpacked, err := d.Sums.unpack()
	if err != nil {
		// The next digest replaces them.
		return
	}
	s.announced = append(s.announced, unpacked.Prefixes...)
	if d.Zone == s.view.Self().Zone {
		s.hubSums = &receivedSums{at: now, sums: *unpacked}
		return
	}
	s.zoneSums[d.Zone] = receivedSums{at: now, sums: *unpacked}
	for _, prefix := range unpacked.Prefixes {
		s.ledger.announce(now, prefix, false)
	}
}

// digest returns what this instance reports to another one about itself and the list.
func (s *state) digest(to string) digest {
	self, list := s.view.Self(), s.listReport()
	return digest{Incarnation: self.Incarnation, Zone: self.Zone, To: to, Self: self, ListEnd: list.end, Mesh: list.mesh, Packs: true}
}

// request returns the digest to send to a contact.
func (s *state) request(now time.Time, c contact) digest {
	src := s.source(c.incarnation)
	d := s.digest(c.incarnation)
	d.Ack, d.WantSums, d.WantRelay = src.version, c.wantSums, c.wantRelay
	if c.wantRelay {
		d.RelayAck = src.relayVersion
	}
	if s.partialMesh() && c.zone != d.Zone {
		d.NoSums = s.isRelayed(now, c.zone)
		s.addZone(now, &d, src, src.acked)
	}
	d.Usage = s.usageRequest(now, c)
	return d
}

// reply returns the reply to a digest.
func (s *state) reply(now time.Time, received digest) digest {
	d := s.digest(received.Incarnation)
	d.Ack = s.source(received.Incarnation).version
	acked := uint64(0)
	if received.To == d.Incarnation {
		acked = received.Ack
	}
	switch {
	case !s.partialMesh():
	case received.Zone != d.Zone:
		d.NoSums = s.isRelayed(now, received.Zone)
		s.addZone(now, &d, s.source(received.Incarnation), acked)
	default:
		s.addOwnZone(now, &d, received, acked)
	}
	d.Usage = s.usageReply(now, received)
	return d
}

// addOwnZone adds what an instance of the own zone receives in the reply to its digest after an acknowledged version.
func (s *state) addOwnZone(now time.Time, d *digest, received digest, acked uint64) {
	src := s.source(received.Incarnation)
	if received.WantSums {
		t := s.zoneTotal(now, true)
		// The sums of other zones contain nothing of the receiver.
		others := newTotal()
		s.addOtherZones(now, others)
		d.Sums = t.sums(received.Self)
		d.Sums.Tallies = append(d.Sums.Tallies, others.sums(jaymember.Member{}).Tallies...)
		d.Sums.Suspects = append(d.Sums.Suspects, others.suspectList()...)
		d.Sums.Speeds = append(d.Sums.Speeds, others.speedList(jaymember.Member{})...)
		d.Sums.Prefixes = s.ledger.prefixesSince(src.own.since(s.ledger, acked), prefixesOfAll)
		d.Sums = d.Sums.packedIf(received.Packs)
		d.Self = withoutReports(d.Self)
	} else {
		src.own.stop()
	}
	if received.WantRelay {
		d.Relay = s.relayTo(now, received.RelayAck)
	}
	d.Version, d.Changes = s.ledger.version, s.ledger.changesSince(acked, "")
}

// addZone adds what an instance of another zone receives about this one after an acknowledged version.
func (s *state) addZone(now time.Time, d *digest, to *source, acked uint64) {
	d.Self = withoutReports(d.Self)
	d.Self.Mirrors = nil
	// An older statement of the receiver may no longer hold: its replies may be lost while requests arrive.
	if to.noSums && now.Sub(to.at) <= suspectAfter {
		to.direct.stop()
	} else {
		t := s.zoneTotal(now, true)
		d.Sums = t.sums(jaymember.Member{})
		d.Sums.Speeds = s.zoneSpeeds(now, t)
		d.Sums.Work = nil
		d.Sums.Prefixes = s.ledger.prefixesSince(to.direct.since(s.ledger, acked), prefixesOfOwn)
		d.Sums = d.Sums.packedIf(to.packs)
	}
	d.Version, d.Changes = s.ledger.version, s.ledger.changesSince(acked, d.Zone)
}

// withoutReports returns a heartbeat without what sums contain.
func withoutReports(m jaymember.Member) jaymember.Member {
	m.Work, m.CachedPrefixes, m.Tallies, m.Speeds, m.Suspects = nil, nil, nil, nil, nil
	return m
}

func encode(d digest) ([]byte, error) {
	data, err := msgpack.Marshal(&d)
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	return data, nil
}

// updateRank determines the position of this instance among those of its zone that answer. One
// that sees no other becomes the watcher only after startupGrace.
func (r *Roster) updateRank(self jaymember.Member, candidates []candidate) {
	hubs := hubsOf(self.Zone, candidates)
	rank := int64(rankOf(self.Incarnation, hubs))
	if self.Leaving || len(candidates) == 1 && time.Since(r.started) <= startupGrace {
		rank = hubsPerZone
	}
	if before := r.rank.Swap(rank); (before == 0) != (rank == 0) {
		r.log.Info("watcher role of this instance changed", "zone", self.Zone, "self", rank == 0)
	}
}
