package jaylink

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jaylimit"
	"jayfield.example/jay/jayresponse"
)

const (
	// inlineBody is the largest body written before the answer is awaited; longer ones
	// are written beside, since an upstream may answer before it has read all.
	inlineBody = 4 << 10
	// maxForeign bounds the late answers to earlier requests that are skipped.
	maxForeign = 2
	// maxForeignBody bounds the body of a late answer in bytes.
	maxForeignBody = 1 << 20
)

// Request is a request as it is sent to an upstream.
type Request struct {
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// MaxIdle is the longest idle time of a reused connection that may carry the request.
	MaxIdle time.Duration
	// Matches reports whether a response answers this request. Late answers to earlier
	// requests on the connection are skipped.
	Matches func(status int, header http.Header) bool
	// Allowed reports whether the request may still be sent, once there is a connection; nil
	// means that it may.
	Allowed func() bool
}

// Response is an answer whose body is still to be read. Its reader must call
// Close or Complete once.
type Response struct {
	Status int
	Header http.Header
	// Body ends with io.EOF only where the answer is whole.
	Body io.Reader
	// Length is the announced length in bytes, -1 where none is.
	Length int64

	pool    *Pool
	conn    *conn
	close   bool
	written <-chan error
	stop    func() bool
	// share is the memory of the header.
	share *jaylimit.Share
}

// Exchange sends a request to an address and returns the answer once its
// header is read. The connection is closed when ctx ends.
func (p *Pool) Exchange(ctx context.Context, address string, request *Request) (*Response, error) {
	c, err := p.take(ctx, address, request.MaxIdle)
	if err != nil {
		return nil, err
	}
	if request.Allowed != nil && !request.Allowed() {
		p.put(c, max(keepDefault, time.Until(c.until)))
		return nil, jayerror.New("exchange", KindWithdrawn, "withdrawn before it was sent")
	}
	stop := context.AfterFunc(ctx, func() { _ = c.Close() })
	written := c.send(request)
	c.source.beginHeader()
	response, err := c.receive(request) //nolint:bodyclose // Response.Close and Complete end it.
	share := c.source.endHeader()
	if err != nil {
		share.Release()
		stop()
		_ = c.Close()
		if ctx.Err() != nil {
			return nil, jayerror.Wrap("exchange", KindTimeout, ctx.Err())
		}
		return nil, err
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Body: response.Body, Length: response.ContentLength,
		pool: p, conn: c, close: response.Close, written: written, stop: stop, share: share,
	}, nil
}

// Close gives up the connection and with it the work of the upstream.
func (r *Response) Close() {
	r.share.Release()
	r.stop()
	_ = r.conn.Close()
}

// Complete keeps the connection for another request after the body has ended,
// unless the upstream closes it or has not read the whole request.
func (r *Response) Complete() {
	r.share.Release()
	sent := false
	select {
	case err := <-r.written:
		sent = err == nil
	default:
	}
	if !r.stop() || r.close || !sent || r.conn.reader.Buffered() > 0 {
		_ = r.conn.Close()
		return
	}
	r.pool.put(r.conn, keep(r.Header))
}

// send writes the request. The channel has the result once all is written.
func (c *conn) send(request *Request) <-chan error {
	written := make(chan error, 1)
	head := request.head()
	if len(request.Body) <= inlineBody {
		_, err := c.Write(append(head, request.Body...))
		written <- err
		return written
	}
	go func() {
		// A long body is not copied, since an upstream that reads slowly would hold the copy in memory.
		written <- c.WriteBuffers(net.Buffers{head, request.Body})
	}()
	return written
}

// receive reads headers until one belongs to the request.
func (c *conn) receive(request *Request) (*http.Response, error) {
	for range maxForeign + 1 {
		response, err := c.readFinal(request.Method)
		if err != nil {
			return nil, err
		}
		if request.Matches == nil || request.Matches(response.StatusCode, response.Header) {
			return response, nil
		}
		share := c.source.endHeader()
		c.source.left = maxForeignBody
		_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxForeignBody))
		share.Release()
		c.source.beginHeader()
		if err != nil || response.Close {
			return nil, jayerror.Wrap("receive", KindSpoilt, errors.New("answer to another request"))
		}
	}
	return nil, jayerror.New("receive", KindSpoilt, "too many answers to other requests")
}

// readFinal reads the header of the next response that is not an interim one. The limit of a header bounds the
// interim ones before it.
func (c *conn) readFinal(method string) (*http.Response, error) {
	for {
		response, err := c.readResponse(method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// readResponse reads the header of the next response to a request of a method.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.source.scanner = jayresponse.Scanner{}
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // It returns no error for what is buffered.
	c.source.scanner.Scan(buffered)
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	switch {
	case err == nil:
		err = jayresponse.Check(response)
	case c.source.failed:
		return nil, jayerror.Wrap("receive", KindBroken, err)
	default:
		err = jayerror.Wrap("parse", jayresponse.KindMalformed, err)
	}
	if err == nil {
		err = c.source.scanner.Err()
	}
	if err != nil {
		return nil, jayerror.Wrap("receive", KindSpoilt, err)
	}
	response.Body = jayresponse.CheckedBody(response)
	return response, nil
}

// head returns the request line and the header.
func (r *Request) head() []byte {
	var b bytes.Buffer
	b.Grow(readBuffer + min(len(r.Body), inlineBody))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&b) // A buffer takes all.
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead && r.Method != http.MethodDelete {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
