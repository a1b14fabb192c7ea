package jaystore_test

import (
	"jayfield.example/jay/jaystore"
	"slices"
	"testing"
)

// Guards against one response with an era that is too high, after which all others count as late.
func TestEras(t *testing.T) {
	const current, late, unconfirmed = jaystore.EraCurrent, jaystore.EraLate, jaystore.EraUnconfirmed
	tests := map[string]struct {
		eras []int64
		want []jaystore.EraState
	}{
		"first era":                    {[]int64{0, 0}, []jaystore.EraState{current, current}},
		"instance starts in a later":   {[]int64{7, 7, 7}, []jaystore.EraState{unconfirmed, current, current}},
		"the store comes back":         {[]int64{0, 1, 0, 1}, []jaystore.EraState{current, current, late, current}},
		"it comes back twice at once":  {[]int64{0, 2, 2, 1}, []jaystore.EraState{current, unconfirmed, current, late}},
		"one malformed response":       {[]int64{1, 4711, 1, 2}, []jaystore.EraState{current, unconfirmed, current, current}},
		"two different malformed ones": {[]int64{0, 4711, 4712, 0}, []jaystore.EraState{current, unconfirmed, unconfirmed, current}},
		"malformed ones far apart":     {[]int64{0, 4711, 0, 4711, 0}, []jaystore.EraState{current, unconfirmed, current, unconfirmed, current}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var eras jaystore.Eras
			got := make([]jaystore.EraState, 0, len(test.eras))
			for _, era := range test.eras {
				got = append(got, eras.Observe(era))
			}
			if !slices.Equal(got, test.want) {
				t.Errorf("states = %v, want %v", got, test.want)
			}
		})
	}
}
