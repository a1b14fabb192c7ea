// Package jayclient is a client for callers and operators. It asks jayfield
// for addresses, resumes streams at other instances, and uses tickets for
// work that must not repeat.
package jayclient

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jaycall"
	"jayfield.example/jay/jayentry"
	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayresponse"
)

const (
	// maxAnswer bounds an answer that is read whole, in bytes.
	maxAnswer = 16 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
	dialBound      = 2 * time.Second
	// maxPast bounds the addresses kept from earlier answers.
	maxPast = 16
	// wayBack is the part of a caller's time, one in so many, that is left for the answer's way back.
	wayBack = 10
)

// Caller is a client of one account. It is safe for concurrent use.
type Caller struct {
	key    string
	region string
	seeds  []string
	http   *http.Client

	mu      sync.Mutex
	entries []jayentry.Entry
	// past are the addresses of earlier answers, the newest first.
	past    []string
	expires time.Time
}

// NewCaller returns a client of an account, that starts from known addresses.
func NewCaller(key, region string, seeds ...string) *Caller {
	dialer := &net.Dialer{Timeout: dialBound}
	transport := &http.Transport{DialContext: dialer.DialContext, MaxIdleConnsPerHost: 64, MaxResponseHeaderBytes: maxHeaderBytes}
	return &Caller{key: key, region: region, seeds: seeds, http: &http.Client{Transport: jayresponse.NewTransport(transport, nil)}}
}

// Close releases idle connections.
func (c *Caller) Close() {
	c.http.CloseIdleConnections()
}

// Entries asks for the addresses to use and a ticket.
func (c *Caller) Entries(ctx context.Context) (jayentry.Answer, error) {
	var last error
	for _, address := range c.known() {
		answer, err := c.entriesAt(ctx, address)
		if err == nil {
			return answer, nil
		}
		last = err
		if jayerror.Is(err, KindRefused) {
			return answer, err
		}
	}
	return jayentry.Answer{}, jayerror.Wrap("entries", KindUnreachable, last)
}

// Address returns the address to use now, asking for a new one when the last
// answer's lifetime is over.
func (c *Caller) Address(ctx context.Context) (string, error) {
	c.mu.Lock()
	fresh := time.Now().Before(c.expires) && len(c.entries) > 0
	c.mu.Unlock()
	if !fresh {
		if _, err := c.Entries(ctx); err != nil {
			return "", err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.entries) == 0 {
		return "", jayerror.New("address", KindUnreachable, "no instance takes callers")
	}
	return c.entries[0].Address, nil
}

// Do sends a request and returns the response, whose body must be closed.
func (c *Caller) Do(ctx context.Context, address, method, path string, header http.Header, body []byte) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if c.region != "" {
		request.Header.Set(jaycall.HeaderRegion, c.region)
	}
	if deadline, ok := ctx.Deadline(); ok {
		left := time.Until(deadline)
		request.Header.Set(jaycall.HeaderTimeout, (left - left/wayBack).String())
	}
	response, err := c.http.Do(request)
	return response, errors.WithStack(err)
}

// drop forgets an address that failed.
func (c *Caller) drop(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember()
	for i, entry := range c.entries {
		if entry.Address == address {
			c.entries = append(c.entries[:i:i], c.entries[i+1:]...)
			return
		}
	}
}

func (c *Caller) entriesAt(ctx context.Context, address string) (jayentry.Answer, error) {
	var answer jayentry.Answer
	response, err := c.Do(ctx, address, http.MethodGet, "/v1/entries", nil, nil)
	if err != nil {
		return answer, jayerror.Wrap("entries", KindUnreachable, err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return answer, jayerror.Wrap("entries", KindUnreachable, err)
	}
	if response.StatusCode != http.StatusOK {
		kind := KindUnreachable
		if response.StatusCode == http.StatusUnauthorized {
			kind = KindRefused
		}
		return answer, jayerror.Newf("entries", kind, "status %d: %s", response.StatusCode, bytes.TrimSpace(data))
	}
	if err := json.Unmarshal(data, &answer); err != nil {
		return answer, jayerror.Wrap("entries", KindBroken, err)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.remember()
	c.entries = answer.Entries
	c.expires = time.Now().Add(time.Duration(answer.Lifetime) * time.Millisecond)
	return answer, nil
}

// known returns the addresses of the last answer, then those given at the start.
func (c *Caller) known() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	for _, entry := range c.entries {
		list = append(list, entry.Address)
	}
	list = append(list, c.past...)
	return append(list, c.seeds...)
}

// remember keeps the addresses of the last answer for when no newer one answers.
func (c *Caller) remember() {
	for _, entry := range c.entries {
		c.past = slices.DeleteFunc(c.past, func(address string) bool { return address == entry.Address })
		c.past = append([]string{entry.Address}, c.past...)
	}
	c.past = c.past[:min(len(c.past), maxPast)]
}
