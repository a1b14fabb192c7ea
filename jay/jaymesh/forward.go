package jaymesh

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayonce"
	"jayfield.example/jay/jaypeer"
)

// forwardMargin is added to the time left of a call, so that the home instance replies before
// the request to it times out.
const forwardMargin = 200 * time.Millisecond

// Known reports whether the instance with an incarnation is a member or listed.
func (m *Mesh) Known(incarnation string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), queryTimeout)
	defer cancel()
	known := false
	err := m.owner.Call(ctx, func(s *state) {
		for _, seed := range s.view.Seeds() {
			known = known || seed.Incarnation == incarnation
		}
		for _, member := range s.view.Members() {
			known = known || member.Incarnation == incarnation
		}
	})
	// Without an answer the instance may exist.
	return known || err != nil
}

// Forward sends a call once to the instance with an incarnation, the home of its key.
// After an error the call may be sent again: the home deduplicates calls by key.
func (m *Mesh) Forward(incarnation string, call jayonce.Call) (jayonce.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.TimeLeft+forwardMargin)
	defer cancel()
	var home *client
	_ = m.owner.Call(ctx, func(s *state) {
		for _, member := range s.view.Members() {
			if member.Incarnation == incarnation {
				home = m.client(s, member.Peer)
			}
		}
	})
	if home == nil {
		return jayonce.Outcome{}, newError("forward", KindUnknown, incarnation)
	}
	body, err := msgpack.Marshal(&call)
	if err != nil {
		return jayonce.Outcome{}, wrapError("forward", err)
	}
	reply, err := home.Ask(ctx, jaypeer.TopicCall, body, call.TimeLeft+forwardMargin)
	if err != nil {
		return jayonce.Outcome{}, err
	}
	var outcome jayonce.Outcome
	if err := msgpack.Unmarshal(reply, &outcome); err != nil {
		return jayonce.Outcome{}, wrapError("forward", err)
	}
	return outcome, nil
}
