// Package jaytraffic holds the traffic policy of an operator: which service
// serves a host and path, how often and how long a request may be tried, and
// what callers may send. It is pure; the adapter decodes it, a task holds it.
package jaytraffic

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says how often the work of a request may run.
type Kind string

// Kinds of routes.
const (
	// KindIdempotent may run more than once.
	KindIdempotent Kind = "idempotent"
	// KindOnce runs at most once for each request.
	KindOnce Kind = "once"
	// KindStream answers with a series of events.
	KindStream Kind = "stream"
)

// Policy is one version of the traffic policy. It is immutable.
type Policy struct {
	// Version orders policies; a greater one replaces a lower one.
	Version  int64
	Limits   Limits
	routes   []Route
	services map[string]Service
}

// Limits bound what callers may send.
type Limits struct {
	// Header and Body are sizes in bytes.
	Header, Body int
	// HeaderTime is how long a header may take, Idle how long a connection may rest.
	HeaderTime, Idle time.Duration
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name, Host, Prefix string
	Kind               Kind
	// Timeout is the longest time that a caller waits, Target the time in which an answer is on time.
	Timeout, Target time.Duration
	// Gap is the longest pause between events that is on time.
	Gap time.Duration
	// Attempts is the greatest number of upstreams that one request is sent to.
	Attempts int
	// Priority is the rank of the route, 0 the highest.
	Priority int
	// Prompt is set where requests describe the prompt of a model.
	Prompt bool
	// Resumable streams may go on at another upstream.
	Resumable bool
	Split     []Share
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of upstreams that do the same work.
type Service struct {
	Name string
	// Connections is the most connections that one upstream accepts, 0 where unknown.
	Connections int
	Engine      Engine
}

// Engine describes the engines of a model service; it is zero for plain services.
type Engine struct {
	// Slots is the largest batch, Tokens the KV cache in tokens.
	Slots, Tokens int
}

// New returns a policy of routes and services.
func New(version int64, limits Limits, routes []Route, services []Service) *Policy {
	p := &Policy{Version: version, Limits: limits, routes: slices.Clone(routes), services: make(map[string]Service, len(services))}
	for _, s := range services {
		p.services[s.Name] = s
	}
	// The longest prefix is found first.
	slices.SortStableFunc(p.routes, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	return p
}

// Route returns the route of a host and path: the longest prefix that begins the path.
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

// Service returns a service by name.
func (p *Policy) Service(name string) (Service, bool) {
	s, ok := p.services[name]
	return s, ok
}

// Repeatable reports whether a request of the route may run again after it may have run.
func (r Route) Repeatable() bool {
	return r.Kind == KindIdempotent || r.Kind == KindStream && r.Resumable
}

// Service returns the service for a request, spread over the split by the request's id.
func (r Route) Service(id string) string {
	total := 0
	for _, s := range r.Split {
		total += s.Weight
	}
	if total <= 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(total)) //nolint:gosec // The remainder is below total.
	for _, s := range r.Split {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}
