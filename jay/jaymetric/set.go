// Package jaymetric holds the counters of an instance, shown by expvar.
package jaymetric

import (
	"expvar"
	"log/slog"
)

// Name identifies a counter.
type Name string

// Counters of an instance.
const (
	Requests        Name = "requests"
	Refused         Name = "requests_refused"
	Completed       Name = "requests_completed"
	Failed          Name = "requests_failed"
	CallerGone      Name = "callers_gone"
	Tokens          Name = "tokens"
	StreamsResumed  Name = "streams_resumed"
	StreamsSilent   Name = "streams_silent"
	EventsDropped   Name = "events_dropped"
	Hedges          Name = "hedges"
	SlowTold        Name = "slow_told"
	Prefills        Name = "prefills"
	PrefillsFailed  Name = "prefillsFailed"
	Retries         Name = "retries"
	RetriesRefused  Name = "retries_refused"
	OnceSent        Name = "once_sent"
	OnceNotRun      Name = "once_not_run"
	OnceUnknown     Name = "once_unknown"
	OnceForwarded   Name = "once_forwarded"
	ConfigApplied   Name = "config_applied"
	ConfigRestored  Name = "config_restored"
	Checkpoints     Name = "checkpoints"
	LogUnavailable  Name = "log_unavailable"
	OrdersSent      Name = "orders_sent"
	OrdersBlocked   Name = "orders_blocked"
	LeaseHeld       Name = "leases_taken"
	LeaseLost       Name = "leases_lost"
	InvariantBroken Name = "invariants_broken"
	// InvalidResponses counts responses that were malformed or truncated.
	InvalidResponses Name = "invalid_responses"
)

// Set is the counters of one instance. It is safe for concurrent use.
type Set struct {
	values *expvar.Map
	log    *slog.Logger
	fatal  func(rule string)
}

// Option changes a set at its construction.
type Option func(*Set)

// NewSet returns a set of counters that are all zero.
func NewSet(log *slog.Logger, options ...Option) *Set {
	s := &Set{values: new(expvar.Map).Init(), log: log}
	for _, option := range options {
		option(s)
	}
	return s
}

// WithFatal calls fatal for a broken invariant, as tests do.
func WithFatal(fatal func(rule string)) Option {
	return func(s *Set) { s.fatal = fatal }
}

// Add adds to a counter.
func (s *Set) Add(name Name, delta int64) {
	s.values.Add(string(name), delta)
}

// ReportBrokenInvariant counts and logs a broken invariant.
func (s *Set) ReportBrokenInvariant(rule string) {
	s.Add(InvariantBroken, 1)
	s.log.Error("invariant broken", "rule", rule)
	if s.fatal != nil {
		s.fatal(rule)
	}
}

// Map returns the counters for publication.
func (s *Set) Map() *expvar.Map {
	return s.values
}

// Value returns a counter.
func (s *Set) Value(name Name) int64 {
	value, ok := s.values.Get(string(name)).(*expvar.Int)
	if !ok {
		return 0
	}
	return value.Value()
}
