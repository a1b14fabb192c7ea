package jaydispatch

import "jayfield.example/jay/jayerror"

// Kind classifies a failure to assign work. The work did not run.
type Kind string

// Kinds of failures.
const (
	// KindNoPool means that no route or service of the name is configured.
	KindNoPool Kind = "no-pool"
	// KindNoUpstream means that no upstream may serve the work.
	KindNoUpstream Kind = "no-upstream"
	// KindGone means that the caller went away or ran out of time before the work was assigned.
	KindGone Kind = "gone"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
