package jayclient

import "jayfield.example/jay/jayerror"

// Kind classifies a failed request.
type Kind string

// Kinds of failures.
const (
	// KindUnreachable means that no entry address answered.
	KindUnreachable Kind = "unreachable"
	// KindRefused means that the system refused the request.
	KindRefused Kind = "refused"
	// KindNotRun means that the work did not run and will not run under its key.
	KindNotRun Kind = "not-run"
	// KindUnavailable means that the instance serves nobody now; the work did not run.
	KindUnavailable Kind = "unavailable"
	// KindUnknown means that it is unknown whether the work ran.
	KindUnknown Kind = "unknown"
	// KindBroken means that the answer ended before it was whole.
	KindBroken Kind = "broken"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
