package jayedge

import (
	"net/http"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jayprovider"
	"jayfield.example/jay/jayrelay"
	"jayfield.example/jay/jaystore"
	"jayfield.example/jay/jaytraffic"
)

// Store is the external store of the platform, whose data outlast an instance.
type Store interface {
	jaystore.Reader
	jaystore.Writer
	jaystore.Log
}

// Adapter translates between the platform's formats and the product's types.
type Adapter interface {
	// Store returns a client of the store at an address, whose long polls wait as polls states; the
	// client counts its calls in the series.
	Store(address string, polls jaystore.Polls, series *jaymetric.Exposition) Store
	// Provider returns a client of the control API at an address, which counts its calls in the series. It
	// sends a call only if jayprovider.Allowed is true once the connection is established, and never
	// repeats one.
	Provider(address string, series *jaymetric.Exposition) jayprovider.Provider
	// Dialect returns the translation between the platform's headers and the relay's types.
	Dialect() jayrelay.Dialect
	// IsPolicy reports whether a key of the policy topic holds the traffic policy.
	IsPolicy(key string) bool
	ReadPolicy(value []byte) (*jaytraffic.Policy, error)
	ReadUpstream(id string, value []byte) (jayfleet.Upstream, error)
	// EntryHandler serves requests of callers for the addresses of instances.
	EntryHandler(entries Entries) http.Handler
	// ReadyHandler serves the readiness probes of the platform.
	ReadyHandler(ready func() bool) http.Handler
}

// EntryQuery is a caller's request for the addresses of instances.
type EntryQuery struct {
	Host, Region, Zone string
}

// Entries returns the addresses to which callers connect.
type Entries interface {
	// Entries returns addresses and for how long they may be cached; none if no instance accepts callers.
	Entries(query EntryQuery) (addresses []string, lifetime time.Duration)
}
