package jaystore_test

import (
	"bytes"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaystore"
)

// stateHistory is a history of the newest record whose state differs from that of the one before it.
type stateHistory struct {
	records []jaystore.Record
}

func newStateHistory(string) jaystore.History { return stateHistory{} }

func (h stateHistory) With(_ time.Time, r jaystore.Record) (jaystore.History, bool) {
	if len(h.records) > 0 {
		before, _, ok := bytes.Cut(h.records[0].Value, []byte(" "))
		after, _, readable := bytes.Cut(r.Value, []byte(" "))
		if ok && readable && bytes.Equal(before, after) {
			return h, false
		}
	}
	return stateHistory{[]jaystore.Record{r}}, true
}

func (h stateHistory) Settled() jaystore.History { return h }

func (h stateHistory) Records() []jaystore.Record { return h.records }

func (h stateHistory) Removed() bool { return len(h.records) > 0 && len(h.records[0].Value) == 0 }

// Guards against heartbeats that advance the position of the mirror, which would
// make every other instance fetch records that changed nothing. A changed state, a
// tombstone and a record after a tombstone must be served and advance the position.
func TestMirrorDeduplicates(t *testing.T) {
	tests := map[string]struct {
		values  []string
		offsets []jaystore.Position
		changed jaystore.Position
	}{
		"first record is served":             {[]string{"ready 1"}, []jaystore.Position{0}, 1},
		"heartbeats":                         {[]string{"ready 1", "ready 2", "ready 3"}, []jaystore.Position{0}, 1},
		"change":                             {[]string{"ready 1", "ready 2", "leaving 3", "leaving 4"}, []jaystore.Position{2}, 3},
		"end":                                {[]string{"ready 1", "ready 2", ""}, []jaystore.Position{2}, 3},
		"record after a tombstone is served": {[]string{"ready 1", "", "ready 2", "ready 3"}, []jaystore.Position{2}, 3},
		"undecodable records are never duplicates": {[]string{"ready 1", "x", "x"}, []jaystore.Position{2}, 3},
		"return to an earlier state is served":     {[]string{"ready 1", "leaving 2", "ready 3"}, []jaystore.Position{2}, 3},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			mirror := jaystore.NewMirror(&consumer{}, jaystore.WithHistory(newStateHistory, time.Minute))
			for offset, value := range test.values {
				mirror.Apply(t.Context(), []jaystore.Record{{Key: "e1", Value: []byte(value), Position: jaystore.Position(offset)}})
				mirror.MarkRead(time.Unix(1000, 0), jaystore.Position(offset)+1)
			}
			records, next, err := mirror.From(0)
			if err != nil || next != jaystore.Position(len(test.values)) || len(records) != len(test.offsets) || records[0].Position != test.offsets[0] {
				t.Errorf("records = %v, next = %d, want offsets %v", records, next, test.offsets)
			}
			if changed, _ := mirror.Position(); changed != test.changed {
				t.Errorf("position = %d, want %d", changed, test.changed)
			}
		})
	}
}

// Guards against a mirror that reports records as read before it has them: another instance that reads it at
// that moment would skip them for good.
func TestMirrorDoesNotSkipPendingRecords(t *testing.T) {
	tests := map[string]struct {
		apply func(m *jaystore.Mirror, records []jaystore.Record)
		// expired is set if the removals since offset 1 are not known afterwards.
		expired bool
	}{
		"apply":   {func(m *jaystore.Mirror, records []jaystore.Record) { m.Apply(t.Context(), records) }, false},
		"replace": {func(m *jaystore.Mirror, records []jaystore.Record) { m.Replace(t.Context(), records, 2) }, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			mirror := jaystore.NewMirror(&consumer{})
			mirror.Apply(t.Context(), []jaystore.Record{{Key: "a", Value: []byte("1")}})
			mirror.MarkRead(time.Unix(1000, 0), 1)
			mirror.MarkPending(time.Unix(1001, 0), 2)
			if records, next, err := mirror.From(1); err != nil || len(records) != 0 || next != 1 {
				t.Errorf("records = %v, next = %d, %v before they are applied", records, next, err)
			}
			if _, readAt := mirror.Position(); !readAt.Equal(time.Unix(1000, 0)) {
				t.Errorf("read at %s before the records are applied", readAt)
			}
			test.apply(mirror, []jaystore.Record{{Key: "a", Value: []byte("1")}, {Key: "b", Value: []byte("2"), Position: 1}})
			records, next, err := mirror.From(1)
			if jayerror.Is(err, jaystore.KindExpired) != test.expired || !test.expired && len(records) != 1 || next != 2 {
				t.Errorf("records = %v, next = %d, %v, want expired = %v", records, next, err, test.expired)
			}
			if records, next, err := mirror.From(-1); err != nil || len(records) != 2 || next != 2 {
				t.Errorf("records of all keys = %v, next = %d, %v", records, next, err)
			}
		})
	}
}
