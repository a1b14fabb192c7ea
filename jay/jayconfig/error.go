package jayconfig

import "jayfield.example/jay/jayerror"

// Kind classifies a configuration error.
type Kind string

// Kinds of errors.
const (
	KindInvalid  Kind = "invalid"
	KindConflict Kind = "conflict"
	KindUnknown  Kind = "unknown"
	KindFormat   Kind = "format"
	KindStale    Kind = "stale"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
