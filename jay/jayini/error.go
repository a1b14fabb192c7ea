package jayini

import (
	"fmt"
	"strings"

	"jayfield.example/jay/jayerror"
)

// Kind classifies a fault of a document.
type Kind string

// Kinds of faults.
const (
	KindSyntax    Kind = "syntax"
	KindDuplicate Kind = "duplicate"
	KindUnknown   Kind = "unknown"
	KindMissing   Kind = "missing"
	KindValue     Kind = "value"
)

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// FaultError is the place and the reason of one error in a document.
type FaultError struct {
	// File is the name of the document.
	File string
	// Line counts from 1 and is 0 where the fault has no line.
	Line int
	// Section and Key are empty where the fault belongs to none.
	Section, Key string
	// Reason says what is wrong and what is accepted.
	Reason string
}

// Error returns the fault in one line.
func (f *FaultError) Error() string {
	var b strings.Builder
	b.WriteString(f.File)
	if f.Line > 0 {
		fmt.Fprintf(&b, ":%d", f.Line)
	}
	if f.Section != "" {
		fmt.Fprintf(&b, ": [%s]", f.Section)
	}
	if f.Key != "" {
		b.WriteString(" " + f.Key)
	}
	return b.String() + ": " + f.Reason
}
