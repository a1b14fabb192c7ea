package jaylimit

import "sync/atomic"

// Memory limits what is buffered of all messages together, in bytes. It answers the load of many
// senders whose messages are each within the limit of one message. It is safe for concurrent use.
type Memory struct {
	limit int64
	used  atomic.Int64
}

// NewMemory returns a limit of which nothing is used.
func NewMemory(limit int64) *Memory {
	return &Memory{limit: limit}
}

// Used returns the bytes that are used.
func (m *Memory) Used() int64 {
	return m.used.Load()
}

// Limit returns the bytes that may be used.
func (m *Memory) Limit() int64 {
	return m.limit
}

// Share returns the share of one message. The first free bytes of the message are not counted, so that
// small messages pass while large ones use up the limit.
func (m *Memory) Share(free int64) *Share {
	return &Share{memory: m, free: free}
}

// Holder is the memory that the messages of one request use together. It is safe for concurrent use.
type Holder struct {
	taken atomic.Int64
}

// Taken returns the bytes that are used, without those that are not counted.
func (h *Holder) Taken() int64 {
	return h.taken.Load()
}

// ShareOf returns the share of one message of a holder.
func (m *Memory) ShareOf(holder *Holder, free int64) *Share {
	return &Share{memory: m, holder: holder, free: free}
}

// Share is the memory that one message uses. It is not safe for concurrent use.
type Share struct {
	memory *Memory
	// holder is nil if the message belongs to none.
	holder *Holder
	// free is what is left of the bytes that are not counted, taken are those that are.
	free, taken int64
}

// Grow adds bytes to the message. It reports false, and adds nothing, if the limit is reached.
func (s *Share) Grow(n int64) bool {
	return s.growTo(n, s.memory.limit)
}

// GrowOptional is Grow for bytes that are not needed yet. They take at most half of the limit, so that
// bytes that are needed find room.
func (s *Share) GrowOptional(n int64) bool {
	return s.growTo(n, s.memory.limit/2)
}

// growTo adds bytes to the message up to a limit of all messages.
func (s *Share) growTo(n, limit int64) bool {
	counted := max(0, n-s.free)
	if counted > 0 && s.memory.used.Add(counted) > limit {
		s.memory.used.Add(-counted)
		return false
	}
	s.free = max(0, s.free-n)
	s.taken += counted
	if s.holder != nil && counted > 0 {
		s.holder.taken.Add(counted)
	}
	return true
}

// Release returns the memory once the message is no longer buffered.
func (s *Share) Release() {
	s.memory.used.Add(-s.taken)
	if s.holder != nil {
		s.holder.taken.Add(-s.taken)
	}
	s.taken = 0
}
