package jaymesh

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
)

// pendingExchange is a digest to be sent to one contact.
type pendingExchange struct {
	client *client
	digest Digest
}

// tick updates this instance's heartbeat and exchanges digests with the contacts that are due.
func (m *Mesh) tick(ctx context.Context) {
	own, err := m.ownRunning(ctx)
	if err != nil {
		return
	}
	inFlight, position, demand := m.InFlight(), m.configs.Position(), m.Loads.Demand(ctx)
	var exchanges []pendingExchange
	_ = m.owner.Call(ctx, func(s *state) {
		s.view.UpdateSelf(func(self *jaymember.Member) {
			self.Load = inFlight
			self.Config = position
			self.Demand = demand
		})
		exchanges = m.plan(s, own)
	})
	for _, p := range exchanges {
		m.group.Go(func(ctx context.Context) { m.exchange(ctx, p) })
	}
}

// ownRunning returns the number of requests that this instance runs at each upstream.
func (m *Mesh) ownRunning(ctx context.Context) ([]Running, error) {
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

// plan advances the view, evicts stale state and returns the exchanges of this tick.
func (m *Mesh) plan(s *state, own []Running) []pendingExchange {
	now := time.Now()
	s.view.Tick(now)
	s.members = s.view.Members()
	s.evictStale(now)
	m.updateShare(s)
	interZone := s.ticks%interZoneTicks == 0 || s.urgent
	s.ticks++
	var exchanges []pendingExchange
	for _, contact := range m.targets(s, interZone) {
		c := m.client(s, contact.Peer)
		if c.inFlight {
			c.repeat = c.repeat || s.urgent
			continue
		}
		c.inFlight = true
		sameZone := contact.Zone == m.Self.Zone
		exchanges = append(exchanges, pendingExchange{client: c, digest: s.digest(now, own, sameZone)})
	}
	s.urgent = false
	return exchanges
}

// targets returns the contacts and seeds to exchange with in this tick. Those of other zones
// are included if interZone is set, seeds always.
func (m *Mesh) targets(s *state, interZone bool) []jaymember.Status {
	var list []jaymember.Status
	for _, contact := range jaymember.Contacts(s.view.Self(), s.members) {
		if contact.Zone == m.Self.Zone || interZone {
			list = append(list, contact)
		}
	}
	for _, seed := range s.view.Seeds() {
		list = append(list, jaymember.Status{Member: jaymember.Member{Name: seed.Name, Peer: seed.Peer, Zone: seed.Zone}})
	}
	return list
}

// updateShare divides the shared limits evenly among the usable members and passes on the
// number of requests that other instances run at each upstream.
func (m *Mesh) updateShare(s *state) {
	ranking := jaymember.RankingOf(m.Self, s.members)
	others := make(map[string]int)
	for _, peer := range s.running {
		for _, r := range peer.counts {
			others[r.Upstream] += r.Count
		}
	}
	m.Loads.SetPeers(ranking, others)
	m.Share(1 / float64(ranking.All))
}

// exchange sends a digest and merges the reply. If a change was announced while the exchange
// was in flight, it calls Announce again.
func (m *Mesh) exchange(ctx context.Context, p pendingExchange) {
	defer func() {
		repeat := false
		_ = m.owner.Call(context.Background(), func(*state) {
			repeat, p.client.inFlight, p.client.repeat = p.client.repeat, false, false
		})
		if repeat {
			m.group.Go(m.Announce)
		}
	}()
	body, err := msgpack.Marshal(&p.digest)
	if err != nil {
		m.Log.Error("digest not encoded", "error", err)
		return
	}
	reply, err := p.client.Ask(ctx, jaypeer.TopicDigest, body, jaypeer.SilentBound)
	if err != nil {
		m.Log.Debug("digest exchange failed", "error", err)
		return
	}
	if _, err := m.receive(ctx, reply); err != nil {
		m.Log.Debug("digest not merged", "error", err)
	}
}

// receive decodes and merges the digest of another instance and returns its sender.
func (m *Mesh) receive(ctx context.Context, body []byte) (jaymember.Member, error) {
	var digest Digest
	if err := msgpack.Unmarshal(body, &digest); err != nil {
		return jaymember.Member{}, wrapError("digest", err)
	}
	now := time.Now()
	for _, l := range digest.Loads {
		m.Loads.RecordLoad(l.Upstream, l.Load)
	}
	return digest.From, m.owner.Call(ctx, func(s *state) {
		s.view.Merge(now, digest.From)
		for _, member := range digest.Members {
			s.view.Merge(now, member)
		}
		for _, l := range digest.Loads {
			s.recordLoad(now, l.Upstream, l.Load, false)
		}
		s.running[digest.From.Incarnation] = peerRunning{received: now, counts: digest.Running}
	})
}
