package jayrelay

import (
	"net/http"
	"time"

	"jayfield.example/jay/jayaccount"
	"jayfield.example/jay/jayplace"
)

// Dialect translates between HTTP headers and the values that a relay works with. It
// makes no decisions.
type Dialect interface {
	// ParseCall parses the headers of a caller's request.
	ParseCall(header http.Header) (Call, error)
	// Request returns the headers of a request to an upstream: the caller's headers,
	// except those reserved for the system, and the headers for send. If the policy has accounts,
	// the caller's key and account are left out too.
	Request(header http.Header, call Call, send Send) http.Header
	// ParseReply parses the status and headers of an upstream's response.
	ParseReply(status int, header http.Header) Reply
	// ParseKV parses the response to a prefill-only request.
	ParseKV(body []byte) (KV, error)
	// Release returns the method and target of the request that frees a KV cache on the
	// engine that holds it.
	Release(handle string) (method, target string)
	// Refusal adds headers that state when the caller may retry.
	Refusal(header http.Header, retryAfter time.Duration)
}

// Call is the metadata that a caller sends with its request.
type Call struct {
	// ID identifies one attempt of the caller.
	ID string
	// Timeout is the caller's timeout, 0 if it sets none.
	Timeout time.Duration
	// LastEventID is the ID of the last stream event that the caller received, empty if none.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of the stream that the caller takes up again, empty
	// if it states none.
	Resumes string
	// Key is the key of the client account that the caller states, empty if it states none or several.
	Key jayaccount.Key
	// Prompt describes the prompt for a model, nil if the request has no description.
	Prompt *Prompt
}

// Prompt describes the prompt of a request in tokens.
type Prompt struct {
	// Prefix identifies the longest prefix of the prompt that it shares with other
	// requests, empty if there is none.
	Prefix string
	// Parts identify the parts of that prefix in order.
	Parts []string
	// PrefixTokens, OwnTokens and OutputTokens are the sizes of the shared prefix, of the
	// rest of the prompt, and of the longest possible output.
	PrefixTokens, OwnTokens, OutputTokens int
	// EstimatedOutputTokens is the caller's estimate of the output size, 0 if it gives
	// none. The estimate is accurate only at the median.
	EstimatedOutputTokens int
}

// Send is the metadata that a relay sends to an upstream with a request.
type Send struct {
	// Upstream is the ID of the only upstream that may run the request.
	Upstream string
	// TimeLeft is the time until the request's deadline.
	TimeLeft time.Duration
	// Priority is the request's priority on the engine, -1 for the engine's default.
	Priority int
	// PrefillOnly requests prefill only: the engine keeps the KV cache of the prompt.
	PrefillOnly bool
	// Source is where the engine fetches the KV cache of the prompt, as ADDRESS/HANDLE of the
	// prefill engine, empty if the engine runs prefill itself.
	Source string
	// Fetch is the address of an engine that has the KV cache of the shared prefix, empty
	// if none is known.
	Fetch string
	// LastEventID is the ID of the last event that the caller received.
	LastEventID string
	// Accounts is set if the traffic policy has client accounts. Account is the name of the one that holds
	// the request's key, empty if there is none.
	Accounts bool
	Account  string
}

// Reply is the metadata of an upstream's response.
type Reply struct {
	// ID is the ID of the request that the response belongs to, empty if not stated.
	ID string
	// Signed is set if the response has the upstream's signature.
	Signed bool
	// NotRun is set if the upstream states that it did not run the request.
	NotRun bool
	// Moved is set if another upstream now has the address.
	Moved bool
	// Leaving is set if the upstream states that it is leaving.
	Leaving bool
	// Busy is set if the upstream rejected the request and states how long it wants none,
	// which is BusyFor. A negative BusyFor means that the statement is malformed.
	Busy    bool
	BusyFor time.Duration
	// Encoded is set if the body has a content encoding, which means that it is not the
	// upstream's original body.
	Encoded bool
	// Load is the load that the upstream reports, nil if it reports none.
	Load *jayplace.Load
}

// KV identifies a KV cache that an engine keeps for another engine to fetch.
type KV struct {
	Handle string
	Tokens int
}
