package jayconfig

import (
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"jayfield.example/jay/jayini"
)

// Service is a plain HTTP service that callers address by name.
type Service struct {
	// Selector selects the upstreams that serve it.
	Selector labels.Selector
	// Once makes calls whose method is not idempotent run at most once.
	Once bool
	// Intent accepts idempotency keys without a ticket. The instance that runs the work of such a
	// key is decided by the log.
	Intent bool
	// Timeout applies to calls without a timeout of their own.
	Timeout time.Duration
}

// DefaultServiceTimeout applies to calls if neither the caller nor the service sets a timeout.
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
