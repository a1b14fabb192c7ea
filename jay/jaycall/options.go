package jaycall

import (
	"context"
	"log/slog"
	"time"

	"jayfield.example/jay/jayconfig"
	"jayfield.example/jay/jaydispatch"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayonce"
)

// Limits are the limits on requests.
type Limits struct {
	// Body is the maximum size of a request body in bytes.
	Body int
	// Calls is the maximum number of requests in flight.
	Calls int
	// Timeout is the default timeout of a completion, and the maximum of a timeout set by the caller.
	Timeout time.Duration
	// FirstTokenTimeout is the timeout for the first token of a stream.
	FirstTokenTimeout time.Duration
	// TokenTimeout is the timeout between two tokens of a stream.
	TokenTimeout time.Duration
}

// DefaultLimits returns the limits that apply where the settings define none.
func DefaultLimits() Limits {
	return Limits{
		Body:              4 << 20,
		Calls:             10_000,
		Timeout:           2 * time.Minute,
		FirstTokenTimeout: 20 * time.Second,
		TokenTimeout:      2 * time.Second,
	}
}

// Configs provides the configuration in force.
type Configs interface {
	// View returns the indexed view of the newest configuration, nil before the first one.
	View() *jayconfig.View
}

// Entries selects the instances that a caller should use.
type Entries interface {
	Entries(region string) []jayentry.Entry
	// Lifetime is how long a caller may cache the result.
	Lifetime() time.Duration
}

// Homes forwards calls to the home of a key on another instance.
type Homes interface {
	// Known reports whether an instance with the given incarnation is a member or listed.
	Known(incarnation string) bool
	// Forward sends a call to the instance with the given incarnation and returns its outcome.
	Forward(incarnation string, call jayonce.Call) (jayonce.Outcome, error)
}

// Intents determines the home of keys without a ticket.
type Intents interface {
	// Claim returns the incarnation that runs a key; on an error, it is unknown which one does.
	Claim(ctx context.Context, key jayonce.Key) (string, error)
}

// Options are the settings and dependencies of a Frontend.
type Options struct {
	Region      string
	Incarnation string
	// Hedge enables hedging: work whose first token is late is sent to a second upstream too.
	Hedge bool
	// Secret signs the cursors of streams; all instances share it.
	Secret     []byte
	Limits     Limits
	Configs    Configs
	Entries    Entries
	Homes      Homes
	Home       *jayonce.Home
	Intents    Intents
	Dispatcher *jaydispatch.Dispatcher
	Engines    *jayengine.Client
	Rates      *jaylimit.Limiter
	Metrics    *jaymetric.Set
	Log        *slog.Logger
}
