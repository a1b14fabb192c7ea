package jayconfig

import (
	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// Priority determines the order in which queued requests are served.
type Priority string

// Priorities, from the highest to the lowest.
const (
	PriorityHigh   Priority = "high"
	PriorityNormal Priority = "normal"
	PriorityLow    Priority = "low"
)

// Route defines which engines serve the requests of which callers.
type Route struct {
	// Model is the model name that callers send in requests.
	Model string
	// Callers selects callers by their labels.
	Callers labels.Selector
	// Upstreams selects engines by their labels.
	Upstreams labels.Selector
	// Priority is the priority of the route's requests in queues.
	Priority Priority
	// Rank decides between several matching routes; the highest rank is used.
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
