package jaymesh

import "jayfield.example/jay/jayerror"

// Kind classifies a failure of the mesh.
type Kind string

// Kinds of failures.
const (
	// KindUnknown means that no member of the incarnation is known.
	KindUnknown Kind = "unknown-member"
	// KindMessage means that a message of another instance cannot be read.
	KindMessage Kind = "message"
	// KindBehind means that this instance has nothing newer to give.
	KindBehind Kind = "behind"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

func newError(op string, kind Kind, message string) error {
	return jayerror.New(op, kind, message)
}

func wrapError(op string, err error) error {
	return jayerror.Wrap(op, KindMessage, err)
}
