// Package jayroster maintains the membership of the entry instances: it discovers them
// through the store and exchanges heartbeats with them, which carry whether an instance
// is ready or leaving and its work at each upstream. No safety rule depends on it.
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
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytask"
	"jayfield.example/jay/jayusage"
)

const (
	// Period is the time between two exchanges with each contact in a full mesh.
	Period = 250 * time.Millisecond
	// maxFullMesh is the number of members up to which each exchanges with all others. Above
	// it, an instance exchanges with the hubs of its zone every second period, and the hubs of
	// different zones with each other.
	maxFullMesh  = 12
	partialTicks = 2
	// hubsPerZone is the number of instances with which all others of their zone exchange.
	hubsPerZone = 2
	// secondaryRounds and retryRounds are the rounds of exchanges after which the second hub and
	// instances that were passed over as hubs are contacted again, at most maxRetries of a zone.
	secondaryRounds = 2
	retryRounds     = 4
	maxRetries      = 4
	// exchangeBound is how long an exchange may take without any byte of a reply, suspectAfter
	// how long until another instance is contacted in place of the one that does not answer.
	exchangeBound = time.Second
	suspectAfter  = 750 * time.Millisecond
	// heartbeatTTL is the age up to which the work and tallies in a heartbeat are counted, and
	// zoneSumsTTL that up to which the sums of another zone are.
	heartbeatTTL = 1500 * time.Millisecond
	zoneSumsTTL  = 2500 * time.Millisecond
)

// Kind classifies a failure of the roster.
type Kind string

// KindFormat means that a message could not be encoded, decoded or handled.
const KindFormat Kind = "format"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Source supplies the content of this instance's heartbeat.
type Source interface {
	// FillHeartbeat sets the changing fields of this instance's heartbeat.
	FillHeartbeat(member *jaymember.Member)
}

// Series counts what instances send to each other.
type Series interface {
	// Add adds a number to a counter.
	Add(name string, n int, labels ...jaymetric.Label)
	// Gauge shows the value that read returns each time.
	Gauge(name string, read func() float64, labels ...jaymetric.Label)
}

// Roster is one instance's view of the other instances. It is safe for concurrent use.
type Roster struct {
	self    jaymember.Member
	source  Source
	writer  jaystore.Writer
	key     []byte
	options []jaypeer.ClientOption
	owner   *jaytask.Owner[state]
	group   *jaytask.Group
	server  *jaypeer.Server
	log     *slog.Logger
	series  Series
	traffic *traffic
	changed func(members []jaymember.Status, population int)
	started time.Time

	reported func(Report)
	streams  func(body []byte) ([]byte, error)

	mirrors      *mirrors
	mirrorServer *mirrorServer
	codec        *codec
	clients      sync.Map
	// rank is the position of this instance among those of its zone that may be hubs: the one
	// with rank 0 is the watcher.
	rank      atomic.Int64
	positions positions
	// entries is the number of entries in the store's list.
	entries atomic.Int64
	// leaving is set once the instance removes its own entry.
	leaving atomic.Bool
	// others holds all other instances as of the last round of exchanges.
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

// Positions returns the position up to which each topic has been read.
func (m *mirrors) Positions(now time.Time) map[string]jaymember.Mirror {
	positions := make(map[string]jaymember.Mirror)
	m.byTopic.Range(func(topic, value any) bool {
		name, isTopic := topic.(jaystore.Topic)
		mirror, ok := value.(*jaystore.Mirror)
		if isTopic && ok {
			next, lastRead := mirror.Position()
			positions[string(name)] = jaymember.Mirror{Next: next, Age: now.Sub(lastRead)}
		}
		return true
	})
	return positions
}

// Store sets the mirror of a topic.
func (m *mirrors) Store(topic jaystore.Topic, mirror *jaystore.Mirror) {
	m.byTopic.Store(topic, mirror)
}

// Options holds the settings and dependencies of a Roster.
type Options struct {
	Self     jaymember.Member
	Source   Source
	Writer   jaystore.Writer
	Key      []byte
	Listener net.Listener
	// Client configures the connections to other instances.
	Client []jaypeer.ClientOption
	Log    *slog.Logger
	Series Series
	// Changed is called in each round of exchanges with all other members and the number of instances
	// among which shares are divided.
	Changed func(members []jaymember.Status, population int)
	// Reported is called in each round with what the other instances report, if it is set.
	Reported func(report Report)
	// Streams handles a message of another instance about streams and returns the body of the reply, if it is set.
	Streams func(body []byte) ([]byte, error)
	// Meter holds the counts and the demand that instances exchange, nil if neither is asked for.
	Meter *jayusage.Meter
}

// Start registers the instance in the store and begins to exchange heartbeats.
func Start(options Options) *Roster {
	r := &Roster{
		self: options.Self, source: options.Source, writer: options.Writer, key: options.Key, log: options.Log, series: options.Series,
		changed: options.Changed, reported: options.Reported, streams: options.Streams,
		group: jaytask.NewGroup(), started: time.Now(), mirrors: new(mirrors), codec: newCodec(), traffic: newTraffic(options.Series),
	}
	r.options = append([]jaypeer.ClientOption{jaypeer.WithTraffic(r.traffic)}, options.Client...)
	r.mirrorServer = newMirrorServer(r.mirrors, r.codec, r.series)
	r.others.Store(&[]jaymember.Status{})
	r.rank.Store(hubsPerZone)
	s := newState(options.Self)
	s.meter = options.Meter
	r.owner = jaytask.NewOwner(s, Period, r.tick)
	r.server = jaypeer.NewServer(options.Listener, options.Key, r, options.Log, jaypeer.WithServerTraffic(r.traffic))
	r.group.Go(r.register)
	return r
}

// Done is closed when the roster has stopped.
func (r *Roster) Done() <-chan struct{} {
	return r.owner.Done()
}

// Entries returns the number of entries in the store's list of instances.
func (r *Roster) Entries() int {
	return int(r.entries.Load())
}

// connection identifies a connection to another instance: its address and the topic whose
// records it carries, or noTopic.
type connection struct {
	address string
	topic   jaystore.Topic
}

// noTopic is the topic of the connections that carry heartbeats.
const noTopic jaystore.Topic = ""

// client returns the client of a connection and creates it on first use.
func (r *Roster) client(address string, topic jaystore.Topic) *jaypeer.Client {
	key := connection{address: address, topic: topic}
	if cached, ok := r.clients.Load(key); ok {
		if client, ok := cached.(*jaypeer.Client); ok {
			return client
		}
	}
	client := jaypeer.NewClient(address, r.key, r.options...)
	r.clients.Store(key, client)
	return client
}

// Connections returns the number of connections to other instances that are kept for reuse.
func (r *Roster) Connections() int {
	n := 0
	r.clients.Range(func(_, _ any) bool {
		n++
		return true
	})
	return n
}

// HandlePeer handles a digest exchange, a mirrorRequest, a CollectRequest or a message about streams.
func (r *Roster) HandlePeer(ctx context.Context, topic jaypeer.Topic, body []byte) ([]byte, error) {
	if topic == jaypeer.TopicMirror {
		defer r.traffic.measure(topic)()
		return r.mirrorServer.serve(body)
	}
	if topic == jaypeer.TopicCollect {
		return r.serveCollect(ctx, body)
	}
	if topic == jaypeer.TopicStreams {
		return r.serveStreams(body)
	}
	return r.serveDigest(ctx, body)
}

// AskStreams sends a message about streams to the instance at an address and returns the body of its reply.
func (r *Roster) AskStreams(ctx context.Context, address string, body []byte, bound time.Duration) ([]byte, error) {
	return r.ask(ctx, connection{address: address, topic: noTopic}, jaypeer.TopicStreams, body, bound)
}

func (r *Roster) serveStreams(body []byte) ([]byte, error) {
	if r.streams == nil {
		return nil, jayerror.New("streams", KindFormat, "this instance keeps no streams")
	}
	defer r.traffic.measure(jaypeer.TopicStreams)()
	return r.streams(body)
}

// serveDigest handles an encoded digest. The time for which it waits for the owner is not counted.
func (r *Roster) serveDigest(ctx context.Context, body []byte) ([]byte, error) {
	var received digest
	decoded := r.traffic.measure(jaypeer.TopicRoster)
	err := msgpack.Unmarshal(body, &received)
	decoded()
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	var reply digest
	err = r.owner.Call(ctx, func(s *state) {
		defer r.traffic.measure(jaypeer.TopicRoster)()
		now := time.Now()
		s.merge(now, received)
		s.mergeUsageRequest(now, received)
		reply = s.reply(now, received)
		if reply.Self.Mirrors != nil {
			// The heartbeat is as old as the latest round, and the receiver counts the ages from its request.
			reply.Self.Mirrors = r.mirrors.Positions(now)
		}
	})
	if err != nil {
		return nil, jayerror.Wrap("exchange", KindFormat, err)
	}
	defer r.traffic.measure(jaypeer.TopicRoster)()
	return encode(reply)
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
