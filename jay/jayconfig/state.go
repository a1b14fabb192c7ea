package jayconfig

import (
	"fmt"
	"maps"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
)

// Kinds of records in the configuration's stream.
const (
	RecordPublish    = "publish"
	RecordCheckpoint = "checkpoint"
)

// verdictsKept bounds the verdicts of a state: older ones are forgotten.
const verdictsKept = 256

// State is the configuration as of an offset. It is immutable.
type State struct {
	next     int64
	objects  map[Name]Object
	verdicts []Verdict
}

// NewState returns the state before the first record of the stream.
func NewState() *State {
	return &State{objects: map[Name]Object{}}
}

// StateOf returns the state after a document, named source in errors, was the first to be published.
func StateOf(source, document string) (*State, error) {
	publish, err := ParsePublish(source, document)
	if err != nil {
		return nil, err
	}
	body, err := publish.Encode()
	if err != nil {
		return nil, err
	}
	return NewState().Apply(jaylog.Entry{Record: jaylog.NewWriter(source).Record(RecordPublish, body)})
}

// Apply returns the state after an entry. It fails with KindFormat on a
// record of a newer format, and with KindStale on an offset that is not the next.
func (s *State) Apply(entry jaylog.Entry) (*State, error) {
	if entry.Offset != s.next {
		return s, jayerror.Newf("apply", KindStale, "offset %d is not %d", entry.Offset, s.next)
	}
	after := &State{next: s.next + 1, objects: s.objects, verdicts: s.verdicts}
	if entry.Record.Kind != RecordPublish {
		return after, nil
	}
	if _, repeated := s.Verdict(entry.Record.ID); repeated {
		return after, nil
	}
	var publish Publish
	if err := msgpack.Unmarshal(entry.Record.Body, &publish); err != nil {
		publish = Publish{Format: Format}
	}
	if publish.Format > Format {
		return s, jayerror.Newf("apply", KindFormat, "record %d has format %d, this program reads up to %d", entry.Offset, publish.Format, Format)
	}
	verdict := s.judge(entry, publish)
	if verdict.Outcome == OutcomeAccepted {
		after.objects = s.replaced(entry.Offset, publish.Changes)
	}
	after.verdicts = kept(s.verdicts, verdict)
	return after, nil
}

// judge decides on a publish; it must depend on nothing but the state and the entry.
func (s *State) judge(entry jaylog.Entry, publish Publish) Verdict {
	verdict := Verdict{ID: entry.Record.ID, Offset: entry.Offset, Operator: publish.Operator, Outcome: OutcomeAccepted}
	for _, change := range publish.Changes {
		verdict.Names = append(verdict.Names, change.Name)
	}
	if len(publish.Changes) == 0 {
		verdict.Outcome, verdict.Reason = OutcomeInvalid, "record is empty or unreadable"
	}
	for _, change := range publish.Changes {
		current := s.objects[change.Name].Version
		if change.Base != current {
			verdict.Outcome, verdict.Winner = OutcomeConflict, current
			verdict.Reason = fmt.Sprintf("%s is at version %d, not %d; run jayfield get, edit, publish again", change.Name, current, change.Base)
			return verdict
		}
		if change.Delete {
			continue
		}
		if _, err := specOf(change.Name, change.Fields); err != nil {
			verdict.Outcome, verdict.Reason = OutcomeInvalid, err.Error()
			return verdict
		}
	}
	return verdict
}

func (s *State) replaced(offset int64, changes []Change) map[Name]Object {
	objects := maps.Clone(s.objects)
	for _, change := range changes {
		if change.Delete {
			delete(objects, change.Name)
			continue
		}
		spec, err := specOf(change.Name, change.Fields)
		if err != nil {
			continue
		}
		version := offset + 1
		objects[change.Name] = Object{Name: change.Name, Version: version, Fields: change.Fields, spec: spec}
	}
	return objects
}

func kept(verdicts []Verdict, last Verdict) []Verdict {
	from := max(0, len(verdicts)+1-verdictsKept)
	next := make([]Verdict, 0, len(verdicts)-from+1)
	next = append(next, verdicts[from:]...)
	return append(next, last)
}
