// Package objects is the seam to the platform's object store: rate-limited,
// whole objects, no transactions.
package objects

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/traffic"
)

const (
	callTimeout   = 5 * time.Second
	dialTimeout   = time.Second
	maximumObject = 1 << 20
	pathObjects   = "/v1/objects/"
)

// Store is the object store.
type Store interface {
	// Get reads an object; it reports false when there is none.
	Get(ctx context.Context, name string) ([]byte, bool, error)
	// Put writes an object; the last write wins.
	Put(ctx context.Context, name string, content []byte) error
}

// Client is the HTTP form of Store.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the store at address (ip:port) whose calls go
// out from local, if that is not nil, and count in counter.
func NewClient(address string, local net.IP, counter *traffic.Counter) *Client {
	transport := &http.Transport{DialContext: traffic.Dialer(local, dialTimeout, counter)}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Get reads an object.
func (c *Client) Get(ctx context.Context, name string) ([]byte, bool, error) {
	const step = "read object"
	response, err := c.send(ctx, http.MethodGet, name, nil, step)
	if err != nil {
		return nil, false, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return nil, false, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, false, fault.Read(response, step, c.base)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maximumObject))
	if err != nil {
		return nil, false, fault.Transport(err, step, c.base)
	}
	return content, true, nil
}

// Put writes an object.
func (c *Client) Put(ctx context.Context, name string, content []byte) error {
	const step = "write object"
	response, err := c.send(ctx, http.MethodPut, name, content, step)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.Read(response, step, c.base)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, name string, content []byte, step string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+pathObjects+url.PathEscape(name), bytes.NewReader(content))
	if err != nil {
		return nil, fault.At(fault.CodeInternal, step, c.base, fault.NotDone, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fault.Transport(err, step, c.base)
	}
	return response, nil
}
