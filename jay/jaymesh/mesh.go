// Package jaymesh connects an instance with the others: it exchanges digests with
// them by gossip, forwards calls, transfers outcomes and configuration snapshots, and
// ranks entry addresses.
package jaymesh

import (
	"context"
	"log/slog"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jayonce"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaytask"
)

const (
	// tickPeriod is the time between two exchanges with a contact in the same zone.
	tickPeriod = 500 * time.Millisecond
	// interZoneTicks is the number of ticks between two exchanges with a contact in another zone.
	interZoneTicks = 4
	// maxForwardedLoads is the number of known load reports above which none are forwarded to
	// other zones.
	maxForwardedLoads = 64
	// loadTTL is the age above which load reports, and other instances' counts of running
	// requests, are dropped.
	loadTTL = 5 * time.Second
	// slowNoticeTimeout bounds sending a notice of a slow upstream; after that it is out of date.
	slowNoticeTimeout = time.Second
)

// Configs provides the configuration in force and its position.
type Configs interface {
	Position() int64
	View() *jayconfig.View
}

// Loads holds the load that this instance observes and receives the load that others report.
type Loads interface {
	// Demand returns the work that callers request from this instance, by model.
	Demand(ctx context.Context) map[string]jaymember.Demand
	// Running returns the number of requests that this instance runs at each upstream.
	Running(ctx context.Context) (map[string]int, error)
	// MarkSlow records that another instance reported an upstream as slow.
	MarkSlow(name string)
	// SetPeers records this instance's ranking among the usable members, and the number of
	// requests that the others run at each upstream.
	SetPeers(ranking jaymember.Ranking, others map[string]int)
	// RecordLoad records the load report of an upstream.
	RecordLoad(name string, load jayengine.Load)
}

// Options holds the settings and dependencies of a Mesh.
type Options struct {
	Self  jaymember.Member
	Key   []byte
	Loads Loads
	// InFlight returns the number of requests in flight.
	InFlight func() int
	// Share sets the fraction of the shared limits that this instance may use.
	Share func(float64)
	Home  *jayonce.Home
	Log   *slog.Logger
}

// Mesh exchanges messages with the other instances. It is safe for concurrent use.
type Mesh struct {
	Options
	configs Configs
	owner   *jaytask.Owner[state]
	group   *jaytask.Group
}

// New returns a mesh whose only member is its own instance.
func New(options Options) *Mesh {
	s := &state{
		view:    jaymember.NewView(options.Self),
		clients: make(map[string]*client),
		running: make(map[string]peerRunning),
		loads:   make(map[string]loadReport),
	}
	return &Mesh{Options: options, owner: jaytask.NewOwner(s, 0, nil), group: jaytask.NewGroup()}
}

// Announce starts an exchange with all contacts, also those of other zones, after a change of
// this instance's state. Exchanges in flight are repeated when they end.
func (m *Mesh) Announce(ctx context.Context) {
	_ = m.owner.Call(ctx, func(s *state) { s.urgent = true })
	m.tick(ctx)
}

// SetConfigs sets the source of the configuration; call it before Start.
func (m *Mesh) SetConfigs(configs Configs) {
	m.configs = configs
}

// Done is closed when the mesh has stopped.
func (m *Mesh) Done() <-chan struct{} {
	return m.group.Done()
}

// SendOutcomes sends outcomes to all contacts, so that they can answer for this instance,
// and returns how many accepted them.
func (m *Mesh) SendOutcomes(ctx context.Context, outcomes []jayonce.KeyOutcome) int {
	body, err := msgpack.Marshal(outcomes)
	if err != nil || len(outcomes) == 0 {
		return 0
	}
	accepted := 0
	for _, contact := range m.contacts(ctx) {
		if _, err := contact.Ask(ctx, jaypeer.TopicOutcomes, body, jaypeer.SilentBound); err == nil {
			accepted++
		}
	}
	return accepted
}

// Leave marks this instance as leaving and announces that to all contacts.
func (m *Mesh) Leave(ctx context.Context) {
	_ = m.owner.Call(ctx, func(s *state) {
		s.view.UpdateSelf(func(self *jaymember.Member) { self.Leaving = true })
	})
	m.Announce(ctx)
}

// ApplyList applies the platform's list of instances, and starts an exchange at once if it has
// instances that have sent no heartbeat yet.
func (m *Mesh) ApplyList(list []jaylist.Instance) {
	seeds := 0
	_ = m.owner.Call(context.Background(), func(s *state) {
		s.view.List(list)
		seeds = len(s.view.Seeds())
	})
	if seeds > 0 {
		m.group.Go(m.tick)
	}
}

// NotifySlow notifies all contacts at once that an upstream has become slow: their own
// requests there would show it later. It does not wait for replies.
func (m *Mesh) NotifySlow(name string) {
	body, err := msgpack.Marshal(&slowNotice{Upstream: name})
	if err != nil {
		m.Log.Error("slow notice not encoded", "error", err)
		return
	}
	m.group.Go(func(ctx context.Context) {
		for _, contact := range m.contacts(ctx) {
			m.group.Go(func(ctx context.Context) {
				_, _ = contact.Ask(ctx, jaypeer.TopicSlow, body, slowNoticeTimeout)
			})
		}
	})
}

// Start begins to exchange digests.
func (m *Mesh) Start() {
	m.group.Every(tickPeriod, m.tick)
}

// Stop ends the exchanges and closes all connections.
func (m *Mesh) Stop() {
	m.group.Stop()
	_ = m.owner.Call(context.Background(), func(s *state) {
		for _, c := range s.clients {
			c.Close()
		}
	})
	m.owner.Stop()
}

// RecordLoad records a load report that this instance fetched itself.
func (m *Mesh) RecordLoad(name string, load jayengine.Load) {
	m.Loads.RecordLoad(name, load)
	_ = m.owner.Send(context.Background(), func(s *state) { s.recordLoad(time.Now(), name, load, true) })
}

// client returns the client of the instance at an address and creates it on first use.
func (m *Mesh) client(s *state, address string) *client {
	c, ok := s.clients[address]
	if !ok {
		c = &client{Client: jaypeer.NewClient(address, m.Key)}
		s.clients[address] = c
	}
	return c
}

// contacts returns the clients of all contacts.
func (m *Mesh) contacts(ctx context.Context) []*client {
	var list []*client
	_ = m.owner.Call(ctx, func(s *state) {
		for _, contact := range jaymember.Contacts(s.view.Self(), s.view.Members()) {
			list = append(list, m.client(s, contact.Peer))
		}
	})
	return list
}
