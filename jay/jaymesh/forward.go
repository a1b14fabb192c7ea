package jaymesh

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayonce"
	"jayfield.example/jay/jaypeer"
)

// forwardMargin is added to the time left, so that the home answers first.
const forwardMargin = 200 * time.Millisecond

// Forward sends a call to the instance of an incarnation, once. After an error
// the call may be sent again: the home joins both by their key.
func (m *Mesh) Forward(incarnation string, call jayonce.Call) (jayonce.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), call.Left+forwardMargin)
	defer cancel()
	var found *client
	_ = m.owner.Ask(ctx, func(s *state) {
		for _, member := range s.view.Members() {
			if member.Incarnation == incarnation {
				found = m.client(s, member.Peer)
			}
		}
	})
	if found == nil {
		return jayonce.Outcome{}, newError("forward", KindUnknown, incarnation)
	}
	body, err := msgpack.Marshal(&call)
	if err != nil {
		return jayonce.Outcome{}, wrapError("forward", err)
	}
	reply, err := found.Ask(ctx, jaypeer.TopicCall, body, call.Left+forwardMargin)
	if err != nil {
		return jayonce.Outcome{}, err
	}
	var outcome jayonce.Outcome
	if err := msgpack.Unmarshal(reply, &outcome); err != nil {
		return jayonce.Outcome{}, wrapError("forward", err)
	}
	return outcome, nil
}
