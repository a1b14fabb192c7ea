package jayroster

import (
	"context"
	"sync/atomic"
	"time"

	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
)

// traffic counts the messages between instances by kind. It is safe for concurrent use.
type traffic struct {
	heartbeat, mirror, collect, streams, other topicTraffic
}

// topicTraffic counts the messages of one kind.
type topicTraffic struct {
	sent, received, sentBytes, receivedBytes atomic.Int64
	// regionBytes are the bytes of the own requests to instances of other regions and of their replies.
	regionBytes atomic.Int64
	nanoseconds atomic.Int64
}

// newTraffic returns counters that a series shows.
func newTraffic(series Series) *traffic {
	t := &traffic{}
	for kind, counts := range map[string]*topicTraffic{"heartbeat": &t.heartbeat, "mirror": &t.mirror, "collect": &t.collect, "streams": &t.streams, "other": &t.other} {
		byKind := jaymetric.Label{Name: "kind", Value: kind}
		sent, received := jaymetric.Label{Name: "direction", Value: "sent"}, jaymetric.Label{Name: "direction", Value: "received"}
		show := func(name string, value *atomic.Int64, labels ...jaymetric.Label) {
			series.Gauge(name, func() float64 { return float64(value.Load()) }, labels...)
		}
		show("peer_messages_total", &counts.sent, byKind, sent)
		show("peer_messages_total", &counts.received, byKind, received)
		show("peer_bytes_total", &counts.sentBytes, byKind, sent)
		show("peer_bytes_total", &counts.receivedBytes, byKind, received)
		show("peer_region_bytes_total", &counts.regionBytes, byKind)
		series.Gauge("peer_seconds_total", func() float64 { return time.Duration(counts.nanoseconds.Load()).Seconds() }, byKind)
	}
	return t
}

// of returns the counters of a topic.
func (t *traffic) of(topic jaypeer.Topic) *topicTraffic {
	switch topic {
	case jaypeer.TopicRoster:
		return &t.heartbeat
	case jaypeer.TopicMirror:
		return &t.mirror
	case jaypeer.TopicCollect:
		return &t.collect
	case jaypeer.TopicStreams:
		return &t.streams
	default:
		// Topics come from other instances, so that their number is not bounded.
		return &t.other
	}
}

// Sent counts a frame that was sent.
func (t *traffic) Sent(topic jaypeer.Topic, bytes int) {
	counts := t.of(topic)
	counts.sent.Add(1)
	counts.sentBytes.Add(int64(bytes))
}

// Received counts a frame that was received.
func (t *traffic) Received(topic jaypeer.Topic, bytes int) {
	counts := t.of(topic)
	counts.received.Add(1)
	counts.receivedBytes.Add(int64(bytes))
}

// Spent adds the time of processing a message.
func (t *traffic) Spent(topic jaypeer.Topic, took time.Duration) {
	t.of(topic).nanoseconds.Add(int64(took))
}

// measure returns a function that adds the time since the call of measure.
func (t *traffic) measure(topic jaypeer.Topic) func() {
	start := time.Now()
	return func() { t.Spent(topic, time.Since(start)) }
}

// ask sends a request over a connection and returns its reply.
func (r *Roster) ask(ctx context.Context, to connection, topic jaypeer.Topic, body []byte, bound time.Duration) ([]byte, error) {
	reply, err := r.client(to.address, to.topic).Ask(ctx, topic, body, bound)
	if r.inOtherRegion(to.address) {
		r.traffic.of(topic).regionBytes.Add(int64(len(body) + len(reply)))
	}
	return reply, err //nolint:wrapcheck // The callers' log lines name the operation.
}

// inOtherRegion reports whether the instance at an address is known to be in another region.
func (r *Roster) inOtherRegion(address string) bool {
	for _, m := range *r.others.Load() {
		if m.Peer == address {
			return m.Region != r.self.Region
		}
	}
	return false
}
