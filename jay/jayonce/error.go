package jayonce

import "jayfield.example/jay/jayerror"

// Kind classifies a refusal of a ticket.
type Kind string

// Kinds of refusals.
const (
	// KindMalformed means that the key does not begin with a ticket or is longer than MaxKeySize.
	KindMalformed Kind = "malformed"
	// KindForeign means that another incarnation issued the ticket.
	KindForeign Kind = "foreign"
	// KindForged means that this incarnation did not issue the ticket to the caller.
	KindForged Kind = "forged"
	// KindExpired means that the ticket is too old and the state of its keys may have been discarded, or
	// that a key without a ticket may have begun before.
	KindExpired Kind = "expired"
	// KindUndecided means that the log has not yet decided the home of a key without a ticket.
	KindUndecided Kind = "undecided"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
