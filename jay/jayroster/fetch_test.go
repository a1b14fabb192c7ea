package jayroster

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"jayfield.example/jay/jaymember"
	"jayfield.example/jay/jaymetric"
	"jayfield.example/jay/jaypeer"
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
