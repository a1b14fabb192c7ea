package jayroster

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystandin"
	"jayfield.example/jay/jaystore"
)

// cannedPeer replies to each request with the same bytes.
type cannedPeer []byte

func (p cannedPeer) HandlePeer(context.Context, jaypeer.Topic, []byte) ([]byte, error) { return p, nil }

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return listener
}

// Guards against a copy of a former era, or of a release whose offsets have no era, that replaces a newer one.
func TestFetchedCopyIsOfOwnEraOrLater(t *testing.T) {
	at, key := jaystore.NewPosition, []byte("0123456789abcdef")
	tests := map[string]struct {
		from  jaystore.Position
		reply map[string]any
		want  fetchResult
	}{
		"a former release, a higher offset":  {5, map[string]any{"n": 62}, resultFailed},
		"a former release, all keys":         {-1, map[string]any{"n": 62}, resultFailed},
		"a former era, a higher offset":      {at(1, 5), map[string]any{"v": mirrorVersion, "n": at(0, 62)}, resultFailed},
		"the same era, a lower offset":       {at(1, 5), map[string]any{"v": mirrorVersion, "n": at(1, 4)}, resultFailed},
		"the same era, a higher offset":      {at(1, 5), map[string]any{"v": mirrorVersion, "n": at(1, 9)}, resultFetched},
		"a later era, removals not known":    {at(1, 5), map[string]any{"v": mirrorVersion, "n": -1, "e": true}, resultExpired},
		"all keys, whatever the era":         {-1, map[string]any{"v": mirrorVersion, "n": at(2, 1)}, resultFetched},
		"all keys of an instance that began": {-1, map[string]any{"v": mirrorVersion, "n": -1}, resultFetched},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := msgpack.Marshal(test.reply)
			if err != nil {
				t.Fatal(err)
			}
			other, log := listenLoopback(t), slog.New(slog.DiscardHandler)
			server := jaypeer.NewServer(other, key, cannedPeer(body), log)
			defer server.Stop()
			roster := Start(Options{
				Self: jaymember.Member{Name: "i", Incarnation: "1"}, Source: noSource{}, Writer: noWriter{}, Key: key, Listener: listenLoopback(t), Log: log,
				Series: jaymetric.NewExposition(), Changed: func([]jaymember.Status, int) {},
			})
			defer roster.Stop()
			reader := roster.TopicReader(nil, jaystore.TopicPolicy, jaystore.NewMirror(discardConsumer{}), time.Second, 0)
			if f := reader.fetch(t.Context(), other.Addr().String(), test.from, time.Second); f.result != test.want {
				t.Errorf("result = %s, want %s", f.result, test.want)
			}
		})
	}
}

type noSource struct{}

func (noSource) FillHeartbeat(*jaymember.Member) {}

type noWriter struct{}

func (noWriter) Put(context.Context, jaystore.Topic, string, []byte) (jaystore.Position, error) {
	return 0, nil
}

func (noWriter) PutAt(context.Context, jaystore.Topic, string, []byte, jaystore.Position) error {
	return nil
}

// unavailableStore answers nothing.
type unavailableStore struct{ noWriter }

func (unavailableStore) Newest(context.Context, jaystore.Topic) ([]jaystore.Record, jaystore.Position, error) {
	return nil, 0, jayerror.New("newest", jaystore.KindUnavailable, "no answer")
}

func (unavailableStore) Read(context.Context, jaystore.Topic, jaystore.Position, <-chan struct{}) ([]jaystore.Record, jaystore.Position, error) {
	return nil, 0, jayerror.New("read", jaystore.KindUnavailable, "no answer")
}

// Guards against an instance that refuses the copies of all others while the store is away, since the store once refused its
// position: it has taken a newer copy since.
func TestCopyIsTakenAfterRefusedPosition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		at, key, log := jaystore.NewPosition, []byte("0123456789abcdef"), slog.New(slog.DiscardHandler)
		body, err := msgpack.Marshal(map[string]any{"v": mirrorVersion, "n": at(1, 9)})
		if err != nil {
			t.Fatal(err)
		}
		network := jaystandin.NewNetwork()
		defer network.Close()
		host, other := network.Host("10.0.0.1:1", 1<<30), network.Host("10.0.0.2:1", 1<<30)
		server := jaypeer.NewServer(other.Listen(), key, cannedPeer(body), log)
		defer server.Stop()
		roster := Start(Options{
			Self: jaymember.Member{Name: "i", Incarnation: "1"}, Source: noSource{}, Writer: noWriter{}, Key: key, Listener: host.Listen(), Log: log,
			Series: jaymetric.NewExposition(), Changed: func([]jaymember.Status, int) {}, Client: []jaypeer.ClientOption{jaypeer.WithDialer(host)},
		})
		defer roster.Stop()
		mirror := jaystore.NewMirror(discardConsumer{})
		mirror.MarkRead(time.Now(), 62)
		reader := roster.TopicReader(unavailableStore{}, jaystore.TopicPolicy, mirror, time.Second, 0)
		reader.refused = true
		for n := range 2 {
			roster.others.Store(&[]jaymember.Status{{Member: jaymember.Member{Name: "j", Peer: "10.0.0.2:1"}}})
			records, end, err := reader.Newest(t.Context(), jaystore.TopicPolicy)
			if err != nil || end != at(1, 9) {
				t.Fatalf("copy %d: end %s, %v", n, end, err)
			}
			mirror.Replace(t.Context(), records, end)
		}
	})
}

// Guards against offsets of a former release, which have no era, that are taken for positions.
func TestPositionsOfFormerReleaseAreNotUsed(t *testing.T) {
	data, err := msgpack.Marshal(map[string]any{"m": map[string]any{"policy": map[string]any{"n": 62, "a": 0}}})
	if err != nil {
		t.Fatal(err)
	}
	var m jaymember.Member
	if err := msgpack.Unmarshal(data, &m); err != nil || len(m.Mirrors) != 0 {
		t.Errorf("positions = %v, %v, want none", m.Mirrors, err)
	}
}
