package jaymesh

import "jayfield.example/jay/jayerror"

// Kind classifies a failure of the mesh.
type Kind string

// Kinds of failures.
const (
	// KindUnknown means that no known member has the incarnation.
	KindUnknown Kind = "unknown-member"
	// KindMessage means that a message cannot be encoded or decoded or has an unknown topic.
	KindMessage Kind = "message"
	// KindBehind means that this instance has no newer configuration than the requested position.
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
