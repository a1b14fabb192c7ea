package jayconfig

import (
	"fmt"
	"maps"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylog"
)

// Kinds of records in the configuration stream.
const (
	RecordPublish    = "publish"
	RecordCheckpoint = "checkpoint"
)

// maxVerdicts is the maximum number of verdicts that a state keeps; older ones are discarded.
const maxVerdicts = 256

// State is the configuration at a log offset. It is immutable.
type State struct {
	position int64
	objects  map[Name]Object
	verdicts []Verdict
}

// NewState returns the empty state, before the first record of the stream.
func NewState() *State {
	return &State{objects: map[Name]Object{}}
}

// StateFromDocument returns the state after a document is published as the first record of the stream.
// Errors refer to the document by source.
func StateFromDocument(source, document string) (*State, error) {
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

// Apply returns the state after an entry. It fails with KindFormat if the record has a newer
// format, and with KindStale if the entry's offset is not the next one.
func (s *State) Apply(entry jaylog.Entry) (*State, error) {
	if entry.Offset != s.position {
		return s, jayerror.Newf("apply", KindStale, "entry has offset %d, expected %d", entry.Offset, s.position)
	}
	after := &State{position: s.position + 1, objects: s.objects, verdicts: s.verdicts}
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
		return s, jayerror.Newf("apply", KindFormat, "record at offset %d has format %d; this version supports formats up to %d", entry.Offset, publish.Format, Format)
	}
	verdict := s.evaluate(entry, publish)
	if verdict.Outcome == OutcomeAccepted {
		after.objects = s.withChanges(entry.Offset, publish.Changes)
	}
	after.verdicts = appendVerdict(s.verdicts, verdict)
	return after, nil
}

// evaluate returns the verdict on a publish. It must be deterministic and depend only on the state and
// the entry, so that all instances reach the same verdict.
func (s *State) evaluate(entry jaylog.Entry, publish Publish) Verdict {
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
			verdict.Outcome, verdict.CurrentVersion = OutcomeConflict, current
			verdict.Reason = fmt.Sprintf("%s is at version %d, not %d; run jayfield get, edit, publish again", change.Name, current, change.Base)
			return verdict
		}
		if change.Delete {
			continue
		}
		if _, err := decodeFields(change.Name, change.Fields); err != nil {
			verdict.Outcome, verdict.Reason = OutcomeInvalid, err.Error()
			return verdict
		}
	}
	return verdict
}

func (s *State) withChanges(offset int64, changes []Change) map[Name]Object {
	objects := maps.Clone(s.objects)
	for _, change := range changes {
		if change.Delete {
			delete(objects, change.Name)
			continue
		}
		spec, err := decodeFields(change.Name, change.Fields)
		if err != nil {
			continue
		}
		version := offset + 1
		objects[change.Name] = Object{Name: change.Name, Version: version, Fields: change.Fields, spec: spec}
	}
	return objects
}

func appendVerdict(verdicts []Verdict, last Verdict) []Verdict {
	from := max(0, len(verdicts)+1-maxVerdicts)
	next := make([]Verdict, 0, len(verdicts)-from+1)
	next = append(next, verdicts[from:]...)
	return append(next, last)
}
