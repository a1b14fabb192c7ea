package jayplace

import "time"

const (
	// lowestPriority is the lowest priority assigned to a request; 0 is the highest.
	lowestPriority = 8
	// shortRank is the rank up to which a prefill counts as short: by tokens alone, up to 4,096.
	// It is not a time: instances that exchange ShortPrefillTokens must agree on it.
	shortRank = 4
	// priorityWindow is how long after a request its priority counts among those of its service.
	priorityWindow = 10 * time.Second
	// maxPriorityRanks bounds the ranks by which a request of a less urgent priority goes later.
	maxPriorityRanks = 2
)

// priorities holds when each priority of a service was last requested.
type priorities map[int]time.Time

// rank records the priority of a request and returns the rank of its prefill at the engine, 0 the
// first. If the requests of the service have one priority, the rank depends on the tokens alone.
// Otherwise the most urgent go one rank earlier and less urgent ones later: an urgent short
// prefill goes before all long ones of lower priority.
func (t *Table) rank(now time.Time, w Work, tokens int) int {
	seen, ok := t.priorities[w.Service]
	if !ok {
		seen = make(priorities)
		t.priorities[w.Service] = seen
	}
	seen[w.Priority] = now
	moreUrgent := 0
	for priority, at := range seen {
		switch {
		case now.Sub(at) >= priorityWindow:
			delete(seen, priority)
		case priority < w.Priority:
			moreUrgent++
		}
	}
	if len(seen) < 2 {
		return priority(tokens)
	}
	return min(lowestPriority, priority(tokens)-1+min(moreUrgent, maxPriorityRanks))
}

// priority returns the priority of a prefill by its tokens: 1 up to 512 tokens, one more for
// each doubling, at most lowestPriority. Short prefills go first.
func priority(tokens int) int {
	rank := 1
	for bound := 512; tokens > bound && rank < lowestPriority; bound *= 2 {
		rank++
	}
	return rank
}

// shortTokens returns the tokens of the choice's prefill if it is short, else 0.
func (c Choice) shortTokens() int {
	if c.Priority <= shortRank {
		return c.PrefillTokens
	}
	return 0
}
