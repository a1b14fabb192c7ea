package jaylog

import "jayfield.example/jay/jayerror"

// Kind classifies a failure of the log.
type Kind string

// Kinds of failures.
const (
	// KindExpired means that the offset asked for is older than the oldest record kept.
	KindExpired Kind = "expired"
	// KindUnavailable means that the log gave no answer; an append may have taken effect.
	KindUnavailable Kind = "unavailable"
	// KindRefused means that the log refused the request; nothing took effect.
	KindRefused Kind = "refused"
	// KindConflict means that the condition of an append did not hold; nothing took effect.
	KindConflict Kind = "conflict"
	// KindBudget means that the append budget is spent; nothing was sent.
	KindBudget Kind = "budget"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
