package jayrelay

import "jayfield.example/jay/jayerror"

// Kind classifies why a request got no response from an upstream.
type Kind string

// Kinds of failures.
const (
	// KindInvalidRequest means that the request is malformed, too large or matches no route.
	KindInvalidRequest Kind = "request"
	// KindUnauthenticated means that the request needs a key of a client account and has none.
	KindUnauthenticated Kind = "account"
	// KindNotRun means that the request did not run and will not run.
	KindNotRun Kind = "not run"
	// KindUnknownOutcome means that the request may have run.
	KindUnknownOutcome Kind = "unknown"
	// KindTimeout means that the deadline passed and the request may have run.
	KindTimeout Kind = "time"
	// KindCallerGone means that the caller closed its connection.
	KindCallerGone Kind = "gone"
	// KindEnded means that the instance ended the request for lack of memory after it was sent.
	KindEnded Kind = "ended"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
