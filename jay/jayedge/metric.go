package jayedge

import (
	"net/http"

	"github.com/uptrace/bunrouter"

	"jayfield.example/jay/jaymember"
)

// Paths of the metrics address.
const (
	// PathMetrics serves counters, gauges and histograms as text.
	PathMetrics = "/metrics"
	// PathVars serves the counters of the instance as JSON in the format of expvar.
	PathVars = "/vars"
)

// metricHandler serves the metrics address.
func (e *Edge) metricHandler() http.Handler {
	e.series.Gauge("policy_version", func() float64 {
		if policy := e.policies.Policy(); policy != nil {
			return float64(policy.Version)
		}
		return -1
	})
	e.series.Gauge("members", func() float64 { return float64(len(*e.members.Load())) })
	e.series.Gauge("members_live", func() float64 { return float64(jaymember.Live(*e.members.Load())) })
	e.series.Gauge("member_entries", func() float64 { return float64(e.roster.Entries()) })
	e.series.Gauge("member_connections", func() float64 { return float64(e.roster.Connections()) })
	e.series.Gauge("connections_opened", func() float64 { return float64(e.pool.Opened()) })
	e.series.Gauge("buffered_bytes", func() float64 { return float64(e.memory.Used()) })
	if e.meter != nil && e.meter.CountsUsage() {
		e.series.Gauge("usage_clock_spread_seconds", func() float64 { return e.meter.Spread().Seconds() })
		e.series.Gauge("usage_dropped", func() float64 { return float64(e.meter.Dropped()) })
	}
	router := bunrouter.New()
	router.Compat().GET(PathMetrics, e.series.ServeHTTP)
	router.Compat().GET(PathVars, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write([]byte(e.metrics.Map().String())) // The client may have disconnected.
	})
	return router
}
