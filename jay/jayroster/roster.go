// Package jayroster finds the other instances through the store and exchanges
// statements with them: who is ready, who is leaving, and which work each has at
// each upstream. No safety rule depends on it.
package jayroster

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytask"
)

const (
	// Period is the time between two exchanges with each contact where there are few.
	Period = 250 * time.Millisecond
	// meshSize is the number of members up to which each exchanges with all. Above it, an
	// instance exchanges with those of its zone each second period, and the links between
	// zones are used each fourth.
	meshSize   = 12
	zoneEvery  = 2
	linksEvery = 4
	// statementTrust is how long a statement of work counts.
	statementTrust = 1500 * time.Millisecond
)

// Kind classifies a failure of the roster.
type Kind string

// KindFormat says that a message could not be read.
const KindFormat Kind = "format"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Source gives what an instance states of itself.
type Source interface {
	// State fills in the changing parts of the own statement.
	State(member *jaymember.Member)
}

// Roster is one instance's knowledge of the others. It is safe for concurrent use.
type Roster struct {
	self    jaymember.Member
	source  Source
	writer  jaystore.Writer
	key     []byte
	owner   *jaytask.Owner[state]
	group   *jaytask.Group
	server  *jaypeer.Server
	log     *slog.Logger
	changed func(members []jaymember.Status)
	started time.Time

	mirrors  mirrors
	clients  sync.Map
	watching atomic.Bool
	watcher  atomic.Pointer[jaymember.Status]
	// others are all other instances as of the last period.
	others atomic.Pointer[[]jaymember.Status]
}

// mirrors holds the mirror of each topic.
type mirrors struct {
	byTopic sync.Map
}

// Load returns the mirror of a topic.
func (m *mirrors) Load(topic jaystore.Topic) (*jaystore.Mirror, bool) {
	value, ok := m.byTopic.Load(topic)
	if !ok {
		return nil, false
	}
	mirror, ok := value.(*jaystore.Mirror)
	return mirror, ok
}

// Positions returns how far each topic has been read.
func (m *mirrors) Positions(now time.Time) map[string]jaymember.Mirror {
	positions := make(map[string]jaymember.Mirror)
	m.byTopic.Range(func(topic, value any) bool {
		name, known := topic.(jaystore.Topic)
		mirror, ok := value.(*jaystore.Mirror)
		if known && ok {
			next, read := mirror.Position()
			positions[string(name)] = jaymember.Mirror{Next: next, Age: now.Sub(read)}
		}
		return true
	})
	return positions
}

// Store sets the mirror of a topic.
func (m *mirrors) Store(topic jaystore.Topic, mirror *jaystore.Mirror) {
	m.byTopic.Store(topic, mirror)
}

// state is owned by one task.
type state struct {
	view   *jaymember.View
	listed map[string]jaylist.Instance
	asking map[string]bool
	// direct holds the members of other zones that the instance heard of through its own
	// links; it passes these on within its zone.
	direct map[string]bool
	ticks  int
}

// digest is what two instances exchange.
type digest struct {
	// Zone is the zone of the instance that states.
	Zone       string             `msgpack:"z"`
	Statements []jaymember.Member `msgpack:"s"`
}

// Parts are what a roster is made of.
type Parts struct {
	Self     jaymember.Member
	Source   Source
	Writer   jaystore.Writer
	Key      []byte
	Listener net.Listener
	Log      *slog.Logger
	// Changed is called with all others after each period.
	Changed func(members []jaymember.Status)
}

// Start announces the instance and begins to exchange statements.
func Start(p Parts) *Roster {
	r := &Roster{
		self: p.Self, source: p.Source, writer: p.Writer, key: p.Key, log: p.Log, changed: p.Changed,
		group: jaytask.NewGroup(), started: time.Now(),
	}
	r.others.Store(&[]jaymember.Status{})
	s := &state{
		view: jaymember.NewView(p.Self), listed: make(map[string]jaylist.Instance),
		asking: make(map[string]bool), direct: make(map[string]bool),
	}
	r.owner = jaytask.NewOwner(s, Period, r.tick)
	r.server = jaypeer.NewServer(p.Listener, p.Key, r, p.Log)
	r.group.Go(r.announce)
	return r
}

// Done is closed when the roster has stopped.
func (r *Roster) Done() <-chan struct{} {
	return r.owner.Done()
}

// client returns the client of an instance.
func (r *Roster) client(address string) *jaypeer.Client {
	if known, ok := r.clients.Load(address); ok {
		if client, ok := known.(*jaypeer.Client); ok {
			return client
		}
	}
	client := jaypeer.NewClient(address, r.key)
	r.clients.Store(address, client)
	return client
}

// HandlePeer answers an exchange or a request for records.
func (r *Roster) HandlePeer(ctx context.Context, topic jaypeer.Topic, body []byte) ([]byte, error) {
	if topic == jaypeer.TopicMirror {
		return r.serveMirror(body)
	}
	var theirs digest
	if err := msgpack.Unmarshal(body, &theirs); err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	var reply []byte
	var failed error
	err := r.owner.Ask(ctx, func(s *state) {
		s.hear(theirs)
		reply, failed = s.statements(theirs.Zone)
	})
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	return reply, failed
}

// Leave takes the instance off the store's list and tells its contacts at once.
func (r *Roster) Leave(ctx context.Context) {
	if err := r.owner.Tell(ctx, func(s *state) { r.tick(s, time.Now()) }); err != nil {
		r.log.Warn("leaving not told", "error", err)
	}
	if err := r.writer.Put(ctx, jaystore.TopicMembers, r.self.Name, nil); err != nil {
		r.log.Warn("instance not taken off the list", "error", err)
	}
}

// Stop ends the exchanges.
func (r *Roster) Stop() {
	r.group.Stop()
	r.owner.Stop()
	r.server.Stop()
	r.clients.Range(func(_, value any) bool {
		if client, ok := value.(*jaypeer.Client); ok {
			client.Close()
		}
		return true
	})
}

// announce writes the instance's place to the store until that has succeeded.
func (r *Roster) announce(ctx context.Context) {
	value, err := msgpack.Marshal(jaylist.Instance{
		Name: r.self.Name, Sort: jaylist.SortEntry, Incarnation: r.self.Incarnation, Address: r.self.Address,
		Peer: r.self.Peer, Region: r.self.Region, Zone: r.self.Zone, State: jaylist.StateLive,
	})
	if err != nil {
		r.log.Error("instance not announced", "error", err)
		return
	}
	for pause := Period; ctx.Err() == nil; pause = min(2*pause, maxAnnounce) {
		if err = r.writer.Put(ctx, jaystore.TopicMembers, r.self.Name, value); err == nil {
			r.log.Info("instance announced", "instance", r.self.Name, "incarnation", r.self.Incarnation)
			return
		}
		r.log.Warn("instance not announced yet", "error", err, "next", pause)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

// maxAnnounce bounds the pause between two tries to announce the instance.
const maxAnnounce = 2 * time.Second
