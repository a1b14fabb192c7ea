// Package jaytraffic defines an operator's traffic policy: which service serves a
// host and path, how many attempts and how much time a request may take, and the
// limits for callers. It does no I/O: an adapter decodes policies, and package jayedge
// holds the current one.
package jaytraffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"jayfield.example/jay/jayaccount"
)

// Kind determines how often a request may run and how it is answered.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent requests may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce requests run at most once.
	KindOnce Kind = "once"
	// KindStream requests are answered with a stream of events.
	KindStream Kind = "stream"
)

// Policy is one version of the traffic policy. It is immutable.
type Policy struct {
	// Version orders policies: a higher version replaces a lower one.
	Version  int64
	Limits   Limits
	routes   []Route
	services map[string]Service
	// listed holds the services as they were given, several of one name included.
	listed []Service
	// accounts is nil if the policy has no accounts, malformed the number of accounts that were left out.
	accounts  *jayaccount.Table
	malformed int
}

// Limits restrict the connections and requests of callers.
type Limits struct {
	// Header and Body are the largest sizes in bytes.
	Header, Body int
	// HeaderTimeout is the timeout for reading a header, IdleTimeout that of an idle connection.
	HeaderTimeout, IdleTimeout time.Duration
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout limits the time for a request, 0 for DefaultTimeout. Target is the latency objective.
	Timeout, Target time.Duration
	// Gap is the objective for the longest pause between events of a stream.
	Gap time.Duration
	// Attempts is the largest number of upstreams that may run one request.
	Attempts int
	// Priority is the priority of the route, 0 the highest.
	Priority int
	// Public is set if requests need no key of a client account.
	Public bool
	// Prompt is set if requests describe the prompt for a model.
	Prompt bool
	// Resumable is set if an interrupted stream may be resumed on another upstream.
	Resumable bool
	// Split divides the requests between services by weight.
	Split []SplitWeight
}

// DefaultTimeout limits the time for requests of routes without a timeout.
const DefaultTimeout = 30 * time.Second

// TimeLimit returns the longest time that a request may take.
func (r Route) TimeLimit() time.Duration {
	if r.Timeout > 0 {
		return r.Timeout
	}
	return DefaultTimeout
}

// SplitWeight is the weight of one service in a traffic split.
type SplitWeight struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable upstreams.
type Service struct {
	Name string
	// Connections is the largest number of connections that one upstream accepts, 0 if
	// unknown.
	Connections int
	Engine      Engine
	// Scaling states how many engines may be ordered, nil if none may.
	Scaling *Scaling
}

// Scaling limits and prices the engines that may be ordered for a service.
type Scaling struct {
	// Min and Max bound the engines in each availability zone, on-demand and preemptible ones together.
	Min, Max int
	// Boot is the time from an order until an engine serves.
	Boot time.Duration
	// SpotPrice is the price of a preemptible engine as a fraction of that of an on-demand engine in the
	// same zone, 0 if there are none.
	SpotPrice float64
	// ZonePrices holds the price of an on-demand engine by zone. Zones without an entry have the price 1.
	ZonePrices map[string]float64
}

// ZonePrice returns the price of an on-demand engine in a zone.
func (s Scaling) ZonePrice(zone string) float64 {
	if price, ok := s.ZonePrices[zone]; ok {
		return price
	}
	return 1
}

// Engine describes the engines of a model service. It is zero for other services.
type Engine struct {
	// Slots is the largest batch size, KVTokens the capacity of the KV cache in tokens.
	Slots, KVTokens int
}

// New returns a policy with the given limits, routes and services.
func New(version int64, limits Limits, routes []Route, services []Service) *Policy {
	p := &Policy{Version: version, Limits: limits, routes: slices.Clone(routes), services: make(map[string]Service, len(services)), listed: slices.Clone(services)}
	for _, s := range services {
		p.services[s.Name] = s
	}
	// Longest prefix first, so that Route returns the first match.
	slices.SortStableFunc(p.routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	return p
}

// WithAccounts returns a policy under which requests need a key of one of the accounts, unless their
// route is public. The number of malformed accounts is that of those left out.
func (p *Policy) WithAccounts(accounts *jayaccount.Table, malformed int) *Policy {
	changed := *p
	changed.accounts, changed.malformed = accounts, malformed
	return &changed
}

// Accounts returns the client accounts. It is nil if the policy has none, which means that nobody is
// authenticated.
func (p *Policy) Accounts() *jayaccount.Table {
	return p.accounts
}

// MalformedAccounts returns the number of accounts that were left out since they are malformed.
func (p *Policy) MalformedAccounts() int {
	return p.malformed
}

// Route returns the route for a host and path, the one with the longest matching prefix.
// Hosts are compared without case.
func (p *Policy) Route(host, path string) (Route, bool) {
	for _, r := range p.routes {
		if strings.EqualFold(r.Host, host) && strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Routes returns the number of routes.
func (p *Policy) Routes() int {
	return len(p.routes)
}

// RouteList returns all routes, those with longer prefixes first and else as they were given.
func (p *Policy) RouteList() []Route {
	return slices.Clone(p.routes)
}

// ServiceList returns all services as they were given. Of several with the same name, Service returns the last.
func (p *Policy) ServiceList() []Service {
	return slices.Clone(p.listed)
}

// Service returns a service by name.
func (p *Policy) Service(name string) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Repeatable reports whether a request that may have run may run again.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service returns the service for a request. It selects from the split by a hash of the
// request's ID, so that equal IDs go to the same service.
func (r Route) Service(id string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	point := int(xxhash.Sum64String(id) % uint64(total)) //nolint:gosec // The remainder is below total.
	for _, s := range r.Split {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return ""
}
