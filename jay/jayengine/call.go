package jayengine

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
)

// Call is a request to a plain service.
type Call struct {
	Address string
	Method  string
	// Path begins with a slash and may carry a query.
	Path    string
	Request string
	// ContentType is the content type of the body.
	ContentType string
	Body        []byte
	// TimeLeft is the time that the caller still waits.
	TimeLeft time.Duration
}

// Call sends a request to a plain service, once: neither the transport nor
// this client repeats it. The body of the response must be closed.
// KindUnreachable, KindLeaving and KindBusy say that it did not run.
func (c *Client) Call(ctx context.Context, call Call) (*http.Response, error) {
	return c.call(ctx, ctx, c.http, call)
}

// CallOnce sends a request like Call, but waits for a connection only until
// the context connect ends, after which nothing is sent. It makes a new
// connection each time: an idle one may have gone silent, and its failure
// would leave unknown whether the work ran.
func (c *Client) CallOnce(ctx, connect context.Context, call Call) (*http.Response, error) {
	return c.call(ctx, connect, c.fresh, call)
}

func (c *Client) call(ctx, connect context.Context, client *http.Client, call Call) (*http.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	stop := context.AfterFunc(connect, func() {
		if !connected.Load() {
			cancel()
		}
	})
	defer stop()
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), call.Method, call.Address+call.Path, once(call.Body))
	if err != nil {
		cancel()
		return nil, jayerror.Wrap("call", KindRefused, err)
	}
	call.fill(request)
	response, err := client.Do(request)
	if err != nil {
		cancel()
		kind := KindBroken
		if !connected.Load() {
			kind = KindUnreachable
		}
		return nil, jayerror.Wrap("call", kind, err)
	}
	response.Body = &cancelBody{ReadCloser: response.Body, cancel: cancel}
	if response.Header.Get(HeaderLeaving) != "" {
		return nil, refusal("call", response)
	}
	return response, nil
}

func (c Call) fill(request *http.Request) {
	request.ContentLength = int64(len(c.Body))
	if len(c.Body) == 0 {
		request.Body = http.NoBody
	}
	request.Header.Set(HeaderRequest, c.Request)
	request.Header.Set(HeaderTimeout, c.TimeLeft.String())
	if c.ContentType != "" {
		request.Header.Set("Content-Type", c.ContentType)
	}
}

// cancelBody ends its request's context when it is closed.
type cancelBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close closes the body and releases the request.
func (b *cancelBody) Close() error {
	err := b.ReadCloser.Close()
	b.cancel()
	return errors.WithStack(err)
}
