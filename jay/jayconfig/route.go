package jayconfig

import (
	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// Priority orders waiting work.
type Priority string

// Priorities from first to last.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Route says which engines serve the work of which callers.
type Route struct {
	// Model is the name that callers ask for.
	Model string
	// Callers picks callers by their labels.
	Callers labels.Selector
	// Upstreams picks engines by their labels.
	Upstreams labels.Selector
	// Priority orders the work in queues.
	Priority Priority
	// Rank puts a route before others that match as well; the highest wins.
	Rank int
}

const maxRank = 1000

func newRoute() *Route {
	return &Route{Callers: labels.Everything(), Upstreams: labels.Everything(), Priority: PriorityNormal}
}

func (r *Route) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Required(jayini.String("model", &r.Model)),
		selectorField("callers", &r.Callers),
		selectorField("upstreams", &r.Upstreams),
		jayini.Enum("priority", &r.Priority, PriorityHigh, PriorityNormal, PriorityLow),
		jayini.Int("rank", &r.Rank, 0, maxRank),
	}
}
