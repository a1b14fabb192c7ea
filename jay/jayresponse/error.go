package jayresponse

import "jayfield.example/jay/jayerror"

// Kind classifies an invalid response. With each kind, the request may have run.
type Kind string

// Kinds of invalid responses.
const (
	// KindMalformed means that the status line or the header breaks the syntax of HTTP.
	KindMalformed Kind = "malformed"
	// KindTruncated means that a write found that the connection had failed before the end of the response. If a read
	// finds it, its error is the one of the connection.
	KindTruncated Kind = "truncated"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
