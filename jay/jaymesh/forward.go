package jaymesh

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayonce"
	"jayfield.example/jay/jaypeer"
)

const (
	// forwardRetry is the pause before a call is forwarded again.
	forwardRetry = 50 * time.Millisecond
	// forwardMargin is added to the time left, so that the home answers first.
	forwardMargin = 200 * time.Millisecond
)

// Forward sends a call to the instance of an incarnation. A connection that ends before the
// reply is followed by another try, since the home joins both by their key.
func (m *Mesh) Forward(incarnation string, call jayonce.Call) (jayonce.Outcome, error) {
	deadline := time.Now().Add(call.Left)
	for {
		outcome, err := m.forwardOnce(incarnation, call, time.Until(deadline))
		if err == nil || time.Until(deadline) <= forwardRetry {
			return outcome, err
		}
		time.Sleep(forwardRetry)
		call.Left = time.Until(deadline)
	}
}

func (m *Mesh) forwardOnce(incarnation string, call jayonce.Call, left time.Duration) (jayonce.Outcome, error) {
	ctx, cancel := context.WithTimeout(context.Background(), left+forwardMargin)
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
	reply, err := found.Ask(ctx, jaypeer.TopicCall, body, left+forwardMargin)
	if err != nil {
		return jayonce.Outcome{}, err
	}
	var outcome jayonce.Outcome
	if err := msgpack.Unmarshal(reply, &outcome); err != nil {
		return jayonce.Outcome{}, wrapError("forward", err)
	}
	return outcome, nil
}
