// Package jayroster finds the other instances through the store and exchanges
// statements with them: who is ready, who is leaving, and which work each has at
// each upstream. No safety rule depends on it.
package jayroster

import (
	"context"
	"log/slog"
	"net"
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
	// Period is the time between two exchanges with each contact.
	Period = 250 * time.Millisecond
	// meshSize is the number of members up to which each exchanges with all.
	meshSize = 12
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
}

// state is owned by one task.
type state struct {
	view    *jaymember.View
	listed  map[string]jaylist.Instance
	clients map[string]*jaypeer.Client
	asking  map[string]bool
}

// digest is what two instances exchange.
type digest struct {
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
		group: jaytask.NewGroup(),
	}
	s := &state{
		view: jaymember.NewView(p.Self), listed: make(map[string]jaylist.Instance),
		clients: make(map[string]*jaypeer.Client), asking: make(map[string]bool),
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

// HandlePeer answers an exchange.
func (r *Roster) HandlePeer(ctx context.Context, _ jaypeer.Topic, body []byte) ([]byte, error) {
	var theirs digest
	if err := msgpack.Unmarshal(body, &theirs); err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	var reply []byte
	var failed error
	err := r.owner.Ask(ctx, func(s *state) {
		s.hear(theirs)
		reply, failed = s.statements()
	})
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	return reply, failed
}

// Members returns the others.
func (r *Roster) Members(ctx context.Context) []jaymember.Status {
	var members []jaymember.Status
	if err := r.owner.Ask(ctx, func(s *state) { members = s.view.Members() }); err != nil {
		r.log.Warn("members not read", "error", err)
	}
	return members
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
