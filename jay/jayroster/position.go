package jayroster

import (
	"maps"
	"sync"
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaystore"
)

// position is how far an instance of the zone has read the topics of the store, by its reply to a
// request sent at sentAt. The ages in the reply count from when it was made, so that adding them to
// sentAt gives a copy at least its true age, however long the messages took.
type position struct {
	peer    string
	mirrors map[string]jaymember.Mirror
	sentAt  time.Time
}

// maxPositionAge is how long after the request a position is used.
const maxPositionAge = jaymember.SilenceTimeout / 2

// positions holds the positions of other instances of the zone. It is safe for concurrent use.
type positions struct {
	mu      sync.Mutex
	current map[string]position
	// changed is closed when the positions change.
	changed chan struct{}
}

// set replaces the positions and notifies those who wait for a change.
func (p *positions) set(current map[string]position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.current = maps.Clone(current)
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

// onChange returns a channel that is closed at the next change.
func (p *positions) onChange() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

// topicPosition is the position of one instance in one topic.
type topicPosition struct {
	peer string
	next jaystore.Position
	// at is when the store last answered, at the latest.
	at time.Time
}

// precedes reports whether the position is of a later era than another one or, in the same era, fresher.
func (p topicPosition) precedes(other topicPosition) bool {
	if p.next.Era() != other.next.Era() {
		return p.next.Era() > other.next.Era()
	}
	return p.at.After(other.at)
}

// freshest returns the position of the latest era in a topic for which the store answered last, if that is at most
// maxAge ago.
func (p *positions) freshest(now time.Time, topic jaystore.Topic, maxAge time.Duration) (topicPosition, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var best topicPosition
	for _, other := range p.current {
		mirror, ok := other.mirrors[string(topic)]
		if !ok || mirror.Next < 0 || now.Sub(other.sentAt) > maxPositionAge {
			continue
		}
		known := topicPosition{peer: other.peer, next: mirror.Next, at: other.sentAt.Add(-mirror.Age)}
		if best.peer == "" || known.precedes(best) {
			best = known
		}
	}
	return best, best.peer != "" && now.Sub(best.at) <= maxAge
}

// holders returns the addresses of the instances that have read a topic at least up to an offset.
func (p *positions) holders(topic jaystore.Topic, next jaystore.Position) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var peers []string
	for _, other := range p.current {
		if mirror, ok := other.mirrors[string(topic)]; ok && mirror.Next >= next {
			peers = append(peers, other.peer)
		}
	}
	return peers
}
