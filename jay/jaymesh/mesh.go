// Package jaymesh keeps an instance in touch with the others: it exchanges
// digests, passes on calls and snapshots, and ranks entry addresses.
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
	// tickPeriod is the time between two digests within a zone.
	tickPeriod = 500 * time.Millisecond
	// farEvery is the number of ticks between two digests to another zone.
	farEvery = 4
	// loadsPassed bounds the load reports that are passed to other zones.
	loadsPassed = 64
	// loadTrust is how long a load report is passed on.
	loadTrust = 5 * time.Second
	// slowBound bounds how long a notice of a slow upstream may take; later it is no news.
	slowBound = time.Second
)

// Configs gives the configuration's position and snapshots.
type Configs interface {
	Next() int64
	View() *jayconfig.View
}

// Loads gives what an instance knows of load first-hand.
type Loads interface {
	// Demand returns the work that callers ask of this instance, by model.
	Demand(ctx context.Context) map[string]jaymember.Demand
	// Running returns this instance's work at each upstream.
	Running(ctx context.Context) (map[string]int, error)
	// Heard takes in that another instance found an upstream slow.
	Heard(name string)
	// Peers takes in this instance's place among the others, and their work.
	Peers(place jaymember.Place, others map[string]int)
	// Report takes in a load report.
	Report(name string, load jayengine.Load)
}

// Options are what a mesh is made of.
type Options struct {
	Self  jaymember.Member
	Key   []byte
	Loads Loads
	// Working returns the number of requests at work.
	Working func() int
	// Share takes in the part of shared limits that is this instance's.
	Share func(float64)
	Home  *jayonce.Home
	Log   *slog.Logger
}

// Mesh is the part that talks to other instances. It is safe for concurrent use.
type Mesh struct {
	Options
	configs Configs
	owner   *jaytask.Owner[state]
	group   *jaytask.Group
}

// New returns a mesh that knows only its own instance.
func New(options Options) *Mesh {
	s := &state{
		view:    jaymember.NewView(options.Self),
		clients: make(map[string]*client),
		running: make(map[string]counted),
		loads:   make(map[string]heardLoad),
	}
	return &Mesh{Options: options, owner: jaytask.NewOwner(s, 0, nil), group: jaytask.NewGroup()}
}

// Announce tells all contacts at once of a change of this instance's condition.
func (m *Mesh) Announce(ctx context.Context) {
	_ = m.owner.Ask(ctx, func(s *state) { s.urgent = true })
	m.tick(ctx)
}

// Bind sets where the mesh learns of the configuration; call it before Start.
func (m *Mesh) Bind(configs Configs) {
	m.configs = configs
}

// Done is closed when the mesh has stopped.
func (m *Mesh) Done() <-chan struct{} {
	return m.group.Done()
}

// HandOver gives outcomes to the other instances of the zone, so that they
// can answer for this one.
func (m *Mesh) HandOver(ctx context.Context, outcomes []jayonce.Recorded) int {
	body, err := msgpack.Marshal(outcomes)
	if err != nil || len(outcomes) == 0 {
		return 0
	}
	given := 0
	for _, contact := range m.contacts(ctx) {
		if _, err := contact.Ask(ctx, jaypeer.TopicOutcomes, body, jaypeer.SilentBound); err == nil {
			given++
		}
	}
	return given
}

// Leave tells all contacts that this instance stops.
func (m *Mesh) Leave(ctx context.Context) {
	_ = m.owner.Ask(ctx, func(s *state) {
		s.view.State(func(self *jaymember.Member) { self.Leaving = true })
	})
	m.Announce(ctx)
}

// List takes in the platform's list, and gets in touch with instances that are new on it.
func (m *Mesh) List(list []jaylist.Instance) {
	seeds := 0
	_ = m.owner.Ask(context.Background(), func(s *state) {
		s.view.List(list)
		seeds = len(s.view.Seeds())
	})
	if seeds > 0 {
		m.group.Go(m.tick)
	}
}

// Slow tells all contacts at once that an upstream has become slow: their
// own work there would show it later. It does not wait.
func (m *Mesh) Slow(name string) {
	body, err := msgpack.Marshal(&slowNotice{Upstream: name})
	if err != nil {
		m.Log.Error("notice not encoded", "error", err)
		return
	}
	m.group.Go(func(ctx context.Context) {
		for _, contact := range m.contacts(ctx) {
			m.group.Go(func(ctx context.Context) {
				_, _ = contact.Ask(ctx, jaypeer.TopicSlow, body, slowBound)
			})
		}
	})
}

// Start begins to exchange digests.
func (m *Mesh) Start() {
	m.group.Every(tickPeriod, m.tick)
}

// Stop ends the mesh.
func (m *Mesh) Stop() {
	m.group.Stop()
	_ = m.owner.Ask(context.Background(), func(s *state) {
		for _, c := range s.clients {
			c.Close()
		}
	})
	m.owner.Stop()
}

// Watched takes in a load report that this instance fetched itself.
func (m *Mesh) Watched(name string, load jayengine.Load) {
	m.Loads.Report(name, load)
	_ = m.owner.Tell(context.Background(), func(s *state) { s.hearLoad(time.Now(), name, load, true) })
}

// client returns the client of an address, made when first needed.
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
	_ = m.owner.Ask(ctx, func(s *state) {
		for _, contact := range jaymember.Contacts(s.view.Self(), s.view.Members()) {
			list = append(list, m.client(s, contact.Peer))
		}
	})
	return list
}
