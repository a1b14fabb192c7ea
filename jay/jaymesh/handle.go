package jaymesh

import (
	"context"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayonce"
	"jayfield.example/jay/jaypeer"
)

// HandlePeer handles a request of another instance.
func (m *Mesh) HandlePeer(ctx context.Context, topic jaypeer.Topic, body []byte) ([]byte, error) {
	switch topic {
	case jaypeer.TopicDigest:
		return m.handleDigest(ctx, body)
	case jaypeer.TopicSnapshot:
		return m.handleSnapshot(body)
	case jaypeer.TopicCall:
		return m.handleCall(ctx, body)
	case jaypeer.TopicSlow:
		return nil, m.handleSlow(body)
	case jaypeer.TopicOutcomes:
		return nil, m.handleOutcomes(body)
	default:
		return nil, newError("handle", KindMessage, "unknown topic "+string(topic))
	}
}

func (m *Mesh) handleCall(ctx context.Context, body []byte) ([]byte, error) {
	var call jayonce.Call
	if err := msgpack.Unmarshal(body, &call); err != nil {
		return nil, wrapError("call", err)
	}
	outcome := m.Home.Do(ctx, call)
	return msgpack.Marshal(&outcome)
}

func (m *Mesh) handleDigest(ctx context.Context, body []byte) ([]byte, error) {
	from, err := m.receive(ctx, body)
	if err != nil {
		return nil, err
	}
	own, err := m.ownRunning(ctx)
	if err != nil {
		return nil, err
	}
	var reply Digest
	err = m.owner.Call(ctx, func(s *state) {
		reply = s.digest(time.Now(), own, from.Zone == m.Self.Zone)
	})
	if err != nil {
		return nil, err
	}
	return msgpack.Marshal(&reply)
}

func (m *Mesh) handleOutcomes(body []byte) error {
	var outcomes []jayonce.KeyOutcome
	if err := msgpack.Unmarshal(body, &outcomes); err != nil {
		return wrapError("outcomes", err)
	}
	for _, keyOutcome := range outcomes {
		m.Home.AddOutcome(keyOutcome)
	}
	return nil
}

func (m *Mesh) handleSlow(body []byte) error {
	var notice slowNotice
	if err := msgpack.Unmarshal(body, &notice); err != nil {
		return wrapError("slow", err)
	}
	m.Loads.MarkSlow(notice.Upstream)
	return nil
}

func (m *Mesh) handleSnapshot(body []byte) ([]byte, error) {
	var request snapshotRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, wrapError("snapshot", err)
	}
	view := m.configs.View()
	if view == nil || view.State().Position() <= request.Above {
		return nil, newError("snapshot", KindBehind, "nothing newer here")
	}
	return view.State().Snapshot().Encode()
}
