package operator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/wire"
)

const clientTimeout = 15 * time.Second

// Client calls the operators' API of a node.
type Client struct {
	address string
	http    *http.Client
}

// NewClient returns a client for the node whose operators' API listens on address
// (ip:port).
func NewClient(address string) *Client {
	return &Client{address: address, http: &http.Client{Timeout: clientTimeout}}
}

// Submit applies and deletes objects in one atomic operation.
func (c *Client) Submit(ctx context.Context, submission Submission) (commit.Result, error) {
	var result commit.Result
	err := c.call(ctx, http.MethodPost, "/v1/operations", submission, &result, "submit")
	return result, err
}

// Operation returns the result of an operation by its ID.
func (c *Client) Operation(ctx context.Context, id string) (commit.Result, error) {
	var result commit.Result
	err := c.call(ctx, http.MethodGet, "/v1/operations/"+url.PathEscape(id), nil, &result, "find operation")
	return result, err
}

// Get returns an object.
func (c *Client) Get(ctx context.Context, kind api.Kind, name string) (api.Object, error) {
	var object api.Object
	err := c.call(ctx, http.MethodGet, "/v1/objects/"+string(kind)+"/"+url.PathEscape(name), nil, &object, "get object")
	return object, err
}

// List returns the objects of a kind.
func (c *Client) List(ctx context.Context, kind api.Kind) ([]api.Object, error) {
	var objects []api.Object
	err := c.call(ctx, http.MethodGet, "/v1/objects/"+string(kind), nil, &objects, "list objects")
	return objects, err
}

// History returns the log entries that changed an object, or any object of the kind
// if name is empty.
func (c *Client) History(ctx context.Context, kind api.Kind, name string) ([]wire.Entry, error) {
	path := "/v1/history/" + string(kind)
	if name != "" {
		path += "/" + url.PathEscape(name)
	}
	var entries []wire.Entry
	err := c.call(ctx, http.MethodGet, path, nil, &entries, "history")
	return entries, err
}

// Evaluate runs a policy program for a model, a region and a time.
func (c *Client) Evaluate(ctx context.Context, evaluation Evaluation) (EvaluationResult, error) {
	var result EvaluationResult
	err := c.call(ctx, http.MethodPost, "/v1/policies/evaluate", evaluation, &result, "evaluate policy")
	return result, err
}

// Explain returns the recorded decisions about a subject, newest first.
func (c *Client) Explain(ctx context.Context, kind, name string) ([]wire.Decision, error) {
	var decisions []wire.Decision
	err := c.call(ctx, http.MethodGet, "/v1/explain/"+kind+"/"+url.PathEscape(name), nil, &decisions, "explain")
	return decisions, err
}

// Quarantine returns the requests during which runners crashed, as far as the node
// knows them.
func (c *Client) Quarantine(ctx context.Context) ([]wire.PoisonStatus, error) {
	var requests []wire.PoisonStatus
	err := c.call(ctx, http.MethodGet, "/v1/quarantine", nil, &requests, "list quarantine")
	return requests, err
}

// LiftQuarantine allows a request to run again and returns the remaining entries.
func (c *Client) LiftQuarantine(ctx context.Context, request string) ([]wire.PoisonStatus, error) {
	var remaining []wire.PoisonStatus
	err := c.call(ctx, http.MethodDelete, "/v1/quarantine/"+url.PathEscape(request), nil, &remaining, "lift quarantine")
	return remaining, err
}

// Status returns the state of the fleet as the node sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &status, "status")
	return status, err
}

// Runners returns the state of all runners, or of one if name is not empty.
func (c *Client) Runners(ctx context.Context, name string) ([]wire.RunnerStatus, error) {
	var runners []wire.RunnerStatus
	err := c.call(ctx, http.MethodGet, "/v1/runners?name="+url.QueryEscape(name), nil, &runners, "list runners")
	return runners, err
}

// ColdRunners is like Runners, but leaves out runners that are not cold.
func (c *Client) ColdRunners(ctx context.Context, name string) ([]wire.RunnerStatus, error) {
	var runners []wire.RunnerStatus
	err := c.call(ctx, http.MethodGet, "/v1/runners?cold=true&name="+url.QueryEscape(name), nil, &runners, "list runners")
	return runners, err
}

// Zones returns the state of all zones, or of one if name is not empty.
func (c *Client) Zones(ctx context.Context, name string) ([]wire.ZoneStatus, error) {
	var zones []wire.ZoneStatus
	err := c.call(ctx, http.MethodGet, "/v1/zones?name="+url.QueryEscape(name), nil, &zones, "list zones")
	return zones, err
}

// Tenants returns the configured tenants with their limits and use.
func (c *Client) Tenants(ctx context.Context) ([]TenantStatus, error) {
	var tenants []TenantStatus
	err := c.call(ctx, http.MethodGet, "/v1/tenants", nil, &tenants, "list tenants")
	return tenants, err
}

// DrainProgress returns the progress of a planned stop.
func (c *Client) DrainProgress(ctx context.Context, name string) (Progress, error) {
	var progress Progress
	err := c.call(ctx, http.MethodGet, "/v1/drains/"+url.PathEscape(name), nil, &progress, "drain progress")
	return progress, err
}

// watchLine is a line of a watch: an entry, a heartbeat, which has only a revision, or the error that ends the
// watch.
type watchLine struct {
	wire.Entry
	fault.Body
}

// Watch calls each for every log entry after a revision, until ctx ends, the node ends the
// list or each returns an error. A list that breaks off is an error.
func (c *Client) Watch(ctx context.Context, after uint64, each func(wire.Entry) error) error {
	const step = "watch"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address+"/v1/watch?after="+strconv.FormatUint(after, 10), nil)
	if err != nil {
		return fault.At(fault.CodeInternal, step, c.address, fault.NotDone, err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return transportError(err, step, c.address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.Read(response, step, c.address)
	}
	scanner := bufio.NewScanner(response.Body)
	scanner.Buffer(nil, maximumBody)
	for scanner.Scan() {
		var line watchLine
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			return fault.At(fault.CodeInternal, step, c.address, fault.Unknown, err)
		}
		if line.Error.Code != "" {
			return fault.FromBody(line.Body, step, c.address)
		}
		if line.Operation == "" { // a heartbeat
			continue
		}
		if err := each(line.Entry); err != nil {
			return err
		}
	}
	if err := ctx.Err(); err != nil {
		return err
	}
	if err := scanner.Err(); err != nil {
		return transportError(err, step, c.address)
	}
	return nil
}

func (c *Client) call(ctx context.Context, method, path string, body, result any, step string) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return fault.New(fault.CodeInternal, step, "%v", err)
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, content)
	if err != nil {
		return fault.At(fault.CodeInternal, step, c.address, fault.NotDone, err)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return transportError(err, step, c.address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fault.Read(response, step, c.address)
	}
	if err := json.NewDecoder(response.Body).Decode(result); err != nil {
		return fault.At(fault.CodeInternal, step, c.address, fault.Unknown, err)
	}
	return nil
}

func transportError(err error, step, address string) error {
	failure := fault.FromTransport(err, step, address)
	failure.Code = fault.CodeNotReady
	return failure
}
