package jaycall

import (
	"math"
	"sync"
)

const (
	// firstOutput is the assumed length of an answer before any was observed, in tokens.
	firstOutput = 128
	// weightNew is the share of a new observation in a moving average.
	weightNew = 0.1
	// lengthsKept bounds the accounts whose answers are learned.
	lengthsKept = 10_000
	// longFactor is how many times longer than usual predicted work counts as long.
	longFactor = 6
)

// lengths learns how long the answers to each account and model are. It is
// safe for concurrent use.
type lengths struct {
	mu     sync.Mutex
	habits map[lengthKey]habit
	// usual is the moving average of the logarithm of all lengths, which a few
	// stragglers hardly move.
	usual float64
}

type lengthKey struct {
	caller, model string
}

// habit is what is known of the answers to one account and model.
type habit struct {
	// mean is the length in tokens, ratio the part of the requested bound that is used.
	mean, ratio float64
}

func newLengths() *lengths {
	return &lengths{habits: make(map[lengthKey]habit), usual: math.Log(firstOutput)}
}

// learn takes in the length of an answer in tokens and the bound that its
// request gave, 0 for none.
func (l *lengths) learn(caller, model string, tokens, bound int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usual += weightNew * (math.Log(float64(max(1, tokens))) - l.usual)
	key := lengthKey{caller, model}
	h, ok := l.habits[key]
	if !ok {
		if len(l.habits) >= lengthsKept {
			return
		}
		h = habit{mean: float64(tokens), ratio: 1}
	}
	h.mean += weightNew * (float64(tokens) - h.mean)
	if bound > 0 {
		h.ratio += weightNew * (min(1, float64(tokens)/float64(bound)) - h.ratio)
	}
	l.habits[key] = h
}

// long reports whether predicted work is many times longer than usual.
func (l *lengths) long(tokens int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(tokens) > longFactor*math.Exp(l.usual)
}

// predict returns the expected length of an answer in tokens: the usual part
// of the bound that the request gives, or the usual length without one.
func (l *lengths) predict(caller, model string, bound int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	h, ok := l.habits[lengthKey{caller, model}]
	switch {
	case !ok && bound > 0:
		return min(bound, firstOutput)
	case !ok:
		return firstOutput
	case bound > 0:
		return int(h.ratio*float64(bound)) + 1
	default:
		return int(h.mean) + 1
	}
}
