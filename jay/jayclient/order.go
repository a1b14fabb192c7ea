package jayclient

import (
	"context"
	"io"
	"net/http"
	"time"

	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jayerror"
)

// orderPause is the pause before an unknown outcome is asked for again.
const orderPause = 200 * time.Millisecond

// Answer is the answer of a plain service.
type Answer struct {
	Status int
	Body   []byte
	// Upstream served the call, where the answer names it.
	Upstream string
	// Attempts counts how often the outcome was asked for.
	Attempts int
	// Key is the idempotency key that the work ran under.
	Key string
}

// Get asks a plain service a question that may be repeated.
func (c *Caller) Get(ctx context.Context, service, path string) (Answer, error) {
	address, err := c.Address(ctx)
	if err != nil {
		return Answer{}, err
	}
	return c.service(ctx, address, http.MethodGet, service, path, nil, nil)
}

// Order has a plain service run work at most once. While the outcome is unknown it asks again
// under the same key, at any instance, until ctx ends.
func (c *Caller) Order(ctx context.Context, service, path string, body []byte) (Answer, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return Answer{}, err
	}
	header := http.Header{"Content-Type": {"application/json"}, jaycall.HeaderKey: {entries.Ticket}}
	for attempts := 1; ; attempts++ {
		answer, err := c.orderOnce(ctx, service, path, header, body)
		answer.Attempts = attempts
		answer.Key = entries.Ticket
		settled := err == nil || jayerror.Is(err, KindNotRun) || jayerror.Is(err, KindUnavailable) || jayerror.Is(err, KindRefused)
		if settled || ctx.Err() != nil {
			return answer, err
		}
		select {
		case <-time.After(orderPause):
		case <-ctx.Done():
			return answer, err
		}
	}
}

func (c *Caller) orderOnce(ctx context.Context, service, path string, header http.Header, body []byte) (Answer, error) {
	address, err := c.Address(ctx)
	if err != nil {
		return Answer{}, err
	}
	answer, err := c.service(ctx, address, http.MethodPost, service, path, header, body)
	if jayerror.Is(err, KindUnreachable) {
		c.drop(address)
		return answer, jayerror.Wrap("order", KindUnknown, err)
	}
	return answer, err
}

func (c *Caller) service(ctx context.Context, address, method, service, path string, header http.Header, body []byte) (Answer, error) {
	response, err := c.Do(ctx, address, method, "/services/"+service+path, header, body)
	if err != nil {
		return Answer{}, jayerror.Wrap("service", KindUnreachable, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	run := response.Header.Get(jaycall.HeaderRun)
	if run == "not-run" || run == "unknown" {
		return Answer{Status: response.StatusCode}, refusal("service", response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return Answer{}, jayerror.Wrap("service", KindUnknown, err)
	}
	return Answer{Status: response.StatusCode, Body: data, Upstream: response.Header.Get(jaycall.HeaderServed)}, nil
}
