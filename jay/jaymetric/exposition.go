package jaymetric

import (
	"net/http"
	"strings"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Exposition is the labelled counters and latency histograms of an instance in
// the text format that collectors read. It is safe for concurrent use.
type Exposition struct {
	set *metrics.Set
}

// Label is the name and the value of a label.
type Label struct {
	Name, Value string
}

// latencyBuckets returns the upper bounds of latency histograms in seconds.
func latencyBuckets() []float64 {
	return []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.6, 0.8, 1, 1.5, 2, 3, 5, 10}
}

// ratioBuckets returns the upper bounds of histograms of ratios.
func ratioBuckets() []float64 {
	return []float64{0.1, 0.25, 0.5, 0.7, 1, 1.4, 2, 3, 5, 10, 20}
}

// NewExposition returns an exposition without values.
func NewExposition() *Exposition {
	return &Exposition{set: metrics.NewSet()}
}

// Count adds one to a counter.
func (e *Exposition) Count(name string, labels ...Label) {
	e.set.GetOrCreateCounter(series(name, labels)).Inc()
}

// Add adds a number to a counter.
func (e *Exposition) Add(name string, n int, labels ...Label) {
	e.set.GetOrCreateCounter(series(name, labels)).Add(n)
}

// Gauge shows the value that read returns each time.
func (e *Exposition) Gauge(name string, read func() float64, labels ...Label) {
	e.set.GetOrCreateGauge(series(name, labels), read)
}

// Observe adds a time to a histogram of seconds.
func (e *Exposition) Observe(name string, took time.Duration, labels ...Label) {
	e.set.GetOrCreatePrometheusHistogramExt(series(name, labels), latencyBuckets()).Update(took.Seconds())
}

// ObserveRatio adds a ratio to a histogram.
func (e *Exposition) ObserveRatio(name string, ratio float64, labels ...Label) {
	e.set.GetOrCreatePrometheusHistogramExt(series(name, labels), ratioBuckets()).Update(ratio)
}

// ServeHTTP writes all values.
func (e *Exposition) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	e.set.WritePrometheus(w)
}

// series returns the name of a time series, such as jayfield_sends_total{outcome="served"}.
func series(name string, labels []Label) string {
	if len(labels) == 0 {
		return "jayfield_" + name
	}
	pairs := make([]string, 0, len(labels))
	escape := strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)
	for _, l := range labels {
		pairs = append(pairs, l.Name+`="`+escape.Replace(l.Value)+`"`)
	}
	return "jayfield_" + name + "{" + strings.Join(pairs, ",") + "}"
}
