// Package jaycheck checks a traffic policy before it is sent: it finds what is wrong, what can never take effect,
// which limits contradict each other, and what differs from the version in force. It does no I/O.
package jaycheck

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"unicode"
)

// Level is how much a finding matters.
type Level string

// Levels, the most important first.
const (
	// LevelError means that the policy must not be sent.
	LevelError Level = "error"
	// LevelWarning means that an entry has no effect or that limits contradict each other.
	LevelWarning Level = "warning"
	// LevelNote explains an effect that may surprise.
	LevelNote Level = "note"
	// LevelChange is a difference from the version in force.
	LevelChange Level = "change"
)

// Kind classifies findings.
type Kind string

// Kinds of findings.
const (
	// KindFormat means that a policy or an account can't be decoded.
	KindFormat Kind = "format"
	// KindVersion means that the version doesn't replace the one in force.
	KindVersion Kind = "version"
	// KindDuplicate means that several entries have the same name.
	KindDuplicate Kind = "duplicate"
	// KindService means that a route leads to no service.
	KindService Kind = "service"
	// KindSplit means that the weights of a split select no service.
	KindSplit Kind = "split"
	// KindTimeout means that a timeout is not above zero.
	KindTimeout Kind = "timeout"
	// KindKey means that several accounts hold the same key.
	KindKey Kind = "key"
	// KindUnused means that an entry can never take effect.
	KindUnused Kind = "unused"
	// KindPrefix means that a path prefix doesn't begin and end with a slash.
	KindPrefix Kind = "prefix"
	// KindPublic means that a priority doesn't apply to all requests of a public route.
	KindPublic Kind = "public"
	// KindLimit means that a limit is out of range or contradicts another one.
	KindLimit Kind = "limit"
	// KindAdded, KindRemoved and KindChanged are differences from the version in force.
	KindAdded   Kind = "added"
	KindRemoved Kind = "removed"
	KindChanged Kind = "changed"
)

// Finding is one result of a check. It contains no key of an account.
type Finding struct {
	Level Level `json:"level"`
	Kind  Kind  `json:"kind"`
	// Subject is the entry of the policy that the finding is about, for example "route orders".
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

// Undecodable returns the finding for a policy that can't be decoded.
func Undecodable(subject string, err error) Finding {
	return Finding{Level: LevelError, Kind: KindFormat, Subject: subject, Text: err.Error()}
}

// Failed reports whether there is an error among some findings.
func Failed(findings []Finding) bool {
	return slices.ContainsFunc(findings, func(f Finding) bool { return f.Level == LevelError })
}

// Sort sorts findings by level, the most important first, then by subject, kind and text.
func Sort(findings []Finding) {
	slices.SortFunc(findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Level.rank(), b.Level.rank()), cmp.Compare(a.Subject, b.Subject),
			cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Text, b.Text))
	})
}

func (l Level) rank() int {
	return slices.Index([]Level{LevelError, LevelWarning, LevelNote, LevelChange}, l)
}

// findings collects the findings of one check.
type findings []Finding

func (f *findings) add(level Level, kind Kind, subject, format string, args ...any) {
	*f = append(*f, Finding{Level: level, Kind: kind, Subject: subject, Text: fmt.Sprintf(format, args...)})
}

// warnIf adds a warning about limits if it applies.
func (f *findings) warnIf(applies bool, subject, format string, args ...any) {
	if applies {
		f.add(LevelWarning, KindLimit, subject, format, args...)
	}
}

// subject returns the subject for an entry. Names that would be ambiguous in a line are quoted.
func subject(what, name string) string {
	return what + " " + quoted(name)
}

func quoted(name string) string {
	odd := func(r rune) bool { return unicode.IsSpace(r) || !unicode.IsPrint(r) || r == '"' }
	if name == "" || strings.ContainsFunc(name, odd) {
		return strconv.Quote(name)
	}
	return name
}
