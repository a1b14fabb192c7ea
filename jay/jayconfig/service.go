package jayconfig

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// Service is a plain service that callers reach by name.
type Service struct {
	// Selector picks the upstreams that serve it.
	Selector labels.Selector
	// Once marks calls that are not idempotent by their method to run at most once.
	Once bool
	// Intent accepts idempotency keys without a ticket, by records in the log.
	Intent bool
	// Timeout bounds a call without a timeout of its own.
	Timeout time.Duration
}

// DefaultServiceTimeout bounds a call where neither caller nor service says so.
const DefaultServiceTimeout = 10 * time.Second

func newService() *Service {
	return &Service{Selector: labels.Nothing(), Timeout: DefaultServiceTimeout}
}

func (s *Service) fields() []jayini.Field {
	return []jayini.Field{
		jayini.Required(selectorField("selector", &s.Selector)),
		jayini.Bool("once", &s.Once),
		jayini.Bool("intent", &s.Intent),
		jayini.Duration("timeout", &s.Timeout, time.Millisecond),
	}
}
