// Package peer carries the messages of package wire between nodes as CBOR bodies
// over HTTP on the peer port.
package peer

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/inbound"
	"lilacvane/internal/link"
	"lilacvane/internal/place"
	"lilacvane/internal/traffic"
	"lilacvane/internal/wire"
)

const (
	pathPrefix = "/peer/"
	headerFrom = "From-Node"
	// headerRegion asks a peer for its region, and carries the answer: in the first call to it, and in
	// each whose connection it takes over.
	headerRegion = "Node-Region"
	// maximumIdle is the maximum number of idle connections of a client, idlePerHost that to one
	// node. It is enough for the calls that one node holds open at another.
	maximumIdle = 64
	idlePerHost = 8
	idleTimeout = 30 * time.Second
	readTimeout = 30 * time.Second
	// messageCopies is how many times the memory of a message its decoding takes.
	messageCopies = 2
	// statusPeerFailed is the status of a response whose body is a failure.
	statusPeerFailed = http.StatusUnprocessableEntity
)

// failure is the encoded form of a fault.Error.
type failure struct {
	Code    fault.Code `cbor:"1,keyasint"`
	Step    string     `cbor:"2,keyasint"`
	Peer    string     `cbor:"3,keyasint"`
	Ran     string     `cbor:"4,keyasint"`
	Message string     `cbor:"5,keyasint"`
	// RetryAfter is in milliseconds.
	RetryAfter int64 `cbor:"6,keyasint"`
}

// Server answers the calls of other nodes. All handlers must be added with Handle before Serve.
type Server struct {
	mux    *http.ServeMux
	node   string
	region place.Region
	guard  *inbound.Guard
	server *http.Server
}

// NewServer returns a server that uses node as its name in errors. guard bounds the memory of messages.
func NewServer(node string, guard *inbound.Guard) *Server {
	mux := http.NewServeMux()
	s := &Server{mux: mux, node: node, guard: guard}
	s.server = guard.Attach(&http.Server{Handler: mux, ReadTimeout: readTimeout, IdleTimeout: idleTimeout}, s.refuse)
	return s
}

// SetRegion sets the region of the node. It must be called before Serve.
func (s *Server) SetRegion(region place.Region) { s.region = region }

// Handle registers the handler of a method. An error that it returns is sent to the caller.
func Handle[Request, Response any](s *Server, method string, handler func(context.Context, Request) (Response, error)) {
	s.mux.HandleFunc("POST "+pathPrefix+method, func(w http.ResponseWriter, r *http.Request) {
		s.answerRegion(w, r)
		var request Request
		if !s.readRequest(w, r, method, &request) {
			return
		}
		response, err := handler(r.Context(), request)
		if err != nil {
			writeFailure(w, s.node, fault.From(err, method))
			return
		}
		writeMessage(w, http.StatusOK, response)
	})
}

// readRequest decodes the message of a call into target, a pointer. It returns false if it has answered the call with an
// error.
func (s *Server) readRequest(w http.ResponseWriter, r *http.Request, method string, target any) bool {
	content, err := inbound.ReadBody(r, wire.MaximumMessageBytes, messageCopies)
	if err == nil {
		err = wire.Decode(content.Bytes(), r.Header.Get(headerFrom), target)
	}
	if err != nil {
		inbound.Refuse(w, r, func(w http.ResponseWriter) { s.refuse(w, r, fault.From(err, method)) })
		return false
	}
	return true
}

// refuse answers a call with an error.
func (s *Server) refuse(w http.ResponseWriter, _ *http.Request, problem *fault.Error) {
	writeFailure(w, s.node, problem)
}

// readMessage decodes a body received from a peer into target.
func readMessage(body io.Reader, from string, target any) error {
	content, err := io.ReadAll(io.LimitReader(body, wire.MaximumMessageBytes+1))
	if err != nil {
		return fault.At(fault.CodeInvalid, "read message", from, fault.NotDone, err)
	}
	return wire.Decode(content, from, target)
}

// writeMessage responds with a message, without the headers that peers do not use.
func writeMessage(w http.ResponseWriter, status int, message any) {
	content, err := wire.Encode(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header()["Date"] = nil
	w.Header()["Content-Type"] = nil
	w.WriteHeader(status)
	_, _ = w.Write(content)
}

// writeFailure responds with an error. node replaces fault.Self as its peer.
func writeFailure(w http.ResponseWriter, node string, e *fault.Error) {
	peer := e.Peer
	if peer == fault.Self {
		peer = node
	}
	message := e.Message
	if e.Cause != nil {
		message += " " + e.Cause.Error()
	}
	writeMessage(w, statusPeerFailed, failure{
		Code: e.Code, Step: e.Step, Peer: peer, Ran: e.Ran.String(),
		Message: message, RetryAfter: e.RetryAfter.Milliseconds(),
	})
}

// Serve answers calls on the listener until Close.
func (s *Server) Serve(listener net.Listener) error {
	return s.server.Serve(s.guard.Listener(listener))
}

// Close closes the server and its connections.
func (s *Server) Close() error { return s.server.Close() }

// Client calls other nodes.
type Client struct {
	http  *http.Client
	node  string
	links *link.Record
	// meter counts the traffic to other regions; it may be nil.
	meter *traffic.Meter
}

// NewClient returns a client that uses node as its name. Calls are bounded by their context. links
// counts connections; it may be nil.
func NewClient(node string, links *link.Record) *Client {
	transport := link.NewTransport(link.Peer, links, maximumIdle, idlePerHost)
	return &Client{http: &http.Client{Transport: transport}, node: node, links: links}
}

// SetMeter sets the meter that counts calls to other regions. It must be called before the first
// call.
func (c *Client) SetMeter(meter *traffic.Meter) { c.meter = meter }

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Call sends a message and decodes the answer into response, a pointer. Errors are of type
// *fault.Error and state whether the peer may have acted. If the peer cannot be reached, the code
// is fault.CodeNotReady.
func (c *Client) Call(ctx context.Context, address, method string, request, response any) error {
	content, err := wire.Encode(request)
	if err != nil {
		return err
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+pathPrefix+method, bytes.NewReader(content))
	if err != nil {
		return fault.At(fault.CodeInternal, method, address, fault.NotDone, err)
	}
	call.Header["User-Agent"] = []string{""}
	call.Header.Set(headerFrom, c.node)
	learn := c.meter != nil && !c.meter.Knows(address)
	if learn {
		call.Header.Set(headerRegion, "?")
	}
	answer, err := c.http.Do(call)
	if err != nil {
		failed := fault.FromTransport(err, method, address)
		failed.Code = fault.CodeNotReady
		return failed
	}
	defer answer.Body.Close()
	if learn {
		c.meter.Learn(address, place.Region(answer.Header.Get(headerRegion)))
	}
	body := &countedBody{Reader: answer.Body}
	if c.meter != nil {
		defer func() { c.meter.Exchanged(address, purposeOf(method), len(content), body.count) }()
	}
	if answer.StatusCode == statusPeerFailed {
		return readFailure(body, address)
	}
	if answer.StatusCode != http.StatusOK {
		return &fault.Error{Code: fault.CodeInternal, Step: method, Peer: address, Ran: fault.Unknown, Message: answer.Status}
	}
	return readMessage(body, address, response)
}

// countedBody counts the bytes read from an answer.
type countedBody struct {
	io.Reader
	count int
}

// Read reads and counts.
func (b *countedBody) Read(buffer []byte) (int, error) {
	read, err := b.Reader.Read(buffer)
	b.count += read
	return read, err
}

// purposeOf returns the traffic purpose of a call.
func purposeOf(method string) traffic.Purpose {
	switch method {
	case wire.MethodSync, wire.MethodPoison:
		return traffic.Demand
	case wire.MethodFollow, wire.MethodRelay, wire.MethodLease:
		return traffic.Relay
	case wire.MethodSpend, wire.MethodDivision:
		return traffic.Limits
	default:
		return traffic.Operators
	}
}

// readFailure returns the error in the body of a response.
func readFailure(body io.Reader, address string) error {
	var f failure
	if err := readMessage(body, address, &f); err != nil {
		return err
	}
	return &fault.Error{
		Code: f.Code, Step: f.Step, Peer: f.Peer, Ran: fault.ParseOutcome(f.Ran),
		Message: f.Message, RetryAfter: time.Duration(f.RetryAfter) * time.Millisecond,
	}
}
