package jayedge

import (
	"net/http"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayrelay"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

// Store is the part of the platform that outlasts an instance.
type Store interface {
	jaystore.Reader
	jaystore.Writer
}

// Adapter translates between the platform's formats and the product's types.
type Adapter interface {
	// Store returns a client of the store at an address, which counts its calls.
	Store(address string, series *jaymetric.Exposition) Store
	// Dialect returns the translation of headers.
	Dialect() jayrelay.Dialect
	// IsPolicy reports whether a key of the policy topic holds the traffic policy.
	IsPolicy(key string) bool
	ReadPolicy(value []byte) (*jaytraffic.Policy, error)
	ReadUpstream(id string, value []byte) (jayfleet.Upstream, error)
	// EntryHandler serves callers that ask where to connect.
	EntryHandler(entries Entries) http.Handler
	// ReadyHandler serves the platform's checks of readiness.
	ReadyHandler(ready func() bool) http.Handler
}

// Question is a caller's question where to connect.
type Question struct {
	Host, Region, Zone string
}

// Entries answers where callers connect.
type Entries interface {
	// Entries returns addresses and for how long they may be used; none where no instance takes callers.
	Entries(question Question) (addresses []string, lifetime time.Duration)
}
