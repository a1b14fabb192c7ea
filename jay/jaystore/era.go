package jaystore

import "sync"

// EraState classifies a response by its era.
type EraState string

// States of responses by their era.
const (
	// EraCurrent is the era of the store.
	EraCurrent EraState = "current"
	// EraLate is an era that has ended: the response was late.
	EraLate EraState = "late"
	// EraUnconfirmed is an era after the next one that one response only has stated.
	EraUnconfirmed EraState = "unconfirmed"
)

// Eras tracks the era of the store by its responses. A rise by more than one counts once a second response states the same era, so
// that one malformed response does not make all that follow seem late. The zero value is in era 0. It is safe for concurrent use.
type Eras struct {
	mu sync.Mutex
	// current is the era of the store, stated a later one that one response has stated, 0 if there is none.
	current, stated int64
}

// Current returns the era of the store.
func (e *Eras) Current() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// Observe processes the era of a response.
func (e *Eras) Observe(era int64) EraState {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case era < e.current:
		return EraLate
	case era > e.current+1 && era != e.stated:
		e.stated = era
		return EraUnconfirmed
	}
	e.current, e.stated = era, 0
	return EraCurrent
}
