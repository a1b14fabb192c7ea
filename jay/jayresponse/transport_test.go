package jayresponse_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayresponse"
)

// uploadBytes is the size of a body that does not fit into the buffers of a connection that is not read.
const uploadBytes = 16 << 20

// serve returns the URL of a server that calls a function for each request once its header has arrived.
func serve(t *testing.T, respond func(conn *net.TCPConn, reader *bufio.Reader) (keep bool)) string {
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
				for {
					if _, err := http.ReadRequest(reader); err != nil || !respond(conn.(*net.TCPConn), reader) {
						return
					}
				}
			}()
		}
	}()
	return "http://" + listener.Addr().String()
}

// post sends a request and returns the body of its response.
func post(ctx context.Context, transport http.RoundTripper, url string, size int) (string, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, io.NopCloser(bytes.NewReader(make([]byte, size))))
	if err != nil {
		return "", err
	}
	request.ContentLength = int64(size)
	if size == 0 {
		request.Body = http.NoBody
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// Guards against a transport that rejects what is valid, during and after the upload of the request.
func TestTransportAcceptsValidResponses(t *testing.T) {
	const start = "HTTP/1.1 200 OK\r\n"
	tests := map[string]string{
		"without a length":              start + "\r\nfine",
		"with a length":                 start + "Content-Length: 4\r\n\r\nfine",
		"in chunks":                     start + "Transfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
		"after an interim response":     "HTTP/1.1 100 Continue\r\n\r\n" + start + "Content-Length: 4\r\n\r\nfine",
		"with an empty reason phrase":   "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nfine",
		"without a length, version 1.0": "HTTP/1.0 200 OK\r\n\r\nfine",
	}
	for name, response := range tests {
		for sizeName, size := range map[string]int{"short": 0, "long": uploadBytes} {
			t.Run(name+", "+sizeName+" request", func(t *testing.T) {
				url := serve(t, func(conn *net.TCPConn, reader *bufio.Reader) bool {
					io.WriteString(conn, response)
					conn.CloseWrite()
					io.Copy(io.Discard, reader)
					return false
				})
				transport := jayresponse.NewTransport(&http.Transport{DisableKeepAlives: true}, nil)
				defer transport.CloseIdleConnections()
				for range 5 {
					if body, err := post(t.Context(), transport, url, size); err != nil || body != "fine" {
						t.Fatalf("body = %q, %v", body, err)
					}
				}
			})
		}
	}
}

// Guards against a malformed response without a body whose connection serves the next request.
func TestTransportClosesConnectionOfMalformedResponse(t *testing.T) {
	connections := make(chan net.Addr, 2)
	url := serve(t, func(conn *net.TCPConn, _ *bufio.Reader) bool {
		connections <- conn.RemoteAddr()
		if len(connections) == 1 {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n")
			return true
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nsecond")
		return false
	})
	var observed []jayresponse.Kind
	transport := jayresponse.NewTransport(new(http.Transport), func(err *jayresponse.Error) { observed = append(observed, err.Kind) })
	defer transport.CloseIdleConnections()
	if _, err := post(t.Context(), transport, url, 0); !jayerror.Is(err, jayresponse.KindMalformed) {
		t.Errorf("error = %v, want malformed", err)
	}
	if body, err := post(t.Context(), transport, url, 0); err != nil || body != "second" {
		t.Errorf("body = %q, %v", body, err)
	}
	if first, second := <-connections, <-connections; first.String() == second.String() {
		t.Error("the connection of the malformed response was used again")
	}
	if len(observed) != 1 || observed[0] != jayresponse.KindMalformed {
		t.Errorf("observed = %v", observed)
	}
}

// lateReader is a connection that is read for the second time only after a write has failed, which returns only after
// that read.
type lateReader struct {
	net.Conn
	reads        int
	failed, read chan struct{}
}

func (c *lateReader) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		<-c.failed
		defer close(c.read)
	}
	return c.Conn.Read(p)
}

func (c *lateReader) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		close(c.failed)
		<-c.read
	}
	return n, err
}

// Guards against a response that looks complete, or is not observed, if a write gets the reset of its connection.
func TestTransportObservesTruncatedBody(t *testing.T) {
	const repeats = 30
	url := serve(t, func(conn *net.TCPConn, _ *bufio.Reader) bool {
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(time.Millisecond)
		conn.SetLinger(0)
		return false
	})
	base := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		return &lateReader{Conn: conn, failed: make(chan struct{}), read: make(chan struct{})}, err
	}}
	observed := 0
	transport := jayresponse.NewTransport(base, func(*jayresponse.Error) { observed++ })
	for range repeats {
		body, err := post(t.Context(), transport, url, uploadBytes)
		if !jayerror.Is(err, jayresponse.KindTruncated) {
			t.Fatalf("body = %q, %v; want truncated", body, err)
		}
	}
	if observed != repeats {
		t.Errorf("%d responses observed, want %d", observed, repeats)
	}
}
