package jaystore_test

import (
	"fmt"
	"testing"

	"jayfield.example/jay/jaystore"
	"pgregory.net/rapid"
)

func ExamplePosition() {
	before, after := jaystore.NewPosition(1, 40), jaystore.NewPosition(2, 7)
	fmt.Println(before, after, after > before, after+1, after.Before(9))
	// Output: 1/40 2/7 true 2/8 2/0
}

// Guards against positions of two eras that are compared by their offsets.
func TestPositionsAreOrderedByEra(t *testing.T) {
	era, offset := rapid.Int64Range(0, jaystore.MaxEra), rapid.Int64Range(0, jaystore.MaxOffset)
	rapid.Check(t, func(t *rapid.T) {
		eraA, eraB, offsetA, offsetB := era.Draw(t, "era"), era.Draw(t, "other era"), offset.Draw(t, "offset"), offset.Draw(t, "other offset")
		a, b := jaystore.NewPosition(eraA, offsetA), jaystore.NewPosition(eraB, offsetB)
		if a.Era() != eraA || a.Offset() != offsetA {
			t.Errorf("position = %d/%d, want %d/%d", a.Era(), a.Offset(), eraA, offsetA)
		}
		if want := eraA < eraB || eraA == eraB && offsetA < offsetB; a < b != want {
			t.Errorf("%s before %s = %v", a, b, a < b)
		}
	})
}
