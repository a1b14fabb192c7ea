package jayroster

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayexpiry"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaystore"
)

// maxRegisterBackoff bounds the backoff between two attempts to register the instance.
const maxRegisterBackoff = 2 * time.Second

// register writes the instance's entry to the store and retries until that succeeds.
func (r *Roster) register(ctx context.Context) {
	value, err := msgpack.Marshal(jaylist.Instance{
		Name: r.self.Name, Sort: jaylist.SortEntry, Incarnation: r.self.Incarnation, Address: r.self.Address,
		Peer: r.self.Peer, Region: r.self.Region, Zone: r.self.Zone, State: jaylist.StateLive,
	})
	if err != nil {
		r.log.Error("instance entry not encoded", "error", err)
		return
	}
	for backoff := Period; ctx.Err() == nil && !r.leaving.Load(); backoff = min(2*backoff, maxRegisterBackoff) {
		offset, err := r.writer.Put(ctx, jaystore.TopicMembers, r.self.Name, value)
		if err == nil {
			r.log.Info("instance registered", "instance", r.self.Name, "incarnation", r.self.Incarnation, "offset", offset)
			r.setRegistered(ctx, offset)
			return
		}
		r.log.Warn("instance not registered yet", "error", err, "next", backoff)
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
}

// setRegistered records the offset of the instance's entry.
func (r *Roster) setRegistered(ctx context.Context, offset jaystore.Position) {
	err := r.owner.Send(ctx, func(s *state) {
		s.registeredAt = offset
		r.checkEntry(s)
	})
	if err != nil {
		r.log.Debug("registration not recorded", "error", err)
	}
}

// checkEntry registers the instance again if the list no longer contains it: instances that could not
// reach it for some time have removed its entry, or the store has come back from a copy that lacks it. An entry of its name that
// is not its own is kept, since its writer registered later, unless the copy lacks the own one.
func (r *Roster) checkEntry(s *state) {
	entry, listed := s.listed[r.self.Name]
	lost := s.registeredAt.Era() < s.listEnd.Era() && entry.Incarnation != r.self.Incarnation
	if listed && !lost || s.registeredAt < 0 || s.registeredAt >= s.listEnd || r.leaving.Load() {
		return
	}
	r.log.Warn("entry of this instance was removed by another or lost by the store; registering again", "instance", r.self.Name,
		"incarnation", r.self.Incarnation, "listed", entry.Incarnation, "offset", s.registeredAt, "end", s.listEnd)
	s.registeredAt = notRegistered
	r.group.Go(r.register)
}

// Leave starts an exchange at once, so that contacts receive the leaving state, and removes the
// instance from the store's list.
func (r *Roster) Leave(ctx context.Context) {
	r.leaving.Store(true)
	if err := r.owner.Send(ctx, func(s *state) { r.exchangeAll(s, time.Now()) }); err != nil {
		r.log.Warn("leaving state not sent", "error", err)
	}
	if _, err := r.writer.Put(ctx, jaystore.TopicMembers, r.self.Name, nil); err != nil {
		r.log.Warn("instance not removed from the list", "error", err)
	}
}

// removeExpired removes the entry of an instance that is gone, if this instance is to do so now. The
// store refuses that if the list has changed since this instance read it: the entry may be a new one.
func (r *Roster) removeExpired(s *state, now time.Time, members []jaymember.Status) {
	entry, due := s.expiry.Observe(now, s.observation(members))
	if !due || s.listEnd == s.refusedEnd {
		return
	}
	end := s.listEnd
	r.group.Go(func(ctx context.Context) {
		err := r.writer.PutAt(ctx, jaystore.TopicMembers, entry.Name, nil, end)
		if sendErr := r.owner.Send(ctx, func(s *state) { r.finishRemoval(s, entry, end, err) }); sendErr != nil {
			r.log.Debug("removal of an entry not recorded", "error", sendErr)
		}
	})
}

// finishRemoval records the result of a removal.
func (r *Roster) finishRemoval(s *state, entry jayexpiry.Instance, end jaystore.Position, err error) {
	attributes := []any{"instance", entry.Name, "incarnation", entry.Incarnation, "zone", entry.Zone, "end", end}
	switch {
	case err == nil:
		s.expiry.Removed(time.Now(), entry)
		r.log.Info("entry of an absent instance removed from the list", attributes...)
	case jayerror.Is(err, jaystore.KindConflict):
		s.refusedEnd = end
		r.log.Info("entry of an absent instance kept, since the list has changed", attributes...)
	default:
		s.expiry.Failed(time.Now())
		r.log.Warn("entry of an absent instance not removed", append(attributes, "error", err)...)
	}
}

// observation returns what this instance observes of the others.
func (s *state) observation(members []jaymember.Status) jayexpiry.Observation {
	self := s.view.Self()
	o := jayexpiry.Observation{Self: jayexpiry.Instance{Name: self.Name, Incarnation: self.Incarnation, Zone: self.Zone, Leaving: self.Leaving}}
	for _, m := range members {
		if !m.Silent {
			o.Live = append(o.Live, jayexpiry.Instance{Name: m.Name, Incarnation: m.Incarnation, Zone: m.Zone, Leaving: m.Leaving})
		}
	}
	for name, entry := range s.listed {
		o.Entries = append(o.Entries, jayexpiry.Instance{Name: name, Incarnation: entry.Incarnation, Zone: entry.Zone})
	}
	return o
}
