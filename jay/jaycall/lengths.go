package jaycall

import "sync"

const (
	// firstOutput is the assumed length of an answer before any was observed, in tokens.
	firstOutput = 128
	// weightNew is the share of a new observation in a moving average.
	weightNew = 0.1
	// lengthsKept bounds the accounts whose answers are learned.
	lengthsKept = 10_000
)

// lengths learns how long the answers to each account and model are. It is
// safe for concurrent use.
type lengths struct {
	mu   sync.Mutex
	mean map[lengthKey]float64
}

type lengthKey struct {
	caller, model string
}

func newLengths() *lengths {
	return &lengths{mean: make(map[lengthKey]float64)}
}

// learn takes in the length of an answer in tokens.
func (l *lengths) learn(caller, model string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := lengthKey{caller, model}
	mean, ok := l.mean[key]
	if !ok {
		if len(l.mean) < lengthsKept {
			l.mean[key] = float64(tokens)
		}
		return
	}
	l.mean[key] = mean + weightNew*(float64(tokens)-mean)
}

// predict returns the expected length of an answer, at most the bound that
// the request gives; a bound of 0 is none.
func (l *lengths) predict(caller, model string, bound int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	mean, ok := l.mean[lengthKey{caller, model}]
	if !ok {
		mean = firstOutput
	}
	if bound > 0 {
		return min(bound, int(mean)+1)
	}
	return int(mean) + 1
}
