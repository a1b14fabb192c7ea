package jaylease_test

import (
	"testing"

	"jayfield.example/jay/jaylease"
	"jayfield.example/jay/jaylog"
)

// Guards against a predecessor whose release is forgotten once another instance has released the
// lease too, and against one that counts as gone although it claimed the lease again.
func TestReleasedRemembersAllButHolders(t *testing.T) {
	type step struct{ kind, incarnation string }
	tests := map[string]struct {
		steps    []step
		released map[string]bool
	}{
		"two after each other": {[]step{{jaylease.RecordClaim, "a"}, {jaylease.RecordRelease, "a"}, {jaylease.RecordClaim, "b"}, {jaylease.RecordRelease, "b"}}, map[string]bool{"a": true, "b": true}},
		"claimed again":        {[]step{{jaylease.RecordClaim, "a"}, {jaylease.RecordRelease, "a"}, {jaylease.RecordClaim, "a"}}, map[string]bool{"a": false}},
		"holder":               {[]step{{jaylease.RecordClaim, "a"}}, map[string]bool{"a": false}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			v := jaylease.NewView("cell", 0)
			for n, s := range test.steps {
				offset := int64(n + 1)
				body, err := jaylease.Body{Cell: "cell", Read: offset}.Encode()
				if err != nil {
					t.Fatal(err)
				}
				entry := jaylog.Entry{Offset: offset, Record: jaylog.Record{Kind: s.kind, Body: body}}
				entry.Record.ID.Incarnation = s.incarnation
				if _, effective := v.Apply(entry); !effective {
					t.Fatalf("record %d took no effect", n)
				}
			}
			for incarnation, want := range test.released {
				if got := v.Released(incarnation); got != want {
					t.Errorf("released %s = %v, want %v", incarnation, got, want)
				}
			}
		})
	}
}
