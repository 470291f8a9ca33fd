package table

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/traffic"
)

const (
	callTimeout    = 3 * time.Second
	maximumAnswer  = 16 << 20
	pathRows       = "/v1/rows"
	pathCommit     = "/v1/transactions"
	dialTimeout    = time.Second
	idleTimeout    = 30 * time.Second
	idleConnsAHost = 2
)

// Client is the HTTP form of Table: GET with ETag for rows, POST for
// transactions.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the table service at address (ip:port) whose
// calls go out from local, if that is not nil, and count in counter.
func NewClient(address string, local net.IP, counter *traffic.Counter) *Client {
	transport := &http.Transport{
		DialContext:         traffic.Dialer(local, dialTimeout, counter),
		IdleConnTimeout:     idleTimeout,
		MaxIdleConnsPerHost: idleConnsAHost,
	}
	return &Client{base: "http://" + address, http: &http.Client{Transport: transport, Timeout: callTimeout}}
}

// Get reads one row.
func (c *Client) Get(ctx context.Context, key string) (Row, error) {
	const step = "read row"
	response, err := c.send(ctx, http.MethodGet, pathRows+"/"+url.PathEscape(key), nil, step)
	if err != nil {
		return Row{}, err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusNotFound {
		return Row{Key: key}, nil
	}
	if response.StatusCode != http.StatusOK {
		return Row{}, fault.Read(response, step, c.base)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswer))
	if err != nil {
		return Row{}, fault.Transport(err, step, c.base)
	}
	revision, err := strconv.ParseUint(strings.Trim(response.Header.Get("ETag"), `"`), 10, 64)
	if err != nil {
		return Row{}, fault.At(fault.CodeInternal, step, c.base, fault.Unknown, err)
	}
	return Row{Key: key, Value: content, Revision: revision}, nil
}

// List reads rows by prefix.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Row, error) {
	const step = "list rows"
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	response, err := c.send(ctx, http.MethodGet, pathRows+"?"+query.Encode(), nil, step)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return nil, fault.Read(response, step, c.base)
	}
	var rows []Row
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumAnswer)).Decode(&rows); err != nil {
		return nil, fault.Transport(err, step, c.base)
	}
	return rows, nil
}

// Commit carries out a transaction.
func (c *Client) Commit(ctx context.Context, transaction Transaction) error {
	const step = "commit transaction"
	content, err := json.Marshal(transaction)
	if err != nil {
		return fault.New(fault.CodeInternal, step, "%v", err)
	}
	response, err := c.send(ctx, http.MethodPost, pathCommit, content, step)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode == http.StatusPreconditionFailed {
		return &fault.Error{Code: fault.CodeConflict, Step: step, Peer: c.base, Ran: fault.NotDone}
	}
	if response.StatusCode != http.StatusOK {
		return fault.Read(response, step, c.base)
	}
	return nil
}

func (c *Client) send(ctx context.Context, method, path string, body []byte, step string) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, fault.At(fault.CodeInternal, step, c.base, fault.NotDone, err)
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return nil, fault.Transport(err, step, c.base)
	}
	return response, nil
}
