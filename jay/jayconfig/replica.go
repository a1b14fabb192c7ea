package jayconfig

import (
	"jayfield.example/jay/jaylog"
)

// Replica is a copy of the state that is built from the stream. It applies batches, skips expired
// records with the help of checkpoints and snapshots, and never returns to a lower offset.
// The zero value is a replica that has read no records.
type Replica struct {
	state *State
	// pending holds entries that are read but not applied: there is no state yet, the records between
	// the state and them are missing, or one of them has a newer format.
	pending []jaylog.Entry
	// readOffset is the offset to read next.
	readOffset int64
	// checkpoint is the position of the newest checkpoint read.
	checkpoint int64
}

// InitEmpty gives a replica that has read no records the empty state. It is called when the stream is
// empty and has never held a record.
func (r *Replica) InitEmpty() {
	if r.state == nil && r.readOffset == 0 {
		r.state = NewState()
	}
}

// Checkpoint returns the position of the newest checkpoint read.
func (r *Replica) Checkpoint() int64 {
	return r.checkpoint
}

// SkipTo moves the read offset to the oldest record that the log still has, if the next
// record to read has expired. The replica keeps its state until a checkpoint or snapshot
// covers the gap.
func (r *Replica) SkipTo(oldest int64) {
	if oldest <= r.readOffset {
		return
	}
	r.readOffset = oldest
	r.pending = nil
}

// ReadOffset returns the offset to read next.
func (r *Replica) ReadOffset() int64 {
	return r.readOffset
}

// Consume processes a batch of entries that starts at ReadOffset.
func (r *Replica) Consume(entries []jaylog.Entry) error {
	for _, entry := range entries {
		if err := r.consumeOne(entry); err != nil {
			return err
		}
	}
	return nil
}

// Restore replaces the state with a peer's snapshot if that is newer, and reports whether it did.
func (r *Replica) Restore(snapshot Snapshot) (bool, error) {
	if r.state != nil && snapshot.Position <= r.state.position {
		return false, nil
	}
	state, err := snapshot.State()
	if err != nil {
		return false, err
	}
	r.state = state
	return true, r.applyPending()
}

// State returns the state, or nil if there is none yet.
func (r *Replica) State() *State {
	return r.state
}

func (r *Replica) consumeOne(entry jaylog.Entry) error {
	if entry.Offset != r.readOffset {
		return nil
	}
	if r.state == nil && entry.Offset == 0 {
		r.state = NewState()
	}
	r.pending = append(r.pending, entry)
	r.readOffset = entry.Offset + 1
	if entry.Record.Kind == RecordCheckpoint {
		if err := r.applyCheckpoint(entry); err != nil {
			return err
		}
	}
	return r.applyPending()
}

// applyCheckpoint restores the state from a checkpoint if that is newer and every record after the
// checkpoint's position has been read.
func (r *Replica) applyCheckpoint(entry jaylog.Entry) error {
	snapshot, err := DecodeSnapshot(entry.Record.Body)
	if err != nil || snapshot.Position > entry.Offset {
		return err
	}
	r.checkpoint = max(r.checkpoint, snapshot.Position)
	contiguous := snapshot.Position >= r.pending[0].Offset
	if !contiguous || r.state != nil && r.state.position >= snapshot.Position {
		return nil
	}
	state, err := snapshot.State()
	if err != nil {
		return err
	}
	r.state = state
	return nil
}

// applyPending applies the pending entries that directly follow the state, and discards those that it includes.
func (r *Replica) applyPending() error {
	if r.state == nil {
		return nil
	}
	if r.state.position > r.readOffset {
		r.readOffset = r.state.position
		r.pending = nil
		return nil
	}
	for len(r.pending) > 0 && r.pending[0].Offset <= r.state.position {
		entry := r.pending[0]
		if entry.Offset == r.state.position {
			state, err := r.state.Apply(entry)
			if err != nil {
				return err
			}
			r.state = state
		}
		r.pending = r.pending[1:]
	}
	return nil
}
