package jaymesh

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
)

// queryTimeout bounds a query to the mesh's owner goroutine.
const queryTimeout = time.Second

// Count returns the number of live instances.
func (m *Mesh) Count() int {
	live := 0
	for _, member := range m.Members() {
		if !member.Silent {
			live++
		}
	}
	return live
}

// Demand returns the work that callers request from the live instances of a region, by model.
func (m *Mesh) Demand(region string) map[string]jaymember.Demand {
	total := make(map[string]jaymember.Demand)
	for _, member := range m.Members() {
		if member.Silent || member.Region != region {
			continue
		}
		for model, demand := range member.Demand {
			total[model] = total[model].Plus(demand)
		}
	}
	return total
}

// Entries returns the instances that callers of a region should use, the best first.
func (m *Mesh) Entries(region string) []jayentry.Entry {
	members := m.Members()
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) //nolint:gosec // Load spreading needs no cryptographic randomness.
	return jayentry.Rank(region, members, rng)
}

// InForce returns the number of live members that have applied an offset, and the number of
// live members plus that of listed instances that had sent no heartbeat when the list was
// applied.
func (m *Mesh) InForce(offset int64) (inForce, live int) {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	_ = m.owner.Call(ctx, func(s *state) { live = len(s.view.Seeds()) })
	for _, member := range m.Members() {
		if member.Silent {
			continue
		}
		live++
		if member.Config > offset {
			inForce++
		}
	}
	return inForce, live
}

// Members returns this instance and all known others.
func (m *Mesh) Members() []jaymember.Status {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	var list []jaymember.Status
	_ = m.owner.Call(ctx, func(s *state) {
		self := s.view.Self()
		self.Config = m.configs.Position()
		list = append(list, jaymember.Status{Member: self, ReceivedAt: time.Now(), Listed: true})
		list = append(list, s.view.Members()...)
	})
	return list
}

// Snapshot returns a configuration newer than a position from a member, and tries those with
// the newest configuration first.
func (m *Mesh) Snapshot(ctx context.Context, above int64) (jayconfig.Snapshot, bool) {
	ahead := m.ahead(ctx, above)
	for _, c := range ahead {
		body, err := msgpack.Marshal(&snapshotRequest{Above: above})
		if err != nil {
			return jayconfig.Snapshot{}, false
		}
		reply, err := c.Ask(ctx, jaypeer.TopicSnapshot, body, jaypeer.SilentBound)
		if err != nil {
			continue
		}
		if snapshot, err := jayconfig.DecodeSnapshot(reply); err == nil && snapshot.Position > above {
			return snapshot, true
		}
	}
	return jayconfig.Snapshot{}, false
}

// ahead returns the clients of members with a newer configuration, the newest first.
func (m *Mesh) ahead(ctx context.Context, above int64) []*client {
	var list []*client
	_ = m.owner.Call(ctx, func(s *state) {
		members := slices.Clone(s.view.Members())
		slices.SortStableFunc(members, func(a, b jaymember.Status) int { return int(b.Config - a.Config) })
		for _, member := range members {
			if member.Config > above && !member.Silent {
				list = append(list, m.client(s, member.Peer))
			}
		}
	})
	return list
}
