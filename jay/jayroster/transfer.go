package jayroster

import (
	"jayfield.example/jay/jaystore"
	"sync"
	"time"
)

const (
	// largeReplyBytes is the size from which a reply with records counts as a transfer.
	largeReplyBytes = 32 << 10
	// maxTransfers is the number of transfers that an instance sends at a time, so that on a
	// slow link the first instances have their copy early and pass it on.
	maxTransfers = 2
	// maxHolders bounds the instances that are known to have received the newest records.
	maxHolders = 16
	// transferTimeout ends a transfer whose receiver does not confirm it.
	transferTimeout = 3 * time.Second
)

// transfer identifies the receiver and the topic of records.
type transfer struct {
	receiver string
	topic    jaystore.Topic
}

// holder is an instance that has received the records of a topic up to a position.
type holder struct {
	peer string
	next jaystore.Position
}

// transfers limits the transfers that an instance sends at a time. It is safe for concurrent use.
type transfers struct {
	mu sync.Mutex
	// until holds the time at which each transfer times out.
	until map[transfer]time.Time
	// holders are the latest receivers of each topic.
	holders map[jaystore.Topic][]holder
}

func newTransfers() *transfers {
	return &transfers{until: make(map[transfer]time.Time), holders: make(map[jaystore.Topic][]holder)}
}

// begin reports whether a transfer may start now. It may if it has started before and not ended.
func (t *transfers) begin(now time.Time, started transfer) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for other, until := range t.until {
		if !now.Before(until) {
			delete(t.until, other)
		}
	}
	if _, ok := t.until[started]; !ok && len(t.until) >= maxTransfers {
		return false
	}
	t.until[started] = now.Add(transferTimeout)
	return true
}

// end ends a transfer whose receiver confirmed it.
func (t *transfers) end(received transfer, by holder) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.until, received)
	if by.peer == "" {
		return
	}
	t.holders[received.topic] = append(t.holders[received.topic], by)
	if list := t.holders[received.topic]; len(list) > maxHolders {
		t.holders[received.topic] = list[len(list)-maxHolders:]
	}
}

// holdersOf returns the addresses of instances that have received a topic at least up to a position.
func (t *transfers) holdersOf(topic jaystore.Topic, next jaystore.Position) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var peers []string
	for _, h := range t.holders[topic] {
		if h.next >= next {
			peers = append(peers, h.peer)
		}
	}
	return peers
}
