package jayfleet_test

import (
	"testing"
	"time"

	"jayfield.example/jay/jayfleet"
	"jayfield.example/jay/jaystore"
)

// eraRecord is a record of an entry: a removal if it has no sequence number.
type eraRecord struct {
	era, offset, born, sequence int64
	leaving                     bool
}

// Guards against records that come again from a copy of the store and are taken for newer ones, and against removals and reports of
// leaving that the store has lost and instances forget.
func TestHistoryAcrossEras(t *testing.T) {
	tests := map[string]struct {
		records    []eraRecord
		registered bool
		leaving    bool
		born       int64
	}{
		"removal before the start comes again": {
			[]eraRecord{{0, 3, 0, 0, false}, {0, 4, 1, 1, false}, {0, 9, 1, 4, false}, {1, 3, 0, 0, false}, {1, 4, 1, 1, false}}, true, false, 1,
		},
		"registers again as before": {
			[]eraRecord{{0, 9, 1, 1, false}, {1, 7, 0, 0, false}, {1, 8, 1, 1, false}}, true, false, 1,
		},
		"registers again at the begin of the topic": {
			[]eraRecord{{0, 9, 1, 1, false}, {1, -1, 0, 0, false}, {1, 0, 1, 1, false}}, true, false, 1,
		},
		"removal is lost": {
			[]eraRecord{{0, 9, 1, 5, false}, {0, 11, 0, 0, false}, {1, 9, 1, 5, false}}, false, false, 1,
		},
		"removal is lost, then it registers": {
			[]eraRecord{{0, 9, 1, 5, false}, {0, 11, 0, 0, false}, {1, 9, 1, 5, false}, {1, 12, 1, 6, false}}, true, false, 1,
		},
		"removal is lost, then it starts again": {
			[]eraRecord{{0, 9, 1, 5, false}, {0, 11, 0, 0, false}, {1, 9, 1, 5, false}, {1, 12, 2, 1, false}}, true, false, 2,
		},
		"removal in the second of three eras is lost": {
			[]eraRecord{{0, 9, 1, 5, false}, {1, 9, 1, 5, false}, {1, 11, 0, 0, false}, {2, 9, 1, 5, false}}, false, false, 1,
		},
		"report of leaving is lost": {
			[]eraRecord{{0, 9, 1, 5, false}, {0, 10, 1, 6, true}, {1, 9, 1, 5, false}}, true, true, 1,
		},
		"report of leaving is lost, then it is removed": {
			[]eraRecord{{0, 9, 1, 5, false}, {0, 10, 1, 6, true}, {1, 9, 1, 5, false}, {1, 11, 0, 0, false}}, false, true, 1,
		},
		"start is lost": {
			[]eraRecord{{0, 9, 1, 5, false}, {0, 10, 2, 1, false}, {1, 9, 1, 5, false}}, true, false, 2,
		},
		"start is lost, then it registers": {
			[]eraRecord{{0, 9, 1, 5, false}, {0, 10, 2, 1, false}, {1, 9, 1, 5, false}, {1, 10, 2, 2, false}}, true, false, 2,
		},
		"report of leaving is lost, then the start": {
			[]eraRecord{{0, 7, 1, 1, false}, {0, 9, 2, 1, false}, {0, 10, 2, 2, true}, {1, 7, 1, 1, false}, {2, 7, 1, 1, false}}, true, true, 2,
		},
		"start whose clock was set back leaves": {
			[]eraRecord{{0, 9, 2, 1, false}, {1, 9, 2, 1, false}, {1, 10, 1, 1, false}, {1, 11, 1, 2, true}}, true, true, 2,
		},
		"records of the former era come late": {
			[]eraRecord{{1, 9, 1, 5, false}, {0, 9, 1, 5, false}, {0, 11, 0, 0, false}}, false, false, 1,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			h, now := jayfleet.History{}, time.Unix(1000, 0)
			for _, r := range test.records {
				position := jaystore.NewPosition(r.era, 0) + jaystore.Position(r.offset)
				if r.sequence == 0 {
					h = h.WithRemoval(position)
					continue
				}
				h, _ = h.With(now, position, jayfleet.Upstream{ID: "e", Born: r.born, Sequence: r.sequence, Leaving: r.leaving})
			}
			u, registered := h.Registered()
			if registered != test.registered || u.Leaving != test.leaving || u.Born != test.born {
				t.Errorf("registered = %v, leaving = %v, born = %d, want %v, %v, %d", registered, u.Leaving, u.Born, test.registered, test.leaving, test.born)
			}
		})
	}
}
