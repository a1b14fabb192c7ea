package jaylink

import "jayfield.example/jay/jayerror"

// Kind classifies a failed exchange.
type Kind string

// Kinds of failed exchanges.
const (
	// KindConnect says that nothing was sent: no connection could be had.
	KindConnect Kind = "connect"
	// KindWithdrawn means that nothing was sent, since the request was withdrawn meanwhile.
	KindWithdrawn Kind = "withdrawn"
	// KindBroken says that the request was sent, wholly or in part, and may have run.
	KindBroken Kind = "broken"
	// KindTimeout says that the time limit was reached after the request was sent.
	KindTimeout Kind = "time"
	// KindSpoilt says that what came back is no answer to the request.
	KindSpoilt Kind = "spoilt"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
