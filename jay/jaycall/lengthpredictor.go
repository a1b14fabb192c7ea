package jaycall

import (
	"math"
	"sync"
)

const (
	// defaultLength is the predicted length of a response before any was observed, in tokens.
	defaultLength = 128
	// smoothingFactor is the weight of a new observation in a moving average.
	smoothingFactor = 0.1
	// maxLengthStats limits the number of pairs of account and model with statistics.
	maxLengthStats = 10_000
	// longFactor is the multiple of the geometric mean length above which predicted work counts as long.
	longFactor = 6
)

// lengthPredictor predicts response lengths per account and model from moving
// averages of observed lengths. It is safe for concurrent use.
type lengthPredictor struct {
	mu    sync.Mutex
	stats map[lengthKey]lengthStats
	// logMean is the moving average of the logarithm of all lengths; the logarithm
	// limits the effect of a few outliers.
	logMean float64
}

type lengthKey struct {
	caller, model string
}

// lengthStats holds the observed response lengths of one account and model.
type lengthStats struct {
	// mean is the average length in tokens, ratio the average fraction of the requested limit that is used.
	mean, ratio float64
}

func newLengthPredictor() *lengthPredictor {
	return &lengthPredictor{stats: make(map[lengthKey]lengthStats), logMean: math.Log(defaultLength)}
}

// observe records the length of a response in tokens and the limit of its
// request, 0 for none.
func (l *lengthPredictor) observe(caller, model string, tokens, maxTokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.logMean += smoothingFactor * (math.Log(float64(max(1, tokens))) - l.logMean)
	key := lengthKey{caller, model}
	s, ok := l.stats[key]
	if !ok {
		if len(l.stats) >= maxLengthStats {
			return
		}
		s = lengthStats{mean: float64(tokens), ratio: 1}
	}
	s.mean += smoothingFactor * (float64(tokens) - s.mean)
	if maxTokens > 0 {
		s.ratio += smoothingFactor * (min(1, float64(tokens)/float64(maxTokens)) - s.ratio)
	}
	l.stats[key] = s
}

// isLong reports whether predicted work exceeds longFactor times the geometric mean length.
func (l *lengthPredictor) isLong(tokens int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return float64(tokens) > longFactor*math.Exp(l.logMean)
}

// predict returns the expected length of a response in tokens: the average fraction
// of the requested limit, or the average length without a limit.
func (l *lengthPredictor) predict(caller, model string, maxTokens int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.stats[lengthKey{caller, model}]
	switch {
	case !ok && maxTokens > 0:
		return min(maxTokens, defaultLength)
	case !ok:
		return defaultLength
	case maxTokens > 0:
		return int(s.ratio*float64(maxTokens)) + 1
	default:
		return int(s.mean) + 1
	}
}
