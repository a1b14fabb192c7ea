// Package jaymesh keeps an instance in touch with the others: it exchanges
// digests, passes on calls and snapshots, and ranks entry addresses.
package jaymesh

import (
	"context"
	"log/slog"
	"slices"
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
)

// Configs gives the configuration's position and snapshots.
type Configs interface {
	Next() int64
	View() *jayconfig.View
}

// Loads gives what an instance knows of load first-hand.
type Loads interface {
	// Running returns this instance's work at each upstream.
	Running(ctx context.Context) (map[string]int, error)
	// Peers takes in this instance's share of all and of near capacity, and the work of others.
	Peers(share, near float64, others map[string]int)
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

// state is what the mesh's task owns.
type state struct {
	view    *jaymember.View
	clients map[string]*client
	running map[string]counted
	loads   map[string]heardLoad
	ticks   int
	members []jaymember.Status
}

// client is the connection to one contact.
type client struct {
	*jaypeer.Client
	busy bool
}

// counted is the work that one member said it runs.
type counted struct {
	heard time.Time
	list  []Running
}

type heardLoad struct {
	measured time.Time
	load     jayengine.Load
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

// Done is closed when the mesh has stopped.
func (m *Mesh) Done() <-chan struct{} {
	return m.group.Done()
}

// Forward sends a call to the instance of an incarnation. A connection that ends before the
// reply is followed by another try, since the home joins both by their key.
func (m *Mesh) Forward(incarnation string, call jayonce.Call) (jayonce.Outcome, error) {
	deadline := time.Now().Add(call.Left)
	for {
		outcome, err := m.forwardOnce(incarnation, call, time.Until(deadline))
		if err == nil || time.Until(deadline) <= forwardRetry {
			return outcome, err
		}
		time.Sleep(forwardRetry)
		call.Left = time.Until(deadline)
	}
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

// Watched takes in a load report that this instance fetched itself.
func (m *Mesh) Watched(name string, load jayengine.Load) {
	m.Loads.Report(name, load)
	_ = m.owner.Tell(context.Background(), func(s *state) { s.hearLoad(time.Now(), name, load) })
}

// Announce tells all contacts at once of a change of this instance's condition.
func (m *Mesh) Announce(ctx context.Context) {
	_ = m.owner.Ask(ctx, func(s *state) { s.ticks = -1 })
	m.tick(ctx)
}

// Bind sets where the mesh learns of the configuration; call it before Start.
func (m *Mesh) Bind(configs Configs) {
	m.configs = configs
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

const (
	// forwardRetry is the pause before a call is forwarded again.
	forwardRetry = 50 * time.Millisecond
	// forwardMargin is added to the time left, so that the home answers first.
	forwardMargin = 200 * time.Millisecond
)

func (m *Mesh) forwardOnce(incarnation string, call jayonce.Call, left time.Duration) (jayonce.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), left+forwardMargin)
	defer cancel()
	var found *client
	_ = m.owner.Ask(ctx, func(s *state) {
		for _, member := range s.view.Members() {
			if member.Incarnation == incarnation {
				found = m.client(s, member.Peer)
			}
		}
	})
	if found == nil {
		return jayonce.Outcome{}, newError("forward", KindUnknown, incarnation)
	}
	body, err := msgpack.Marshal(&call)
	if err != nil {
		return jayonce.Outcome{}, wrapError("forward", err)
	}
	reply, err := found.Ask(ctx, jaypeer.TopicCall, body, left+forwardMargin)
	if err != nil {
		return jayonce.Outcome{}, err
	}
	var outcome jayonce.Outcome
	if err := msgpack.Unmarshal(reply, &outcome); err != nil {
		return jayonce.Outcome{}, wrapError("forward", err)
	}
	return outcome, nil
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

// tick states this instance's condition and exchanges digests.
func (m *Mesh) tick(ctx context.Context) {
	running, err := m.Loads.Running(ctx)
	if err != nil {
		return
	}
	own := make([]Running, 0, len(running))
	for name, count := range running {
		own = append(own, Running{Upstream: name, Count: count})
	}
	working, next := m.Working(), m.configs.Next()
	var rounds []round
	_ = m.owner.Ask(ctx, func(s *state) {
		s.view.State(func(self *jaymember.Member) {
			self.Load = working
			self.Config = next
		})
		rounds = m.plan(s, own)
	})
	for _, r := range rounds {
		m.group.Go(func(ctx context.Context) { m.exchange(ctx, r) })
	}
}

// round is one exchange of digests with one contact.
type round struct {
	client *client
	digest Digest
}

// plan advances the view and returns the exchanges of this tick.
func (m *Mesh) plan(s *state, own []Running) []round {
	now := time.Now()
	s.view.Tick(now)
	s.members = s.view.Members()
	s.forget(now)
	m.shareOut(s)
	far := s.ticks%farEvery == 0 || s.ticks < 0
	s.ticks++
	var rounds []round
	for _, contact := range m.targets(s, far) {
		c := m.client(s, contact.Peer)
		if c.busy {
			continue
		}
		c.busy = true
		near := contact.Zone == m.Self.Zone
		rounds = append(rounds, round{client: c, digest: s.digest(now, own, near)})
	}
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
	members, near := 1, 1
	for _, member := range s.members {
		if !member.Usable() {
			continue
		}
		members++
		if member.Region == m.Self.Region {
			near++
		}
	}
	share := 1 / float64(members)
	others := make(map[string]int)
	for _, told := range s.running {
		for _, r := range told.list {
			others[r.Upstream] += r.Count
		}
	}
	m.Loads.Peers(share, 1/float64(near), others)
	m.Share(share)
}

// exchange sends a digest and takes in the reply.
func (m *Mesh) exchange(ctx context.Context, r round) {
	defer func() {
		_ = m.owner.Tell(context.Background(), func(*state) { r.client.busy = false })
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
	_ = m.hear(ctx, reply)
}

// hear takes in the digest of another instance.
func (m *Mesh) hear(ctx context.Context, body []byte) error {
	var digest Digest
	if err := msgpack.Unmarshal(body, &digest); err != nil {
		return wrapError("digest", err)
	}
	now := time.Now()
	for _, l := range digest.Loads {
		m.Loads.Report(l.Upstream, l.Load)
	}
	return m.owner.Ask(ctx, func(s *state) {
		s.view.Hear(now, digest.From)
		for _, member := range digest.Members {
			s.view.Hear(now, member)
		}
		for _, l := range digest.Loads {
			s.hearLoad(now, l.Upstream, l.Load)
		}
		s.running[digest.From.Incarnation] = counted{heard: now, list: digest.Running}
	})
}

// digest returns what a contact is told.
func (s *state) digest(now time.Time, own []Running, near bool) Digest {
	d := Digest{From: s.view.Self(), Running: own}
	for name, heard := range s.loads {
		if !near && len(s.loads) > loadsPassed {
			break
		}
		load := heard.load
		load.Age = now.Sub(heard.measured).Milliseconds()
		d.Loads = append(d.Loads, EngineLoad{Upstream: name, Load: load})
	}
	if near && len(s.members) > 0 {
		d.Members = s.farMembers()
		return d
	}
	for _, member := range s.members {
		if member.Zone == d.From.Zone && !member.Silent {
			d.Members = append(d.Members, member.Member)
		}
	}
	return d
}

// farMembers returns the statements heard from other zones, which only the
// instances with links to them hear first.
func (s *state) farMembers() []jaymember.Member {
	var list []jaymember.Member
	for _, member := range s.members {
		if member.Zone != s.view.Self().Zone && !member.Silent {
			list = append(list, member.Member)
		}
	}
	return list
}

// forget drops what was heard too long ago.
func (s *state) forget(now time.Time) {
	for name, heard := range s.loads {
		if now.Sub(heard.measured) > loadTrust {
			delete(s.loads, name)
		}
	}
	for incarnation, told := range s.running {
		if now.Sub(told.heard) > loadTrust {
			delete(s.running, incarnation)
		}
	}
	known := make([]string, 0, len(s.members))
	for _, member := range s.members {
		known = append(known, member.Peer)
	}
	for _, seed := range s.view.Seeds() {
		known = append(known, seed.Peer)
	}
	for address, c := range s.clients {
		if !slices.Contains(known, address) && !c.busy {
			c.Close()
			delete(s.clients, address)
		}
	}
}

func (s *state) hearLoad(now time.Time, name string, load jayengine.Load) {
	measured := load.Measured(now)
	if known, ok := s.loads[name]; ok && !measured.After(known.measured) {
		return
	}
	s.loads[name] = heardLoad{measured: measured, load: load}
}
