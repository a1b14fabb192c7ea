package jaydispatch

import "jayfield.example/jay/jayerror"

// Kind classifies a failure to assign work. The work did not run.
type Kind string

// Kinds of failures.
const (
	// KindNoPool means that no route or service with the name is configured.
	KindNoPool Kind = "no-pool"
	// KindNoUpstream means that no upstream can take the work.
	KindNoUpstream Kind = "no-upstream"
	// KindGone means that the caller disconnected or timed out, or the dispatcher
	// stopped, before the work was assigned.
	KindGone Kind = "gone"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
