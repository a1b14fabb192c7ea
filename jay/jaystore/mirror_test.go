package jaystore_test

import (
	"bytes"
	"testing"
	"time"

	"jayfield.example/jay/jaystore"
)

// Heartbeats are not passed on, and do not move the position that others go by;
// a change, an end and a return after it are.
func TestMirrorWithoutRepeats(t *testing.T) {
	tests := map[string]struct {
		values  []string
		offsets []int64
		changed int64
	}{
		"first record":           {[]string{"ready 1"}, []int64{0}, 1},
		"heartbeats":             {[]string{"ready 1", "ready 2", "ready 3"}, []int64{0}, 1},
		"change":                 {[]string{"ready 1", "ready 2", "leaving 3", "leaving 4"}, []int64{2}, 3},
		"end":                    {[]string{"ready 1", "ready 2", ""}, []int64{2}, 3},
		"return after an end":    {[]string{"ready 1", "", "ready 2", "ready 3"}, []int64{2}, 3},
		"what cannot be read":    {[]string{"ready 1", "x", "x"}, []int64{2}, 3},
		"back to an older state": {[]string{"ready 1", "leaving 2", "ready 3"}, []int64{2}, 3},
	}
	same := func(known, repeat jaystore.Record) bool {
		before, _, ok := bytes.Cut(known.Value, []byte(" "))
		after, _, readable := bytes.Cut(repeat.Value, []byte(" "))
		return ok && readable && bytes.Equal(before, after)
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			mirror := jaystore.NewMirror(&consumer{}, jaystore.WithoutRepeats(same))
			for offset, value := range test.values {
				mirror.Apply(t.Context(), []jaystore.Record{{Key: "e1", Value: []byte(value), Offset: int64(offset)}})
				mirror.Answered(time.Unix(1000, 0), int64(offset)+1)
			}
			records, next := mirror.From(0)
			if next != int64(len(test.values)) || len(records) != len(test.offsets) || records[0].Offset != test.offsets[0] {
				t.Errorf("records = %v, next = %d, want offsets %v", records, next, test.offsets)
			}
			if changed, _ := mirror.Position(); changed != test.changed {
				t.Errorf("position = %d, want %d", changed, test.changed)
			}
		})
	}
}
