package jayconfig

import (
	"jayfield.example/jay/jaylog"
)

// Replica follows the stream: it applies batches, jumps over expired records
// by checkpoints and snapshots, and never goes to a lower offset.
// The zero value is a replica that has read nothing.
type Replica struct {
	state *State
	// pending holds entries read while no state covers them.
	pending []jaylog.Entry
	// from is the offset to read next.
	from int64
	// checkpoint is the position of the newest checkpoint seen.
	checkpoint int64
}

// Begin tells a replica that has read nothing that the stream is empty and never held a record.
func (r *Replica) Begin() {
	if r.state == nil && r.from == 0 {
		r.state = NewState()
	}
}

// Checkpoint returns the position of the newest checkpoint seen.
func (r *Replica) Checkpoint() int64 {
	return r.checkpoint
}

// Expired tells the replica that the oldest record kept is at an offset. A
// replica whose next record is gone starts again there and keeps its state
// until a checkpoint or snapshot carries it forward.
func (r *Replica) Expired(oldest int64) {
	if oldest <= r.from {
		return
	}
	r.from = oldest
	r.pending = nil
}

// From returns the offset to read next.
func (r *Replica) From() int64 {
	return r.from
}

// Read takes in a batch that was read from From.
func (r *Replica) Read(entries []jaylog.Entry) error {
	for _, entry := range entries {
		if err := r.readOne(entry); err != nil {
			return err
		}
	}
	return nil
}

// Restore takes in a peer's snapshot if it is ahead, and reports whether it was.
func (r *Replica) Restore(snapshot Snapshot) (bool, error) {
	if r.state != nil && snapshot.Position <= r.state.next {
		return false, nil
	}
	state, err := snapshot.State()
	if err != nil {
		return false, err
	}
	r.state = state
	return true, r.settle()
}

// State returns the state, nil while none is known.
func (r *Replica) State() *State {
	return r.state
}

func (r *Replica) readOne(entry jaylog.Entry) error {
	if entry.Offset != r.from {
		return nil
	}
	if r.state == nil && entry.Offset == 0 {
		r.state = NewState()
	}
	r.pending = append(r.pending, entry)
	r.from = entry.Offset + 1
	if entry.Record.Kind == RecordCheckpoint {
		if err := r.adopt(entry); err != nil {
			return err
		}
	}
	return r.settle()
}

// adopt uses a checkpoint if every record after its position has been read.
func (r *Replica) adopt(entry jaylog.Entry) error {
	snapshot, err := DecodeSnapshot(entry.Record.Body)
	if err != nil || snapshot.Position > entry.Offset {
		return err
	}
	r.checkpoint = max(r.checkpoint, snapshot.Position)
	covered := snapshot.Position >= r.pending[0].Offset
	if !covered || r.state != nil && r.state.next >= snapshot.Position {
		return nil
	}
	state, err := snapshot.State()
	if err != nil {
		return err
	}
	r.state = state
	return nil
}

// settle applies pending entries that continue the state.
func (r *Replica) settle() error {
	if r.state == nil {
		return nil
	}
	if r.state.next > r.from {
		r.from = r.state.next
		r.pending = nil
		return nil
	}
	for len(r.pending) > 0 && r.pending[0].Offset <= r.state.next {
		entry := r.pending[0]
		if entry.Offset == r.state.next {
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
