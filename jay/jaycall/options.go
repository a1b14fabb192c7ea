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

// Limits bound what a request may take.
type Limits struct {
	// Body bounds a request's body in bytes.
	Body int
	// Calls bounds the requests at work.
	Calls int
	// Time bounds a request without a timeout of its own.
	Time time.Duration
	// First bounds the silence before the first token of a stream.
	First time.Duration
	// Interval bounds the silence between two tokens.
	Interval time.Duration
}

// DefaultLimits returns the limits of an instance whose settings name none.
func DefaultLimits() Limits {
	return Limits{
		Body:     4 << 20,
		Calls:    10_000,
		Time:     2 * time.Minute,
		First:    20 * time.Second,
		Interval: 2 * time.Second,
	}
}

// Configs gives the configuration in force.
type Configs interface {
	// View returns the index of the newest state, nil while none is known.
	View() *jayconfig.View
}

// Entries answers which instances a caller should use.
type Entries interface {
	Entries(region string) []jayentry.Entry
	// Lifetime is how long an answer may be kept.
	Lifetime() time.Duration
}

// Homes reaches the home of a key on another instance.
type Homes interface {
	// Forward sends a call to the instance of an incarnation and returns what is known of it.
	Forward(incarnation string, call jayonce.Call) (jayonce.Outcome, error)
}

// Intents decides the home of keys without a ticket.
type Intents interface {
	// Claim returns the incarnation that runs a key; an error means that it is not known.
	Claim(ctx context.Context, key jayonce.Key) (string, error)
}

// Options are what a front is made of.
type Options struct {
	Region      string
	Incarnation string
	// Hedge sends work whose first token is late to a second upstream.
	Hedge bool
	// Secret signs the positions of streams; all instances have the same.
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
