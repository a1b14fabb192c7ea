package jayedge

import (
	"context"
	"sync"
	"time"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaystream"
)

const (
	// keeperWait is how long an instance waits for the answer of a keeper.
	keeperWait = 150 * time.Millisecond
	// keepDelay is the time for which streams that break are gathered into one message for each keeper.
	keepDelay = 2 * time.Millisecond
	// maxKeepMessages is the largest number of messages with records that have no answer yet, and that of questions.
	// maxKeepGroups is that of streams that are gathered. What exceeds them is dropped, as records go to the store too.
	maxKeepMessages = 32
	maxKeepGroups   = 1000
)

// askFunc sends a message to the instance at an address and returns the reply.
type askFunc func(ctx context.Context, address string, body []byte, bound time.Duration) ([]byte, error)

// keepers sends the records of streams whose connections broke to the instances that are to keep them. It is safe for
// concurrent use.
type keepers struct {
	ask    askFunc
	others func() []jaymember.Status
	run    func(func(context.Context))
	series *jaymetric.Exposition
	// keeping and asking have a value for each message with records and each question that has no answer yet.
	keeping, asking chan struct{}

	mu sync.Mutex
	// due are the records to send. If there are any, a task that sends them has been started.
	due []jaystream.Group
}

// connect makes other instances keepers.
func (s *streams) connect(ask askFunc, others func() []jaymember.Status) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.keepers = &keepers{
		ask: ask, others: others, run: s.run, series: s.series,
		keeping: make(chan struct{}, maxKeepMessages), asking: make(chan struct{}, maxKeepMessages),
	}
}

// handlePeer handles a message of another instance.
func (s *streams) handlePeer(body []byte) ([]byte, error) {
	var message jaystream.Message
	if err := jaystream.DecodePeer(body, &message); err != nil {
		return nil, err //nolint:wrapcheck // An error of jaystream.
	}
	s.mu.Lock()
	s.table.Keep(time.Now(), jaystream.Kept{Groups: message.Keep})
	kept := s.table.Answer(message.Ask)
	s.mu.Unlock()
	return jaystream.EncodePeer(&kept) //nolint:wrapcheck // As above.
}

// askKeepers asks the keepers of a stream for its record, if ask is set, and returns a channel that is closed at the end.
func (s *streams) askKeepers(ctx context.Context, key jaystream.Key, ask bool) <-chan struct{} {
	s.mu.Lock()
	k := s.keepers
	s.mu.Unlock()
	asked := make(chan struct{})
	if k == nil || !ask {
		close(asked)
		return asked
	}
	go func() {
		defer close(asked)
		var group sync.WaitGroup
		for _, address := range jaystream.KeepersOf(key, k.addresses()) {
			group.Go(func() {
				if kept, ok := k.send(ctx, k.asking, address, jaystream.Message{Ask: []jaystream.Key{key}}); ok {
					s.mu.Lock()
					defer s.mu.Unlock()
					s.table.Keep(time.Now(), kept)
				}
			})
		}
		group.Wait()
	}()
	return asked
}

// keep sends a record to its keepers without waiting for them.
func (k *keepers) keep(g jaystream.Group) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.due) >= maxKeepGroups {
		k.count("dropped")
		return
	}
	if k.due = append(k.due, g); len(k.due) == 1 {
		k.run(k.flush)
	}
}

func (k *keepers) flush(ctx context.Context) {
	waitUntil(ctx, time.Now().Add(keepDelay))
	k.mu.Lock()
	due := k.due
	k.due = nil
	k.mu.Unlock()
	others, messages := k.addresses(), make(map[string][]jaystream.Group)
	for _, g := range due {
		for _, address := range jaystream.KeepersOf(g.Streams[0], others) {
			messages[address] = append(messages[address], g)
		}
	}
	for address, groups := range messages {
		k.run(func(ctx context.Context) { k.send(ctx, k.keeping, address, jaystream.Message{Keep: groups}) })
	}
}

// send sends a message to a keeper, unless all slots are taken, and returns its answer, if it gave one.
func (k *keepers) send(ctx context.Context, slots chan struct{}, address string, message jaystream.Message) (jaystream.Kept, bool) {
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	default:
		k.count("dropped")
		return jaystream.Kept{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, keeperWait)
	defer cancel()
	var kept jaystream.Kept
	body, err := jaystream.EncodePeer(&message)
	if err == nil {
		body, err = k.ask(ctx, address, body, keeperWait)
	}
	if err == nil {
		err = jaystream.DecodePeer(body, &kept)
	}
	if err != nil {
		k.count("failed")
		return jaystream.Kept{}, false
	}
	k.count("answered")
	return kept, true
}

func (k *keepers) count(result string) {
	k.series.Count("stream_keeper_messages_total", jaymetric.Label{Name: "result", Value: result})
}

// addresses returns where the other instances are that may be keepers.
func (k *keepers) addresses() []string {
	var addresses []string
	for _, m := range k.others() {
		if !m.Silent && !m.Leaving && m.Peer != "" {
			addresses = append(addresses, m.Peer)
		}
	}
	return addresses
}
