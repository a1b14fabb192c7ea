package jaysite_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"jayfield.example/jay/jayclient"
	"jayfield.example/jay/jayengine"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylist"
	"jayfield.example/jay/jaylog"
)

// uploadBytes is the size of a body that does not fit into the buffers of a connection that is not read.
const uploadBytes = 16 << 20

// rawServer returns the URL of a server that calls a function for each connection once the header of a request has
// arrived on it.
func rawServer(t *testing.T, respond func(conn *net.TCPConn, reader *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err == nil {
					respond(conn.(*net.TCPConn), reader)
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// clientCall is a request of a client, whose error must not have a kind that excludes that it ran.
type clientCall struct {
	send func(ctx context.Context, url string) error
	// small is set if the request has no body that could be written during a reset.
	small bool
}

// readAll returns the error of reading a response.
func readAll(response *http.Response, err error) error {
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.ReadAll(response.Body)
	return err
}

func engineCalls() map[string]clientCall {
	call := func(url string) jayengine.Call {
		return jayengine.Call{Address: url, Method: http.MethodPost, Path: "/", Request: "r1", Body: make([]byte, uploadBytes), TimeLeft: time.Second}
	}
	engine := func(send func(ctx context.Context, c *jayengine.Client, url string) error) func(context.Context, string) error {
		return func(ctx context.Context, url string) error {
			c := jayengine.NewClient(nil, nil)
			defer c.Close()
			return send(ctx, c, url)
		}
	}
	return map[string]clientCall{
		"engine, call": {send: engine(func(ctx context.Context, c *jayengine.Client, url string) error {
			return readAll(c.Call(ctx, call(url)))
		})},
		"engine, call that runs at most once": {send: engine(func(ctx context.Context, c *jayengine.Client, url string) error {
			return readAll(c.CallOnce(ctx, ctx, call(url)))
		})},
		"engine, stream": {send: engine(func(ctx context.Context, c *jayengine.Client, url string) error {
			stream, err := c.Generate(ctx, jayengine.Generation{Address: url, Path: "/", Request: "r1", Body: make([]byte, uploadBytes)}, time.Second)
			if err != nil {
				return err
			}
			defer stream.Close()
			for {
				if event, err := stream.Next(); err != nil || event.Done {
					return err
				}
			}
		})},
		"engine, prefill": {small: true, send: engine(func(ctx context.Context, c *jayengine.Client, url string) error {
			return c.Prefill(ctx, jayengine.Generation{Address: url, Request: "r1"})
		})},
		"engine, order": {small: true, send: engine(func(ctx context.Context, c *jayengine.Client, url string) error {
			return c.Send(ctx, url, jayengine.Order{})
		})},
		"engine, load": {small: true, send: engine(func(ctx context.Context, c *jayengine.Client, url string) error {
			_, err := c.Load(ctx, url)
			return err
		})},
		"engine, status": {small: true, send: engine(func(ctx context.Context, c *jayengine.Client, url string) error {
			_, err := c.Status(ctx, url)
			return err
		})},
	}
}

func otherCalls() map[string]clientCall {
	const key = "key"
	return map[string]clientCall{
		"log, append": {send: func(ctx context.Context, url string) error {
			c := jaylog.NewClient(url)
			defer c.Close()
			_, err := c.AppendAt(ctx, jaylog.StreamConfig, jaylog.NewWriter("w").Record("k", make([]byte, uploadBytes)), 0)
			return err
		}},
		"log, read": {small: true, send: func(ctx context.Context, url string) error {
			c := jaylog.NewClient(url)
			defer c.Close()
			_, err := c.Read(ctx, jaylog.StreamConfig, 0, 0)
			return err
		}},
		"list, read": {small: true, send: func(ctx context.Context, url string) error {
			c := jaylist.NewClient(url, nil)
			defer c.Close()
			_, err := c.List(ctx)
			return err
		}},
		"list, write": {send: func(ctx context.Context, url string) error {
			c := jaylist.NewClient(url, nil)
			defer c.Close()
			return c.Put(ctx, jaylist.Instance{Name: "i", Address: strings.Repeat("a", uploadBytes)})
		}},
		"caller": {send: func(ctx context.Context, url string) error {
			c := jayclient.NewCaller(key, "", url)
			defer c.Close()
			return readAll(c.Do(ctx, url, http.MethodPost, "/services/s/x", nil, make([]byte, uploadBytes)))
		}},
		"caller, entries": {small: true, send: func(ctx context.Context, url string) error {
			c := jayclient.NewCaller(key, "", url)
			defer c.Close()
			_, err := c.Entries(ctx)
			return err
		}},
		"operator": {send: func(ctx context.Context, url string) error {
			o := jayclient.NewOperator(url, key, "o")
			defer o.Close()
			_, err := o.Publish(ctx, "f", strings.Repeat("x", uploadBytes), false)
			return err
		}},
	}
}

func clientCalls() map[string]clientCall {
	calls := engineCalls()
	for name, call := range otherCalls() {
		calls[name] = call
	}
	return calls
}

// saysNotRun reports whether an error has a kind that excludes that the request ran.
func saysNotRun(err error) bool {
	for _, kind := range []jayengine.Kind{jayengine.KindUnreachable, jayengine.KindLeaving, jayengine.KindBusy, jayengine.KindFence, jayengine.KindRefused} {
		if jayerror.Is(err, kind) {
			return true
		}
	}
	return jayerror.Is(err, jaylog.KindRefused) || jayerror.Is(err, jaylog.KindConflict) || jayerror.Is(err, jayclient.KindNotRun) || jayerror.Is(err, jayclient.KindRefused)
}

// Guards against a malformed or truncated response that a client accepts, or from which it concludes that the request
// did not run.
func TestInvalidResponseIsNoAnswer(t *testing.T) {
	// The body is one of each protocol: an empty JSON object, which is also a message of the log.
	const body, cutOff = "Content-Length: 2\r\n\r\n{}", "Content-Length: 9\r\n\r\n{}"
	responses := map[string]string{
		"status 000":              "HTTP/1.1 000 Unknown\r\n" + body,
		"status 600":              "HTTP/1.1 600 Unknown\r\n" + body,
		"blank in a name":         "HTTP/1.1 200 OK\r\nX Bad: 1\r\n" + body,
		"blank after a name":      "HTTP/1.1 200 OK\r\nX-Bad : 1\r\n" + body,
		"control in a name":       "HTTP/1.1 200 OK\r\nX\x01Bad: 1\r\n" + body,
		"leaving, blank in name":  "HTTP/1.1 503 Service Unavailable\r\nX Bad: 1\r\n" + jayengine.HeaderLeaving + ": 1\r\n" + body,
		"conflict, blank in name": "HTTP/1.1 409 Conflict\r\nX Bad: 1\r\n" + body,
		"failed, blank in name":   "HTTP/1.1 412 Precondition Failed\r\nX Bad: 1\r\n" + body,
		"done, cut off":           "HTTP/1.1 200 OK\r\n" + cutOff,
		"leaving, cut off":        "HTTP/1.1 503 Service Unavailable\r\n" + jayengine.HeaderLeaving + ": 1\r\n" + cutOff,
		"conflict, cut off":       "HTTP/1.1 409 Conflict\r\n" + cutOff,
		"failed, cut off":         "HTTP/1.1 412 Precondition Failed\r\n" + cutOff,
	}
	for name, response := range responses {
		for callName, call := range clientCalls() {
			t.Run(name+", "+callName, func(t *testing.T) {
				url := rawServer(t, func(conn *net.TCPConn, reader *bufio.Reader) {
					io.WriteString(conn, response)
					conn.CloseWrite()
					io.Copy(io.Discard, reader)
				})
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				if err := call.send(ctx, url); err == nil || saysNotRun(err) || ctx.Err() != nil {
					t.Errorf("error = %v, want one that says nothing about the effect", err)
				}
			})
		}
	}
}

// Guards against a response that was reset during the upload of the request and is taken for complete.
func TestResetResponseIsNoAnswer(t *testing.T) {
	const repeats = 30
	for name, call := range clientCalls() {
		if call.small {
			continue
		}
		t.Run(name, func(t *testing.T) {
			delays := make(chan time.Duration, 1)
			url := rawServer(t, func(conn *net.TCPConn, _ *bufio.Reader) {
				io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n{}")
				time.Sleep(<-delays)
				conn.SetLinger(0)
			})
			complete := 0
			for n := range repeats {
				delays <- time.Duration(n%15) * 200 * time.Microsecond
				if err := call.send(t.Context(), url); err == nil {
					complete++
				} else if saysNotRun(err) {
					t.Errorf("error = %v, want one that says nothing about the effect", err)
				}
			}
			if complete > 0 {
				t.Errorf("%d of %d responses that were reset look complete", complete, repeats)
			}
		})
	}
}
