package test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

// persistentClient sends requests to one node on a connection that it reuses until the node
// closes it or ends. It never retries a request.
type persistentClient struct {
	node   *world.Node
	conn   net.Conn
	reader *bufio.Reader
	// dialed is when dialing began, connected when it returned.
	dialed, connected time.Time
}

// requestResult is the result of a request on a persistent connection.
type requestResult struct {
	request clientRequest
	answer  clientAnswer
	node    *world.Node
	// used is set when the connection had carried a request before.
	used bool
	// dialed is when dialing began, connected when it returned, sent when writing the
	// request was about to begin, end when the answer ended.
	dialed, connected, sent, end time.Time
	// problem is why no complete answer came, or nil if one did.
	problem error
}

// do sends a request and reads its answer. It returns false if no connection could be made
// and nothing was sent.
func (k *persistentClient) do(c clientRequest) (requestResult, bool) {
	result := requestResult{request: c, node: k.node, used: k.conn != nil, answer: clientAnswer{ID: c.ID}}
	if k.conn == nil {
		k.dialed = time.Now()
		conn, err := net.DialTimeout("tcp", k.node.Clients, time.Second)
		if err != nil {
			return result, false
		}
		k.conn, k.reader, k.connected = conn, bufio.NewReader(conn), time.Now()
	}
	result.dialed, result.connected = k.dialed, k.connected
	result.sent = time.Now()
	_ = k.conn.SetDeadline(result.sent.Add(c.Deadline + answerMargin))
	if result.problem = newRequest(c, k.node).Write(k.conn); result.problem == nil {
		k.read(&result)
	} else {
		k.close()
	}
	result.end = time.Now()
	return result, true
}

// read reads an answer and closes the connection unless it can be reused.
func (k *persistentClient) read(result *requestResult) {
	response, err := http.ReadResponse(k.reader, nil)
	if err != nil {
		result.problem = err
		k.close()
		return
	}
	content, err := io.ReadAll(response.Body)
	result.problem = err
	result.answer.record(response, content, err)
	if err != nil || response.Close {
		k.close()
	}
}

func (k *persistentClient) close() {
	if k.conn != nil {
		_ = k.conn.Close()
		k.conn = nil
	}
}

// newRequest returns a client's request as it is sent on the wire.
func newRequest(c clientRequest, node *world.Node) *http.Request {
	request, err := http.NewRequest(c.Method, "http://"+node.Clients+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		// Tests only use valid paths and methods.
		panic(err)
	}
	c.setHeaders(request)
	return request
}

// setHeaders sets a request's host and headers.
func (c *clientRequest) setHeaders(request *http.Request) {
	request.Host = world.RouteHost
	request.Header.Set(protocol.HeaderRequestID, c.ID)
	request.Header.Set(protocol.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	for name, values := range c.Header {
		request.Header[name] = values
	}
	if c.Key != "" {
		request.Header.Set(protocol.HeaderKey, protocol.KeyScheme+" "+c.Key)
	}
	if c.Model != "" && (strings.HasPrefix(c.Path, "/draft/") || strings.HasPrefix(c.Path, "/reply/")) {
		request.Header.Set(protocol.HeaderModel, c.Model)
		request.Header.Set(protocol.HeaderTokens, "20,"+strconv.Itoa(max(c.Events, 1)))
		request.Header.Set(protocol.HeaderPrompt, c.prompt())
	}
}

// prompt returns the parts of the prompt as they are sent.
func (c *clientRequest) prompt() string {
	parts := c.Parts
	if len(parts) == 0 {
		parts = []string{"aa"}
	}
	return strings.Join(append(slices.Clone(parts), c.ID), ":10,") + ":10"
}

// record stores what a client read.
func (a *clientAnswer) record(response *http.Response, content []byte, err error) {
	a.Status, a.Body, a.Complete = response.StatusCode, string(content), err == nil
	a.Signature = response.Header.Get(protocol.HeaderSignature)
	a.RetryAfter = response.Header.Get("Retry-After")
	a.CloseDelimited = response.ContentLength < 0 && len(response.TransferEncoding) == 0
	a.Events = strings.Count(a.Body, "\n\n")
}
