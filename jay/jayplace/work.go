// Package jayplace decides which upstream serves a request.
//
// Completions with few output tokens consist almost entirely of prefill, so the dominant load
// is prompt tokens: requests with the same prompt prefix go to one engine, its home, which
// prefills the prefix once. Plain requests, which are those other than completions, go to the
// upstream with the lowest expected latency. The package does no I/O and reads no clock: one
// goroutine owns a Table and passes it the time.
package jayplace

import (
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
)

// Kind classifies an error of the package.
type Kind string

// KindNone means that no upstream of the service can take the request.
const KindNone Kind = "none"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Work is a request to be placed.
type Work struct {
	// ID identifies the request; its hash breaks ties between equal upstreams.
	ID      string
	Service string
	// Account is the name of the client account, empty if there is none.
	Account string
	// Priority is the priority of the account, or of the route if the account has none; 0 is the most
	// urgent.
	Priority int
	// Target is the latency objective, 0 if there is none.
	Target time.Duration
	// Prompt is set for completions; the sizes below are in tokens.
	Prompt bool
	// Parts identify the parts of the prompt that other requests may have too, in order.
	Parts []string
	// Prefix identifies the prompt prefix that other requests begin with too.
	Prefix string
	// PrefixTokens and OwnTokens are the sizes of that prefix and of the rest of the prompt,
	// ExpectedOutputTokens the expected size of the output.
	PrefixTokens, OwnTokens, ExpectedOutputTokens int
	// Avoid holds the IDs of upstreams that the request has already been sent to.
	Avoid map[string]bool
	// Held is set if the request has been placed before and was held since: its demand counts once.
	Held bool
	// Pinned is set if only upstreams of a version may take the request, which Version names.
	Pinned  bool
	Version string
}

// allows reports whether an upstream has a version that may take the request.
func (w Work) allows(u *upstream) bool {
	return !w.Pinned || u.spec.Version == w.Version
}

// Choice is the upstream chosen for a request, with the expected cost.
type Choice struct {
	// Upstream is where the request is sent first.
	Upstream jayfleet.Upstream
	// Disaggregated is set for disaggregated prefill: the upstream only prefills the prompt, and a
	// decode engine is chosen once that is done.
	Disaggregated bool
	// Priority is the engine's priority for the request, 0 the highest.
	Priority int
	// PrefillTokens is the number of prompt tokens expected to be prefilled, Wait the expected time
	// to first token.
	PrefillTokens int
	Wait          time.Duration
	// Queue is the part of Wait until the prefills that go first have ended. Full is set if the engine has
	// no free slot, and Measured if the times rest on measurements of the engine's stage.
	Queue          time.Duration
	Full, Measured bool
	// Cached is set if the upstream is assumed to have cached the shared prefix.
	Cached bool
	// Fetch is the address of an engine that has cached the shared prefix, from which the
	// upstream fetches it; empty if no fetch is needed or no such engine is known.
	Fetch string
	// Took is the time from the send of the prompt to the response of a prefill-only request or to
	// the first event, set by the caller for EndPrefill; 0 if it was not measured.
	Took time.Duration
	// ahead and transfer are the queued tokens and the time of the fetch of which Wait consists.
	ahead    int
	transfer time.Duration
}
