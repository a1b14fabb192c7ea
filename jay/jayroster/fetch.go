package jayroster

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystore"
)

const (
	// fetchBound is how long a request for records may go without any byte of a reply, and
	// polledFetchBound how long for a topic that is polled, whose records are few.
	fetchBound       = 500 * time.Millisecond
	polledFetchBound = 300 * time.Millisecond
)

// fetchResult is the result of a request for another instance's records.
type fetchResult string

const (
	resultFetched fetchResult = "fetched"
	// resultBusy means that the other instance has too many transfers in progress.
	resultBusy fetchResult = "busy"
	// resultExpired means that the other instance may not know all removals since the offset.
	resultExpired fetchResult = "expired"
	// resultFailed means that the request failed or that the instance has read less than asked for.
	resultFailed fetchResult = "failed"
)

// fetched is what another instance supplied.
type fetched struct {
	records []jaystore.Record
	next    jaystore.Position
	// at is when the store last answered the other instance, at the latest.
	at     time.Time
	result fetchResult
	// holders are the addresses of instances that have the records, with resultBusy.
	holders []string
}

// errExpired returns the error that makes a follower read the records of all keys.
func errExpired(from jaystore.Position) error {
	return jayerror.Newf("fetch", jaystore.KindExpired, "removals since offset %s are not known to the other instance", from)
}

// fetch requests records from the instance at an address.
func (t *TopicReader) fetch(ctx context.Context, address string, from jaystore.Position, bound time.Duration) fetched {
	start := time.Now()
	request := mirrorRequest{Topic: t.topic, From: from, Receiver: t.roster.self.Incarnation, Peer: t.roster.self.Peer}
	reply, err := t.ask(ctx, address, request, bound)
	if err == nil && reply.Busy {
		return fetched{result: resultBusy, holders: reply.Holders}
	}
	if err == nil && reply.Expired {
		return fetched{result: resultExpired}
	}
	if err == nil && reply.Compressed != nil {
		reply.Records, err = t.roster.codec.decompress(reply.Compressed)
		t.confirm(address, reply.Next)
	}
	if err != nil || reply.Next < from {
		t.roster.log.Info("watcher or other instance did not supply records", "topic", t.topic, "address", address, "next", reply.Next,
			"took", time.Since(start), "error", err)
		return fetched{result: resultFailed}
	}
	return fetched{records: reply.Records, next: reply.Next, at: start.Add(-reply.Age), result: resultFetched}
}

// ask sends a request to the instance at an address, over a connection that is used only for
// the topic: a large reply delays no heartbeats and no records of other topics.
func (t *TopicReader) ask(ctx context.Context, address string, request mirrorRequest, bound time.Duration) (mirrorReply, error) {
	var reply mirrorReply
	request.Version = mirrorVersion
	body, err := msgpack.Marshal(request)
	if err != nil {
		return reply, jayerror.Wrap("fetch", KindFormat, err)
	}
	body, err = t.roster.ask(ctx, connection{address: address, topic: t.topic}, jaypeer.TopicMirror, body, bound)
	if err != nil {
		return reply, err //nolint:wrapcheck // The log line names the operation.
	}
	defer t.roster.traffic.measure(jaypeer.TopicMirror)()
	if err := msgpack.Unmarshal(body, &reply); err != nil {
		return reply, jayerror.Wrap("fetch", KindFormat, err)
	}
	if reply.Version != mirrorVersion {
		return reply, jayerror.Newf("fetch", KindFormat, "reply of version %d, not %d", reply.Version, mirrorVersion)
	}
	return reply, nil
}

// confirm reports to the instance at an address that its transfer has ended.
func (t *TopicReader) confirm(address string, next jaystore.Position) {
	t.roster.group.Go(func(ctx context.Context) {
		request := mirrorRequest{Topic: t.topic, From: next, Receiver: t.roster.self.Incarnation, Peer: t.roster.self.Peer, Received: true}
		if _, err := t.ask(ctx, address, request, jaypeer.SilentBound); err != nil {
			t.roster.log.Debug("transfer not confirmed", "topic", t.topic, "address", address, "error", err)
		}
	})
}

// fetchFallback requests records from another instance while the store does not answer
// this one: the store may reject single instances.
func (t *TopicReader) fetchFallback(ctx context.Context, from jaystore.Position) (fetched, bool) {
	fallback, ok := t.roster.fallback()
	if !ok || ctx.Err() != nil {
		return fetched{}, false
	}
	f := t.fetch(ctx, fallback.Peer, from, fetchBound)
	if f.result != resultFetched {
		return f, false
	}
	if f.next > from {
		t.roster.log.Info("records fetched from another instance", "topic", t.topic, "instance", fallback.Name, "from", from, "next", f.next, "records", len(f.records))
	}
	return f, true
}

// supplier returns the address of an instance of the zone that has read the topic as far as a
// position: a random one of those that report so and of those that a busy supplier named.
func (t *TopicReader) supplier(p topicPosition, from jaystore.Position) string {
	addresses := append([]string{p.peer}, t.roster.positions.holders(t.topic, p.next)...)
	if t.holdersFrom == from {
		addresses = append(addresses, t.holders...)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return addresses[rand.IntN(len(addresses))] //nolint:gosec // Load spreading needs no cryptographic randomness.
}

// fallback returns an instance that is likely to have read the store recently: a random
// one of those with the newest configuration, in the same region if there is one.
func (r *Roster) fallback() (jaymember.Status, bool) {
	var candidates []jaymember.Status
	newest, local := int64(-1), false
	for _, m := range *r.others.Load() {
		if m.Silent || m.Leaving || m.Peer == "" || m.Config < newest {
			continue
		}
		inRegion := m.Region == r.self.Region
		if m.Config > newest || inRegion && !local {
			candidates, newest, local = nil, m.Config, inRegion
		}
		if inRegion == local {
			candidates = append(candidates, m)
		}
	}
	if len(candidates) == 0 {
		return jaymember.Status{}, false
	}
	return candidates[rand.IntN(len(candidates))], true //nolint:gosec // Load spreading needs no cryptographic randomness.
}
