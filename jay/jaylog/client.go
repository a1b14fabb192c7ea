package jaylog

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/time/rate"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayresponse"
)

const (
	// DefaultAppendTimeout bounds one attempt of an append.
	DefaultAppendTimeout = 3 * time.Second
	// DefaultBudgetPerSecond is the append budget of one instance over all streams.
	DefaultBudgetPerSecond = 12
	// retryDelay is the pause between two attempts of an append.
	retryDelay = 100 * time.Millisecond
	// maxBatchBytes bounds the answer to a read.
	maxBatchBytes = 64 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
)

// Client speaks to the log over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
	budget  *rate.Limiter
	timeout time.Duration
	observe jayresponse.Observer
}

// Option changes a client at its construction.
type Option func(*Client)

// NewClient returns a client of the log at a base address such as http://127.0.0.1:7000.
func NewClient(address string, options ...Option) *Client {
	c := &Client{
		address: address,
		budget:  rate.NewLimiter(DefaultBudgetPerSecond, 4*DefaultBudgetPerSecond),
		timeout: DefaultAppendTimeout,
	}
	for _, option := range options {
		option(c)
	}
	transport := &http.Transport{MaxIdleConnsPerHost: 8, MaxResponseHeaderBytes: maxHeaderBytes}
	c.http = &http.Client{Transport: jayresponse.NewTransport(transport, c.observe)}
	return c
}

// WithBudget sets the append budget in records a second and the burst above it.
func WithBudget(perSecond float64, burst int) Option {
	return func(c *Client) { c.budget = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithObserver sets the observer of invalid responses.
func WithObserver(observe jayresponse.Observer) Option {
	return func(c *Client) { c.observe = observe }
}

// Append adds a record and returns its offset. It repeats the record under
// the same ID until a reply comes or ctx ends; KindUnavailable then means
// that the record may or may not have taken effect.
func (c *Client) Append(ctx context.Context, stream Stream, record Record) (int64, error) {
	body, err := msgpack.Marshal(&record)
	if err != nil {
		return 0, jayerror.Wrap("append", KindRefused, err)
	}
	var unknown error
	for {
		offset, err := c.appendOnce(ctx, stream, body, "")
		switch {
		case jayerror.Is(err, KindUnavailable):
			unknown = err
		case err != nil && unknown != nil:
			return 0, unknown
		default:
			return offset, err
		}
		select {
		case <-ctx.Done():
			return 0, unknown
		case <-time.After(retryDelay):
		}
	}
}

// AppendAt adds a record if the stream ends at an offset, and returns KindConflict if it does not. It makes one
// attempt; KindUnavailable means that the record may take effect, but only at this offset.
func (c *Client) AppendAt(ctx context.Context, stream Stream, record Record, end int64) (int64, error) {
	body, err := msgpack.Marshal(&record)
	if err != nil {
		return 0, jayerror.Wrap("append", KindRefused, err)
	}
	return c.appendOnce(ctx, stream, body, fmt.Sprintf("?at=%d", end))
}

// Close releases idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// Read returns entries from an offset on. It waits up to wait for the first.
func (c *Client) Read(ctx context.Context, stream Stream, from int64, wait time.Duration) (Batch, error) {
	url := fmt.Sprintf("%s/v1/streams/%s?from=%d&wait=%s", c.address, stream, from, wait)
	ctx, cancel := context.WithTimeout(ctx, wait+c.timeout)
	defer cancel()
	var batch Batch
	status, err := c.do(ctx, http.MethodGet, url, nil, &batch)
	if err != nil {
		return Batch{}, jayerror.Wrap("read", KindUnavailable, err)
	}
	switch status {
	case http.StatusOK:
		return batch, nil
	case http.StatusGone:
		return batch, jayerror.Newf("read", KindExpired, "offset %d is older than %d", from, batch.Oldest)
	default:
		return Batch{}, jayerror.Newf("read", KindUnavailable, "status %d", status)
	}
}

// appended is the reply to an append.
type appended struct {
	Offset int64 `msgpack:"o"`
}

// appendOnce makes one attempt of an append; query holds its condition, if there is one.
func (c *Client) appendOnce(ctx context.Context, stream Stream, body []byte, query string) (int64, error) {
	if err := c.budget.Wait(ctx); err != nil {
		return 0, jayerror.Wrap("append", KindBudget, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	var reply appended
	status, err := c.do(ctx, http.MethodPost, c.address+"/v1/streams/"+string(stream)+query, body, &reply)
	switch {
	case err != nil:
		return 0, jayerror.Wrap("append", KindUnavailable, err)
	case status == http.StatusOK:
		return reply.Offset, nil
	case status == http.StatusPreconditionFailed:
		return 0, jayerror.New("append", KindConflict, "the stream does not end at the offset")
	case status >= http.StatusInternalServerError || status == http.StatusTooManyRequests:
		return 0, jayerror.Newf("append", KindUnavailable, "status %d", status)
	default:
		return 0, jayerror.Newf("append", KindRefused, "status %d", status)
	}
}

func (c *Client) do(ctx context.Context, method, url string, body []byte, out any) (int, error) {
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBatchBytes))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusGone {
		return response.StatusCode, nil
	}
	return response.StatusCode, errors.WithStack(msgpack.Unmarshal(data, out))
}
