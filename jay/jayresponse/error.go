package jayresponse

import "jayfield.example/jay/jayerror"

// Kind classifies what is wrong with a response. None of the kinds says whether the request was run.
type Kind string

// KindMalformed means that the status line or the header breaks the syntax of HTTP.
const KindMalformed Kind = "malformed"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]
