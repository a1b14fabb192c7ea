package jayentry_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jaymember"
)

// Guards against callers who are sent to an instance that accepts no more connections, since all instances of
// a site are leaving: one that still serves is returned, and none if there is none.
func TestNearWhileAllAreLeaving(t *testing.T) {
	member := func(name string, leaving bool, config int64) jaymember.Status {
		return jaymember.Status{Member: jaymember.Member{Name: name, Address: name, Region: "r", Zone: "z", Leaving: leaving, Config: config}}
	}
	tests := map[string]struct {
		members []jaymember.Status
		want    []string
	}{
		"one still serves":   {[]jaymember.Status{member("serves", true, 1), member("closed", true, -1)}, []string{"serves"}},
		"none serves":        {[]jaymember.Status{member("closed", true, -1)}, nil},
		"one is not leaving": {[]jaymember.Status{member("stays", false, 1), member("serves", true, 1), member("closed", true, -1)}, []string{"stays"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got := make([]string, 0, len(test.members))
			for _, m := range jayentry.Near("r", "z", test.members, rand.New(rand.NewPCG(1, 1))) {
				got = append(got, m.Name)
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("near = %q, want %q", got, test.want)
			}
		})
	}
}
