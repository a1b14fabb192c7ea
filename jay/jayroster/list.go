package jayroster

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaystore"
)

// Replace takes in the list of instances from the store.
func (r *Roster) Replace(ctx context.Context, records []jaystore.Record, _ int64) {
	r.list(ctx, records, true)
}

// Apply takes in changes of the list.
func (r *Roster) Apply(ctx context.Context, records []jaystore.Record) {
	r.list(ctx, records, false)
}

// Lost keeps what is known; instances go on to tell each other.
func (*Roster) Lost(context.Context, error) {}

// Returned changes nothing, as the list itself follows.
func (*Roster) Returned(context.Context) {}

func (r *Roster) list(ctx context.Context, records []jaystore.Record, whole bool) {
	err := r.owner.Tell(ctx, func(s *state) {
		if whole {
			clear(s.listed)
		}
		for _, record := range records {
			r.listOne(s, record)
		}
		list := make([]jaylist.Instance, 0, len(s.listed))
		for _, instance := range s.listed {
			list = append(list, instance)
		}
		s.view.List(list)
	})
	if err != nil {
		r.log.Warn("list of instances not taken in", "error", err)
	}
}

func (r *Roster) listOne(s *state, record jaystore.Record) {
	if len(record.Value) == 0 {
		delete(s.listed, record.Key)
		return
	}
	var instance jaylist.Instance
	if err := msgpack.Unmarshal(record.Value, &instance); err != nil {
		r.log.Warn("entry of the list not read", "key", record.Key, "offset", record.Offset, "error", err)
		return
	}
	s.listed[record.Key] = instance
}
