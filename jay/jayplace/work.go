// Package jayplace decides which upstream serves a request.
//
// Completions with a few output tokens are nearly all prompt reading, so the
// load that it answers is that of prompt tokens: requests that share the start
// of a prompt meet at one engine, which reads that start once. Plain work goes
// where it is expected to be complete first. The package is pure: one task
// owns a Table and gives it the time.
package jayplace

import (
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayfleet"
)

// Kind classifies a refusal.
type Kind string

// KindNone says that no upstream of the service may take the work.
const KindNone Kind = "none"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// Work is a request to be placed.
type Work struct {
	// ID names the request; equal upstreams are told apart by it.
	ID      string
	Service string
	// Prompt is set for completions; the sizes below are in tokens.
	Prompt bool
	// Shared names the part of the prompt that other requests begin with too.
	Shared string
	// SharedTokens and OwnTokens are the sizes of that part and of the rest of the prompt,
	// AnswerTokens the expected size of the answer.
	SharedTokens, OwnTokens, AnswerTokens int
	// Avoid holds the ids of upstreams that the request has been sent to.
	Avoid map[string]bool
}

// Choice is where a request goes.
type Choice struct {
	// Upstream gets the request first.
	Upstream jayfleet.Upstream
	// Apart is set where the upstream only reads the prompt, for a host that is chosen
	// once it has been read.
	Apart bool
	// Priority is the engine's rank for the work, 0 the first.
	Priority int
	// Reading is the prompt tokens that are expected to be read, Wait the expected time to
	// the first token.
	Reading int
	Wait    time.Duration
	// Cached is set where the shared part is believed to be kept there.
	Cached bool
	// Fetch is the address of an engine that keeps the shared part, from which the
	// upstream fetches it; empty where it does not have to or none is known.
	Fetch string
}
