package jayrelay

import "jayfield.example/jay/jayerror"

// Kind classifies why a request did not get an upstream's answer.
type Kind string

// Kinds of failures.
const (
	// KindRequest says that the request is malformed or too large.
	KindRequest Kind = "request"
	// KindNotRun says that the request was not run and will not be.
	KindNotRun Kind = "not run"
	// KindUnknown says that the request may have run.
	KindUnknown Kind = "unknown"
	// KindTime says that the time ended and the request may have run.
	KindTime Kind = "time"
	// KindGone says that the caller left.
	KindGone Kind = "gone"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
