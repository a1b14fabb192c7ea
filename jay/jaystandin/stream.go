package jaystandin

import (
	"strconv"
	"sync"

	"jayfield.example/jay/jaylog"
)

// stream is one stream of the stand-in log.
type stream struct {
	mu      sync.Mutex
	oldest  int64
	entries []jaylog.Entry
	// grown is closed and replaced when a record is appended.
	grown chan struct{}
}

func newStream() *stream {
	return &stream{grown: make(chan struct{})}
}

func (s *stream) append(record jaylog.Record, at string) (int64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	offset := s.oldest + int64(len(s.entries))
	if at != "" && at != strconv.FormatInt(offset, 10) {
		return 0, false
	}
	s.entries = append(s.entries, jaylog.Entry{Offset: offset, Record: record})
	close(s.grown)
	s.grown = make(chan struct{})
	return offset, true
}

// expire drops all records before an offset.
func (s *stream) expire(before int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	drop := min(max(0, before-s.oldest), int64(len(s.entries)))
	s.entries = s.entries[drop:]
	s.oldest += drop
}

// read returns the records from an offset on and a channel that tells of more.
func (s *stream) read(from int64, limit int) (jaylog.Batch, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	batch := jaylog.Batch{Oldest: s.oldest, End: s.oldest + int64(len(s.entries))}
	if from >= s.oldest && from < batch.End {
		first := from - s.oldest
		last := min(first+int64(limit), int64(len(s.entries)))
		batch.Entries = append(batch.Entries, s.entries[first:last]...)
	}
	return batch, s.grown
}
