package jaypeer_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaypeer"
	"jayfield.example/jay/jaystandin"
)

// echo answers with the body, or never for the topic "mute".
type echo struct{}

func (echo) HandlePeer(ctx context.Context, topic jaypeer.Topic, body []byte) ([]byte, error) {
	if topic == "mute" {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if topic == "refuse" {
		return nil, fmt.Errorf("no")
	}
	return body, nil
}

func startServer(t *testing.T) (*jaypeer.Server, string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := jaypeer.NewServer(listener, []byte("key"), echo{}, slog.New(slog.DiscardHandler))
	t.Cleanup(server.Stop)
	return server, listener.Addr().String()
}

func TestAsk(t *testing.T) {
	_, address := startServer(t)
	tests := map[string]struct {
		key   string
		topic jaypeer.Topic
		kind  jaypeer.Kind
	}{
		"answer":    {"key", "echo", ""},
		"refused":   {"key", "refuse", jaypeer.KindRefused},
		"silent":    {"key", "mute", jaypeer.KindSilent},
		"wrong key": {"other", "echo", jaypeer.KindUnreachable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			client := jaypeer.NewClient(address, []byte(test.key))
			defer client.Close()
			reply, err := client.Ask(context.Background(), test.topic, []byte("hello"), 200*time.Millisecond)
			if test.kind == "" {
				if err != nil || string(reply) != "hello" {
					t.Errorf("reply = %q, error = %v", reply, err)
				}
				return
			}
			if !jayerror.Is(err, test.kind) {
				t.Errorf("error = %v, want %s", err, test.kind)
			}
		})
	}
}

// A connection that has gone silent is replaced: the next request works.
func TestSilentConnectionIsReplaced(t *testing.T) {
	_, address := startServer(t)
	client := jaypeer.NewClient(address, []byte("key"))
	defer client.Close()
	if _, err := client.Ask(context.Background(), "mute", nil, 50*time.Millisecond); !jayerror.Is(err, jaypeer.KindSilent) {
		t.Fatalf("error = %v", err)
	}
	for range 200 {
		if _, err := client.Ask(context.Background(), "echo", []byte("x"), time.Second); err == nil {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Error("no request works after the silent one")
}

// Replies reach the requests that they belong to, whatever their order.
func TestRepliesAreMatched(t *testing.T) {
	_, address := startServer(t)
	client := jaypeer.NewClient(address, []byte("key"))
	defer client.Close()
	var wait sync.WaitGroup
	for n := range 200 {
		wait.Go(func() {
			body := fmt.Appendf(nil, "request %d", n)
			reply, err := client.Ask(context.Background(), "echo", body, 5*time.Second)
			if err != nil || !bytes.Equal(reply, body) {
				t.Errorf("reply = %q, want %q, error = %v", reply, body, err)
			}
		})
	}
	wait.Wait()
}

// A hostile peer loses its own connection and nothing else.
func TestHostileFrames(t *testing.T) {
	tests := map[string][]byte{
		"huge length":  {0xff, 0xff, 0xff, 0xff},
		"zero length":  {0, 0, 0, 0},
		"not msgpack":  append(binary.BigEndian.AppendUint32(nil, 3), 0xc1, 0xc1, 0xc1),
		"wrong format": append(binary.BigEndian.AppendUint32(nil, 1), 0x01),
		"no handshake": append(binary.BigEndian.AppendUint32(nil, 5), []byte("hello")...),
	}
	for name, data := range tests {
		t.Run(name, func(t *testing.T) {
			server, address := startServer(t)
			good := jaypeer.NewClient(address, []byte("key"))
			defer good.Close()
			if _, err := good.Ask(context.Background(), "echo", nil, time.Second); err != nil {
				t.Fatal(err)
			}
			conn, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := conn.Write(data); err != nil {
				t.Fatal(err)
			}
			_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
			if _, err := io.Copy(io.Discard, conn); err != nil {
				t.Errorf("connection was not closed: %v", err)
			}
			if _, err := good.Ask(context.Background(), "echo", nil, time.Second); err != nil {
				t.Errorf("other connection: %v", err)
			}
			if server.Refused() == 0 {
				t.Error("refused connections are not counted")
			}
		})
	}
}

// Guards against a long reply that counts as silence while it is still arriving.
func TestReplyInTransferIsNotSilence(t *testing.T) {
	tests := map[string]struct {
		bytesPerSecond int
		wantErr        bool
	}{
		"slow link": {200_000, false},
		"stalled":   {100, true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := jaystandin.NewNetwork()
				listener := network.Host("10.0.0.1:7000", test.bytesPerSecond).Listen()
				server := jaypeer.NewServer(listener, []byte("key"), echo{}, slog.New(slog.DiscardHandler))
				defer server.Stop()
				client := jaypeer.NewClient("10.0.0.1:7000", []byte("key"), jaypeer.WithDialer(network.Host("10.0.0.2:7000", 1<<30)))
				defer client.Close()
				body := make([]byte, 1_000_000)
				reply, err := client.Ask(t.Context(), "echo", body, jaypeer.SilentBound)
				if (err != nil) != test.wantErr || err == nil && len(reply) != len(body) {
					t.Errorf("reply of %d bytes, error %v", len(reply), err)
				}
			})
		})
	}
}
