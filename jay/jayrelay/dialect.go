package jayrelay

import (
	"net/http"
	"time"

	"jayfield.example/jay/jayplace"
)

// Dialect translates between headers and what a relay needs to know. It decides nothing.
type Dialect interface {
	// Call reads what a caller says of its request.
	Call(header http.Header) (Call, error)
	// Request returns the header of a request to an upstream: the caller's without
	// those that only the system sets, and those of the send.
	Request(header http.Header, call Call, send Send) http.Header
	// Reply reads what an upstream says of its answer.
	Reply(status int, header http.Header) Reply
	// Handle reads the answer to a request whose prompt only was read.
	Handle(body []byte) (KV, error)
	// Release returns the call that frees a KV cache at the engine that holds it.
	Release(handle string) (method, target string)
	// Refusal adds to a header when a caller may come back.
	Refusal(header http.Header, after time.Duration)
}

// Call is what a caller says of its request.
type Call struct {
	// ID names one attempt of the caller.
	ID string
	// Patience is how long the caller waits, 0 where it does not say.
	Patience time.Duration
	// After is the last event of a stream that the caller has, empty where it has none.
	After string
	// Prompt is set where the request describes the prompt of a model.
	Prompt *Prompt
}

// Prompt describes the prompt of a request in tokens.
type Prompt struct {
	// Shared names the longest start of the prompt that other requests have too, empty where there is none.
	Shared string
	// SharedTokens, OwnTokens and OutputTokens are the sizes of that start, of the rest, and of the longest answer.
	SharedTokens, OwnTokens, OutputTokens int
	// HintTokens is the caller's estimate of the answer, right at the median only and 0
	// where it gives none.
	HintTokens int
}

// Send is what a relay tells an upstream with a request.
type Send struct {
	// Upstream is the id of the only upstream that may run it.
	Upstream string
	// Left is the time that the caller still waits.
	Left time.Duration
	// Priority is the engine's rank for the request, -1 to leave it at the default.
	Priority int
	// ReadOnly has the engine read the prompt and keep its KV cache.
	ReadOnly bool
	// Source is where the engine fetches the KV cache of the prompt, empty where it reads the prompt itself.
	Source string
	// Fetch is the address of an engine that keeps the start of the prompt, empty where none is known.
	Fetch string
	// After is the last event that the caller has.
	After string
}

// Reply is what an upstream says of its answer.
type Reply struct {
	// ID is the request that it answers, empty where it does not say.
	ID string
	// Signed is set where the answer bears the upstream's signature.
	Signed bool
	// NotRun is set where the upstream states that it did not run the request.
	NotRun bool
	// Moved is set where another upstream has the address.
	Moved bool
	// Encoded is set where the body is not the upstream's own.
	Encoded bool
	// Load is set where the upstream states its load.
	Load *jayplace.Load
}

// KV is a KV cache that an engine keeps for another one.
type KV struct {
	Handle string
	Tokens int
}
