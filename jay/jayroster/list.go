package jayroster

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaystore"
)

// Replace sets the list of instances from the newest records of the store.
func (r *Roster) Replace(ctx context.Context, records []jaystore.Record, end jaystore.Position) {
	r.applyList(ctx, records, end, true)
}

// Apply applies changes of the list of instances.
func (r *Roster) Apply(ctx context.Context, records []jaystore.Record) {
	if len(records) > 0 {
		r.applyList(ctx, records, records[len(records)-1].Position+1, false)
	}
}

// Unavailable keeps the list as it is; instances go on exchanging heartbeats without the store.
func (*Roster) Unavailable(context.Context, error) {}

// Available does nothing, since the follower delivers the list itself.
func (*Roster) Available(context.Context) {}

func (r *Roster) applyList(ctx context.Context, records []jaystore.Record, end jaystore.Position, replace bool) {
	err := r.owner.Send(ctx, func(s *state) {
		if replace {
			clear(s.listed)
		}
		s.listEnd = end
		for _, record := range records {
			r.applyEntry(s, record)
		}
		list := make([]jaylist.Instance, 0, len(s.listed))
		for _, instance := range s.listed {
			list = append(list, instance)
		}
		s.view.List(list)
		r.entries.Store(int64(len(list)))
		r.checkEntry(s)
	})
	if err != nil {
		r.log.Warn("list of instances not applied", "error", err)
	}
}

func (r *Roster) applyEntry(s *state, record jaystore.Record) {
	if len(record.Value) == 0 {
		delete(s.listed, record.Key)
		return
	}
	var instance jaylist.Instance
	if err := msgpack.Unmarshal(record.Value, &instance); err != nil {
		r.log.Warn("list entry not decoded", "key", record.Key, "offset", record.Position, "error", err)
		return
	}
	s.listed[record.Key] = instance
	// The entry has another position once the store has come back from a copy.
	if instance.Incarnation == r.self.Incarnation && s.registeredAt >= 0 {
		s.registeredAt = max(s.registeredAt, record.Position)
	}
}
