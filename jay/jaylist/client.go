// Package jaylist reads the platform's list of live and leaving instances.
// The list lags behind what is true.
package jaylist

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"jayfield.example/jay/jayerror"
	"jayfield.example/jay/jayresponse"
)

// Kind classifies a failure of the list.
type Kind string

// KindUnavailable means that the list could not be read or written.
const KindUnavailable Kind = "unavailable"

// Error is the error type of the package.
type Error = jayerror.Error[Kind]

// State is what the platform says of an instance.
type State string

// States of an instance.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// Sort tells whose instance it is.
type Sort string

// Sorts of instances.
const (
	SortEntry    Sort = "entry"
	SortUpstream Sort = "upstream"
)

// Instance is an entry of the list.
type Instance struct {
	Name        string `json:"name"`
	Sort        Sort   `json:"sort"`
	Incarnation string `json:"incarnation,omitempty"`
	// Address is where callers reach an entry instance, or the base address of an upstream.
	Address string `json:"address"`
	// Peer is the address for other entry instances.
	Peer   string `json:"peer,omitempty"`
	Region string `json:"region"`
	Zone   string `json:"zone"`
	State  State  `json:"state"`
}

const (
	// requestTimeout bounds one request to the list.
	requestTimeout = 3 * time.Second
	// maxListBytes bounds the list: 13,000 instances of 300 bytes with room.
	maxListBytes = 16 << 20
	// maxHeaderBytes limits the header of a response.
	maxHeaderBytes = 64 << 10
)

// Client reads the list over HTTP. It is safe for concurrent use.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client of the list at a base address. The observer of invalid responses may be nil.
func NewClient(address string, observe jayresponse.Observer) *Client {
	transport := jayresponse.NewTransport(&http.Transport{MaxResponseHeaderBytes: maxHeaderBytes}, observe)
	return &Client{address: address, http: &http.Client{Transport: transport, Timeout: requestTimeout}}
}

// Close releases idle connections.
func (c *Client) Close() {
	c.http.CloseIdleConnections()
}

// List returns the instances that the platform knows.
func (c *Client) List(ctx context.Context) ([]Instance, error) {
	data, err := c.do(ctx, http.MethodGet, "/v1/instances", nil)
	if err != nil {
		return nil, jayerror.Wrap("list", KindUnavailable, err)
	}
	var list []Instance
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, jayerror.Wrap("list", KindUnavailable, err)
	}
	return list, nil
}

// Put announces an instance, for platforms where instances announce themselves.
func (c *Client) Put(ctx context.Context, instance Instance) error {
	body, err := json.Marshal(instance)
	if err != nil {
		return jayerror.Wrap("put", KindUnavailable, err)
	}
	if _, err := c.do(ctx, http.MethodPut, "/v1/instances/"+instance.Name, body); err != nil {
		return jayerror.Wrap("put", KindUnavailable, err)
	}
	return nil
}

// Remove takes an instance off the list.
func (c *Client) Remove(ctx context.Context, name string) error {
	if _, err := c.do(ctx, http.MethodDelete, "/v1/instances/"+name, nil); err != nil {
		return jayerror.Wrap("remove", KindUnavailable, err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, path string, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer response.Body.Close() //nolint:errcheck // The body has been read.
	if response.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	return data, errors.WithStack(err)
}
