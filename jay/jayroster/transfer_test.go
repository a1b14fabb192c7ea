package jayroster

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaystore"
)

// Guards against more transfers at a time than an instance may send, and against transfers that block others for good.
func TestTransfersAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter, now := newTransfers(), time.Unix(0, 0)
		started := make(map[transfer]time.Time)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			x := transfer{receiver: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "receiver"), topic: jaystore.TopicPolicy}
			if rapid.Bool().Draw(t, "end") {
				limiter.end(x, holder{})
				delete(started, x)
				continue
			}
			running := 0
			for other, at := range started {
				if other != x && now.Sub(at) < transferTimeout {
					running++
				}
			}
			ok := limiter.begin(now, x)
			again, was := started[x]
			if want := running < maxTransfers || was && now.Sub(again) < transferTimeout; ok != want {
				t.Fatalf("begin = %v with %d transfers running", ok, running)
			}
			if ok {
				started[x] = now
			}
		}
	})
}

// Guards against instances of an earlier release that get a reply which they cannot read.
func TestMirrorServerAnswersEarlierReleases(t *testing.T) {
	m := new(mirrors)
	mirror := jaystore.NewMirror(discardConsumer{})
	mirror.Apply(t.Context(), []jaystore.Record{{Key: "k", Value: make([]byte, 4*largeReplyBytes)}})
	mirror.MarkRead(time.Now(), 1)
	m.Store(jaystore.TopicPolicy, mirror)
	s := newMirrorServer(m, newCodec(), discardSeries{})
	for range maxTransfers + 1 {
		data, err := s.serve(encodeRequest(t, mirrorRequest{Topic: jaystore.TopicPolicy}))
		if err != nil {
			t.Fatal(err)
		}
		if reply := decodeReply(t, data); len(reply.Records) != 1 || reply.Compressed != nil || reply.Next != 1 {
			t.Fatalf("reply = %d records, %d compressed bytes, next %d", len(reply.Records), len(reply.Compressed), reply.Next)
		}
	}
}

// Guards against an instance of an earlier release that takes an offset with an era for a plain one.
func TestMirrorServerSendsPlainOffsetsToEarlierReleases(t *testing.T) {
	type record struct {
		Key    string
		Offset int64
	}
	tests := map[string]struct {
		from, next int64
		want       []record
	}{
		"all":       {-1, 9, []record{{"a", 0}, {"b", 7}}},
		"the later": {7, 9, []record{{"b", 7}}},
		"none":      {9, 9, nil},
	}
	m, mirror := new(mirrors), jaystore.NewMirror(discardConsumer{})
	mirror.Apply(t.Context(), []jaystore.Record{
		{Key: "a", Value: []byte("a"), Position: jaystore.NewPosition(2, 40)}, {Key: "b", Value: []byte("b"), Position: jaystore.NewPosition(3, 7)},
	})
	mirror.MarkRead(time.Now(), jaystore.NewPosition(3, 9))
	m.Store(jaystore.TopicUpstreams, mirror)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			request, err := msgpack.Marshal(map[string]any{"t": jaystore.TopicUpstreams, "f": test.from})
			if err != nil {
				t.Fatal(err)
			}
			data, err := newMirrorServer(m, newCodec(), discardSeries{}).serve(request)
			if err != nil {
				t.Fatal(err)
			}
			var reply struct {
				Records []record `msgpack:"r"`
				Next    int64    `msgpack:"n"`
			}
			if err := msgpack.Unmarshal(data, &reply); err != nil || reply.Next != test.next || !slices.Equal(reply.Records, test.want) {
				t.Errorf("reply = %+v, %v, want %v, next %d", reply, err, test.want, test.next)
			}
		})
	}
}

// Guards against a cached reply that lacks the tombstone of a key which a snapshot no longer has.
func TestMirrorServerSendsTombstonesOfSnapshot(t *testing.T) {
	m, mirror := new(mirrors), jaystore.NewMirror(discardConsumer{})
	a := jaystore.Record{Key: "a", Value: make([]byte, minCompressBytes), Position: 0}
	b, c := jaystore.Record{Key: "b", Value: []byte("b"), Position: 1}, jaystore.Record{Key: "c", Value: []byte("c"), Position: 2}
	mirror.Apply(t.Context(), []jaystore.Record{a, b, c})
	mirror.MarkRead(time.Now(), 3)
	m.Store(jaystore.TopicUpstreams, mirror)
	s := newMirrorServer(m, newCodec(), discardSeries{})
	removed := func() bool {
		data, err := s.serve(encodeRequest(t, mirrorRequest{Topic: jaystore.TopicUpstreams, Receiver: "i"}))
		if err != nil {
			t.Fatal(err)
		}
		records, err := newCodec().decompress(decodeReply(t, data).Compressed)
		if err != nil {
			t.Fatal(err)
		}
		return slices.ContainsFunc(records, func(r jaystore.Record) bool { return r.Key == "b" && len(r.Value) == 0 })
	}
	if removed() {
		t.Error("key b removed too early")
	}
	mirror.Replace(t.Context(), []jaystore.Record{a, c}, 3)
	if !removed() {
		t.Error("key b is not removed")
	}
}

type discardConsumer struct{ jaystore.Consumer }

func (discardConsumer) Apply(context.Context, []jaystore.Record) {}

func (discardConsumer) Replace(context.Context, []jaystore.Record, jaystore.Position) {}

type discardSeries struct{}

func (discardSeries) Add(string, int, ...jaymetric.Label) {}

func encodeRequest(t *testing.T, request mirrorRequest) []byte {
	t.Helper()
	data, err := msgpack.Marshal(request)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func decodeReply(t *testing.T, data []byte) mirrorReply {
	t.Helper()
	var reply mirrorReply
	if err := msgpack.Unmarshal(data, &reply); err != nil {
		t.Fatal(err)
	}
	return reply
}

func (discardSeries) Gauge(string, func() float64, ...jaymetric.Label) {}
