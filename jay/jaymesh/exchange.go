package jaymesh

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
)

// round is one exchange of digests with one contact.
type round struct {
	client *client
	digest Digest
}

// tick states this instance's condition and exchanges digests.
func (m *Mesh) tick(ctx context.Context) {
	own, err := m.ownWork(ctx)
	if err != nil {
		return
	}
	working, next, demand := m.Working(), m.configs.Next(), m.Loads.Demand(ctx)
	var rounds []round
	_ = m.owner.Ask(ctx, func(s *state) {
		s.view.State(func(self *jaymember.Member) {
			self.Load = working
			self.Config = next
			self.Demand = demand
		})
		rounds = m.plan(s, own)
	})
	for _, r := range rounds {
		m.group.Go(func(ctx context.Context) { m.exchange(ctx, r) })
	}
}

// ownWork returns this instance's work at each upstream.
func (m *Mesh) ownWork(ctx context.Context) ([]Running, error) {
	running, err := m.Loads.Running(ctx)
	if err != nil {
		return nil, err
	}
	own := make([]Running, 0, len(running))
	for name, count := range running {
		own = append(own, Running{Upstream: name, Count: count})
	}
	return own, nil
}

// plan advances the view and returns the exchanges of this tick.
func (m *Mesh) plan(s *state, own []Running) []round {
	now := time.Now()
	s.view.Tick(now)
	s.members = s.view.Members()
	s.forget(now)
	m.shareOut(s)
	far := s.ticks%farEvery == 0 || s.urgent
	s.ticks++
	var rounds []round
	for _, contact := range m.targets(s, far) {
		c := m.client(s, contact.Peer)
		if c.busy {
			c.again = c.again || s.urgent
			continue
		}
		c.busy = true
		near := contact.Zone == m.Self.Zone
		rounds = append(rounds, round{client: c, digest: s.digest(now, own, near)})
	}
	s.urgent = false
	return rounds
}

// targets returns the contacts that this instance calls now.
func (m *Mesh) targets(s *state, far bool) []jaymember.Status {
	var list []jaymember.Status
	for _, contact := range jaymember.Contacts(s.view.Self(), s.members) {
		if contact.Zone == m.Self.Zone || far {
			list = append(list, contact)
		}
	}
	for _, seed := range s.view.Seeds() {
		list = append(list, jaymember.Status{Member: jaymember.Member{Name: seed.Name, Peer: seed.Peer, Zone: seed.Zone}})
	}
	return list
}

// shareOut splits the capacity over the members that take work.
func (m *Mesh) shareOut(s *state) {
	place := jaymember.PlaceOf(m.Self, s.members)
	others := make(map[string]int)
	for _, told := range s.running {
		for _, r := range told.list {
			others[r.Upstream] += r.Count
		}
	}
	m.Loads.Peers(place, others)
	m.Share(1 / float64(place.All))
}

// exchange sends a digest and takes in the reply.
func (m *Mesh) exchange(ctx context.Context, r round) {
	defer func() {
		again := false
		_ = m.owner.Ask(context.Background(), func(*state) {
			again, r.client.busy, r.client.again = r.client.again, false, false
		})
		if again {
			m.group.Go(m.Announce)
		}
	}()
	body, err := msgpack.Marshal(&r.digest)
	if err != nil {
		m.Log.Error("digest not encoded", "error", err)
		return
	}
	reply, err := r.client.Ask(ctx, jaypeer.TopicDigest, body, jaypeer.SilentBound)
	if err != nil {
		m.Log.Debug("digest not exchanged", "error", err)
		return
	}
	if _, err := m.hear(ctx, reply); err != nil {
		m.Log.Debug("digest not read", "error", err)
	}
}

// hear takes in the digest of another instance and returns who sent it.
func (m *Mesh) hear(ctx context.Context, body []byte) (jaymember.Member, error) {
	var digest Digest
	if err := msgpack.Unmarshal(body, &digest); err != nil {
		return jaymember.Member{}, wrapError("digest", err)
	}
	now := time.Now()
	for _, l := range digest.Loads {
		m.Loads.Report(l.Upstream, l.Load)
	}
	return digest.From, m.owner.Ask(ctx, func(s *state) {
		s.view.Hear(now, digest.From)
		for _, member := range digest.Members {
			s.view.Hear(now, member)
		}
		for _, l := range digest.Loads {
			s.hearLoad(now, l.Upstream, l.Load, false)
		}
		s.running[digest.From.Incarnation] = counted{heard: now, list: digest.Running}
	})
}
