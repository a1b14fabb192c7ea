package jayadmin

import "jayfield.example/jay/jayerror"

// Kind classifies a failed operator request.
type Kind string

// Kinds of failures.
const (
	KindAuth    Kind = "auth"
	KindInvalid Kind = "invalid"
	KindLog     Kind = "log-unavailable"
	KindUnknown Kind = "unknown-outcome"
	KindMissing Kind = "not-found"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
