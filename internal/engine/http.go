package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/traffic"
)

const (
	maximumLine  = 1 << 20
	idlePerHost  = 64
	idleTimeout  = 60 * time.Second
	dialTimeout  = time.Second
	eventPrefix  = "data: "
	eventDone    = "[DONE]"
	readBuffer   = 4 << 10
	maximumState = 4 << 20
)

// Dialer opens clients of engines that share one pool of connections.
type Dialer struct {
	stream  *http.Client
	control *http.Client
}

// NewDialer returns a dialer whose calls go out from local, if that is not nil.
// Control calls count in counter, streams do not.
func NewDialer(local net.IP, counter *traffic.Counter) *Dialer {
	return &Dialer{
		stream:  &http.Client{Transport: newTransport(local, &traffic.Counter{})},
		control: &http.Client{Transport: newTransport(local, counter), Timeout: ControlTimeout},
	}
}

func newTransport(local net.IP, counter *traffic.Counter) *http.Transport {
	return &http.Transport{
		DialContext:           traffic.Dialer(local, dialTimeout, counter),
		MaxIdleConnsPerHost:   idlePerHost,
		IdleConnTimeout:       idleTimeout,
		DisableCompression:    true,
		ResponseHeaderTimeout: HeaderTimeout,
	}
}

// Engine returns the client of the engine at address (ip:port).
func (d *Dialer) Engine(address string) *Client {
	return &Client{address: address, base: "http://" + address, dialer: d}
}

// Client is the HTTP form of Control and Inference.
type Client struct {
	address string
	base    string
	dialer  *Dialer
}

// State reads the engine's report.
func (c *Client) State(ctx context.Context) (State, error) {
	return c.control(ctx, http.MethodGet, PathState, nil, "read engine state")
}

// Send carries out an order.
func (c *Client) Send(ctx context.Context, order Order) (State, error) {
	content, err := json.Marshal(order)
	if err != nil {
		return State{}, fault.New(fault.CodeInternal, "encode order", "%v", err)
	}
	return c.control(ctx, http.MethodPost, PathOrders, content, "order "+string(order.Kind))
}

func (c *Client) control(ctx context.Context, method, path string, body []byte, step string) (State, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return State{}, fault.At(fault.CodeInternal, step, c.address, fault.NotDone, err)
	}
	response, err := c.dialer.control.Do(request)
	if err != nil {
		return State{}, fault.Transport(err, step, c.address)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return State{}, fault.Read(response, step, c.address)
	}
	var state State
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumState)).Decode(&state); err != nil {
		return State{}, fault.Transport(err, step, c.address)
	}
	return state, nil
}

// Start runs a request.
func (c *Client) Start(ctx context.Context, call Call) (Stream, error) {
	const step = "start inference"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.At(fault.CodeInternal, step, c.address, fault.NotDone, err)
	}
	// Without GetBody the transport never sends a request a second time by
	// itself, which it otherwise does when a kept connection turns out closed.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(HeaderRequest, call.Request)
	request.Header.Set(HeaderUnit, call.Unit)
	request.Header.Set(HeaderVersion, call.Version)
	request.Header.Set(HeaderPriority, strconv.Itoa(call.Priority))
	return c.open(request, call.Request, step)
}

// Resume continues a stream.
func (c *Client) Resume(ctx context.Context, id string, from int) (Stream, error) {
	const step = "resume inference"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathStreams+id+"?from="+strconv.Itoa(from), nil)
	if err != nil {
		return nil, fault.At(fault.CodeInternal, step, c.address, fault.NotDone, err)
	}
	return c.open(request, id, step)
}

// Cancel stops a request.
func (c *Client) Cancel(ctx context.Context, id string) error {
	const step = "cancel inference"
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, c.base+PathStreams+id, nil)
	if err != nil {
		return fault.At(fault.CodeInternal, step, c.address, fault.NotDone, err)
	}
	response, err := c.dialer.control.Do(request)
	if err != nil {
		return fault.Transport(err, step, c.address)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return fault.Read(response, step, c.address)
	}
	return nil
}

func (c *Client) open(request *http.Request, id, step string) (Stream, error) {
	response, err := c.dialer.stream.Do(request)
	if err != nil {
		failed := fault.Transport(err, step, c.address)
		failed.Code = fault.CodeInterrupted
		return nil, failed
	}
	if response.StatusCode != http.StatusOK {
		defer response.Body.Close()
		return nil, fault.Read(response, step, c.address)
	}
	active, _ := strconv.Atoi(response.Header.Get(HeaderActive))
	return &eventStream{
		body: response.Body, reader: bufio.NewReaderSize(response.Body, readBuffer),
		peer: c.address, request: id, active: active,
	}, nil
}

// eventStream reads server-sent events.
type eventStream struct {
	body    io.ReadCloser
	reader  *bufio.Reader
	peer    string
	request string
	active  int
}

func (s *eventStream) Active() int { return s.active }

func (s *eventStream) Close() { _ = s.body.Close() }

func (s *eventStream) Next() (Chunk, error) {
	const step = "read answer"
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return Chunk{}, fault.At(fault.CodeInterrupted, step, s.peer, fault.Unknown, err)
		}
		content, isEvent := strings.CutPrefix(strings.TrimRight(line, "\r\n"), eventPrefix)
		if !isEvent || content == eventDone {
			continue
		}
		if len(content) > maximumLine {
			return Chunk{}, fault.At(fault.CodeTooLarge, step, s.peer, fault.Unknown, nil)
		}
		var chunk Chunk
		if err := json.Unmarshal([]byte(content), &chunk); err != nil {
			return Chunk{}, fault.At(fault.CodeInterrupted, step, s.peer, fault.Unknown, err)
		}
		return chunk, nil
	}
}
