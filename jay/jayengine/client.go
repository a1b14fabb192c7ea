package jayengine

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayresponse"
)

const (
	dialBound = 2 * time.Second
	// idlePerUpstream bounds the idle connections kept to each upstream.
	idlePerUpstream = 256
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	// controlBound bounds a request for load, status or an order.
	controlBound = 2 * time.Second
	// orderBound bounds the sending of an order; its sender must have authority for longer.
	orderBound = time.Second
	// maxControlBytes bounds an answer to such a request.
	maxControlBytes = 1 << 20
)

// Client sends requests to upstreams. It is safe for concurrent use.
type Client struct {
	http *http.Client
	// fresh makes a new connection for each request.
	fresh *http.Client
}

// Dial connects to an upstream.
type Dial func(ctx context.Context, network, address string) (net.Conn, error)

// NewClient returns a client with its own connections, made by dial or, where
// it is nil, in the ordinary way. The observer of invalid responses may be nil.
func NewClient(dial Dial, observe jayresponse.Observer) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: dialBound}).DialContext
	}
	kept := newTransport(dial)
	fresh := newTransport(dial)
	fresh.DisableKeepAlives = true
	return &Client{http: newHTTP(kept, observe), fresh: newHTTP(fresh, observe)}
}

func newHTTP(transport *http.Transport, observe jayresponse.Observer) *http.Client {
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &http.Client{Transport: jayresponse.NewTransport(transport, observe), CheckRedirect: noRedirect}
}

func newTransport(dial Dial) *http.Transport {
	return &http.Transport{
		DialContext:            dial,
		MaxIdleConnsPerHost:    idlePerUpstream,
		DisableCompression:     true,
		IdleConnTimeout:        time.Minute,
		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

// Close releases idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Load returns the engine's newest load report.
func (c *Client) Load(ctx context.Context, address string) (Load, error) {
	var load Load
	return load, c.get(ctx, address+PathLoad, &load)
}

// Status returns what the engine says of itself.
func (c *Client) Status(ctx context.Context, address string) (Status, error) {
	var status Status
	return status, c.get(ctx, address+PathStatus, &status)
}

// Generation is a request for a stream of tokens.
type Generation struct {
	Address string
	Path    string
	Request string
	// Offset is the first token wanted; tokens before it were received already.
	Offset   int64
	Priority string
	// KV is the address of the engine that holds the prompt's KV cache, or empty.
	KV   string
	Body []byte
}

// Generate opens a stream. The bound is the longest silence before and
// between tokens; the stream must be closed.
func (c *Client) Generate(ctx context.Context, g Generation, bound time.Duration) (*Stream, error) {
	ctx, cancel := context.WithCancel(ctx)
	watch := newWatchdog(cancel, bound)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.Address+g.Path, bytes.NewReader(g.Body))
	if err != nil {
		watch.stop()
		return nil, jayerror.Wrap("generate", KindRefused, err)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequest, g.Request)
	request.Header.Set(HeaderPriority, g.Priority)
	if g.Offset > 0 {
		request.Header.Set(HeaderResume, strconv.FormatInt(g.Offset, 10))
	}
	if g.KV != "" {
		request.Header.Set(HeaderKV, g.KV)
	}
	response, err := c.http.Do(request)
	if err != nil {
		watch.stop()
		return nil, jayerror.Wrap("generate", watch.kind(failure(err)), err)
	}
	if response.StatusCode != http.StatusOK {
		defer watch.stop()
		return nil, refusal("generate", response)
	}
	return newStream(response.Body, watch, g.Request, g.Offset), nil
}

// Prefill has an engine read a prompt and keep its KV cache for export.
func (c *Client) Prefill(ctx context.Context, g Generation) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.Address+PathPrefill, bytes.NewReader(g.Body))
	if err != nil {
		return jayerror.Wrap("prefill", KindRefused, err)
	}
	request.Header.Set(HeaderRequest, g.Request)
	request.Header.Set(HeaderPriority, g.Priority)
	response, err := c.http.Do(request)
	if err != nil {
		return jayerror.Wrap("prefill", failure(err), err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal("prefill", response)
	}
	return discard("prefill", response)
}

// Send gives an engine an order. KindUnreachable and KindFence say that the
// order had no effect; any other failure leaves its effect unknown.
func (c *Client) Send(ctx context.Context, address string, order Order) error {
	ctx, cancel := context.WithTimeout(ctx, orderBound)
	defer cancel()
	body, err := json.Marshal(order)
	if err != nil {
		return jayerror.Wrap("order", KindRefused, err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, address+PathOrders, once(body))
	if err != nil {
		return jayerror.Wrap("order", KindRefused, err)
	}
	request.ContentLength = int64(len(body))
	response, err := c.fresh.Do(request)
	if err != nil {
		return jayerror.Wrap("order", failure(err), err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal("order", response)
	}
	return discard("order", response)
}

func (c *Client) get(ctx context.Context, url string, out any) error {
	ctx, cancel := context.WithTimeout(ctx, controlBound)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return jayerror.Wrap("get", KindRefused, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return jayerror.Wrap("get", failure(err), err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	data, err := io.ReadAll(io.LimitReader(response.Body, maxControlBytes))
	if err != nil {
		return jayerror.Wrap("get", KindBroken, err)
	}
	if response.StatusCode != http.StatusOK {
		return jayerror.Newf("get", KindRefused, "status %d", response.StatusCode)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return jayerror.Wrap("get", KindBroken, err)
	}
	return nil
}

// once returns a body that cannot be read again, so that the transport never
// repeats the request on its own.
func once(body []byte) io.Reader {
	return io.MultiReader(bytes.NewReader(body))
}

// failure tells a connection that was never made from one that broke.
func failure(err error) Kind {
	var network *net.OpError
	if errors.As(err, &network) && network.Op == "dial" {
		return KindUnreachable
	}
	return KindBroken
}

// discard reads the rest of a response. It returns an error of KindBroken if the response is truncated.
func discard(op string, response *http.Response) error {
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	if _, err := io.Copy(io.Discard, io.LimitReader(response.Body, maxControlBytes)); err != nil {
		return jayerror.Wrap(op, KindBroken, err)
	}
	return nil
}

// refusal returns the error for a response that rejects a request, of KindBroken if the response is truncated.
func refusal(op string, response *http.Response) error {
	defer response.Body.Close() //nolint:errcheck // The answer is an error already.
	text, err := io.ReadAll(io.LimitReader(response.Body, 1<<10))
	if err != nil {
		return jayerror.Wrap(op, KindBroken, err)
	}
	kind := KindRefused
	switch {
	case response.Header.Get(HeaderLeaving) != "":
		kind = KindLeaving
	case response.StatusCode == http.StatusConflict:
		kind = KindFence
	case response.StatusCode == http.StatusServiceUnavailable, response.StatusCode == http.StatusTooManyRequests:
		kind = KindBusy
	case response.StatusCode >= http.StatusInternalServerError:
		kind = KindBroken
	}
	return jayerror.Newf(op, kind, "status %d: %s", response.StatusCode, bytes.TrimSpace(text))
}
