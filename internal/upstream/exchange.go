package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/body"
	"lilacvane/internal/fault"
	"lilacvane/internal/place"
	"lilacvane/internal/statement"
	"lilacvane/internal/tunnel"
)

const (
	// maxInlineBody is the largest body that is written before the answer is awaited. A larger one
	// is written concurrently, as a runner may answer early.
	maxInlineBody = 4 << 10
	// mismatchedBodyLimit bounds, in bytes, the body of an answer to another request.
	mismatchedBodyLimit = 1 << 20
	// maxMismatched bounds how many answers to other requests are skipped.
	maxMismatched = 2
	// idleMargin is how long before the runner's own limit an idle connection is no longer used.
	idleMargin = time.Second
)

// Call is a request to one runner.
type Call struct {
	// Runner is the name of the runner that the request is meant for, Incarnation the runner's
	// incarnation, Address its ip:port.
	Runner      string
	Incarnation string
	Address     string
	Method      string
	// Target is the path and query as the client sent them.
	Target string
	Host   string
	Header http.Header
	Body   body.Body
	// RequestID is the identifier that the answer must carry.
	RequestID string
	// Fresh requires a new connection.
	Fresh bool
	// Proved requires a connection that is known to work, for a request that cannot be sent again
	// if nothing comes back: a new one, or one whose last answer ended within link.TrustedIdle.
	Proved bool
	// Direct allows only a connection of this node itself: orders of a service come from one machine.
	Direct bool
	// Homes are the only regions in which a peer may pass the call on.
	Homes place.Homes
	// Admit is called once there is a connection, right before the request is written; an error
	// ends the call. It may be nil, then the request is sent in any case.
	Admit func() error
}

// Framing says what marks the end of an answer's body.
type Framing string

// The framings.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with the connection, so that a runner that ends in the
	// middle of it looks like one that completed it.
	FramedByClose Framing = "close"
)

// bodyLength returns the length of a response's body, or -1. The length in a response to HEAD is that of a body
// which does not follow.
func bodyLength(response *http.Response) int64 {
	if response.Request.Method == http.MethodHead {
		return 0
	}
	return response.ContentLength
}

// framingOf returns the framing of a response. One to HEAD ends with its head.
func framingOf(response *http.Response) Framing {
	switch {
	case response.ContentLength >= 0, response.Request.Method == http.MethodHead:
		return FramedByLength
	case len(response.TransferEncoding) > 0:
		return FramedByChunks
	default:
		return FramedByClose
	}
}

// Answer is the beginning of a runner's answer. Its body must be read to the end or the answer
// closed.
type Answer struct {
	Status int
	Header http.Header
	// NotRun is set when the runner stated that it did not run the request.
	NotRun bool
	// Length is the body's length, or -1.
	Length int64
	// Via is the address of the peer through which the runner was reached; empty if directly.
	Via string
	// Framing says what marks the end of the body.
	Framing Framing

	body     io.ReadCloser
	conn     *connection
	pool     *Pool
	runner   string
	address  string
	written  <-chan error
	stop     func() bool
	reusable bool
	ended    bool
	// ctx is the request's context, lastRead is when the last bytes of the answer were read. sent is
	// when the request was about to be sent.
	ctx      context.Context
	lastRead time.Time
	sent     time.Time
}

// Do sends a call and returns the beginning of its answer. The error's outcome is NotDone only if
// no byte of the request can have reached the runner. When ctx ends, the connection is closed, also
// while the body is read: at once, or after readGrace if the deadline of ctx passed and part of the
// answer has arrived.
func (p *Pool) Do(ctx context.Context, call Call) (*Answer, error) {
	if ctx.Err() != nil {
		// Closing the connection would race with the first bytes.
		return nil, fault.At(fault.CodeCanceled, "send request", call.Address, fault.NotDone, context.Cause(ctx))
	}
	conn, err := p.acquire(ctx, call)
	if err != nil {
		return nil, err
	}
	if call.Admit != nil {
		if err := call.Admit(); err != nil {
			p.returnUnused(call.Runner, conn)
			return nil, fault.At(fault.CodeUnreachable, "send request", call.Address, fault.NotDone, err)
		}
	}
	stop := context.AfterFunc(ctx, func() { conn.expire(context.Cause(ctx)) })
	conn.beginExchange(call.RequestID)
	sent := time.Now()
	written, err := send(conn, call)
	if err != nil {
		return nil, p.failed(ctx, conn, stop, "send request", call, err)
	}
	response, err := p.readMatching(conn, call)
	if err != nil {
		return nil, p.failed(ctx, conn, stop, "read answer", call, err)
	}
	if !conn.idleSince.IsZero() && conn.tunnel == nil {
		p.trust.Answered(conn.idleSince)
	}
	p.Statements.ReadHeader(statement.Source{Runner: call.Incarnation, Request: call.RequestID}, response.StatusCode, response.Header)
	framing := framingOf(response)
	return &Answer{
		Status: response.StatusCode, Header: response.Header, Length: bodyLength(response),
		NotRun: response.Header.Get(p.names.NotRun) != "" || response.StatusCode == http.StatusMisdirectedRequest,
		Via:    conn.via(), Framing: framing, body: response.Body, conn: conn, pool: p, runner: call.Runner, address: call.Address, written: written, stop: stop, ctx: ctx, lastRead: time.Now(), sent: sent,
		reusable: !response.Close && framing != FramedByClose,
	}, nil
}

// failed discards a connection that gave no answer, and returns the call's error.
func (p *Pool) failed(ctx context.Context, conn *connection, stop func() bool, step string, call Call, cause error) error {
	stop()
	conn.discard()
	if errors.Is(cause, tunnel.ErrRefused) {
		return fault.At(fault.CodeUnreachable, step, call.Address, fault.NotDone, conn.describe(cause))
	}
	cause = conn.describe(cause)
	p.checkSilence(ctx, conn, step, call.Runner, conn.reusedSince(), cause)
	if !conn.idleSince.IsZero() {
		cause = &idleError{cause: cause}
	}
	return unknown(ctx, step, call.Address, cause)
}

// unknown returns an error whose outcome is unknown, as the request may have run.
func unknown(ctx context.Context, step, address string, cause error) error {
	code := fault.CodeInterrupted
	if ctx.Err() != nil {
		code = fault.CodeCanceled
	}
	return fault.At(code, step, address, fault.Unknown, cause)
}

// send writes the request. A large body is written concurrently; the channel receives the result.
func send(conn *connection, call Call) (<-chan error, error) {
	request := &http.Request{
		Method: call.Method, Host: call.Host, Header: call.Header,
		URL:           &url.URL{Scheme: "http", Host: call.Host, Opaque: call.Target},
		ContentLength: int64(call.Body.Len()),
	}
	if call.Body.Len() > 0 {
		request.Body = io.NopCloser(call.Body.Reader())
	} else if call.Method == http.MethodPost || call.Method == http.MethodPut {
		request.Body = http.NoBody
	}
	written := make(chan error, 1)
	if call.Body.Len() <= maxInlineBody {
		err := write(conn, request)
		written <- err
		return written, err
	}
	go func() { written <- write(conn, request) }()
	return written, nil
}

// write writes a request to a connection.
func write(conn *connection, request *http.Request) error {
	writer := bufio.NewWriterSize(conn, bufferSize)
	if err := request.Write(writer); err != nil {
		return err
	}
	return writer.Flush()
}

// readMatching reads answers until the one that carries the request's identifier. A new connection
// must begin with that one.
func (p *Pool) readMatching(conn *connection, call Call) (*http.Response, error) {
	for range maxMismatched + 1 {
		response, err := readFinal(conn, call.Method)
		if err != nil {
			return nil, err
		}
		if err := p.checkIdentity(response.Header); err != nil {
			return nil, err
		}
		if response.Header.Get(p.names.RequestID) == call.RequestID {
			conn.served++
			return response, nil
		}
		if framingOf(response) == FramedByClose || conn.served == 0 {
			return nil, errors.New("answer to another request")
		}
		if _, err := io.CopyN(io.Discard, response.Body, mismatchedBodyLimit); err != io.EOF {
			return nil, errors.New("unfinished answer to another request")
		}
	}
	return nil, errors.New("answers to other requests only")
}

// checkIdentity returns an error if an answer shows neither whose it is nor who wrote it, as it bears several identifiers
// or signatures.
func (p *Pool) checkIdentity(header http.Header) error {
	for _, name := range []string{p.names.RequestID, p.names.Signature} {
		values := header.Values(name)
		if slices.ContainsFunc(values, func(value string) bool { return value != values[0] }) {
			return fmt.Errorf("the answer has several values of %s", name)
		}
	}
	return nil
}

// errSwitched is the error of a runner that changes the protocol of a connection, which no request asks for.
var errSwitched = errors.New("the runner changes the protocol of the connection")

// readFinal reads the head of an answer, skipping interim ones.
func readFinal(conn *connection, method string) (*http.Response, error) {
	response, err := conn.reader.ReadHead(method)
	if err != nil {
		return nil, err
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		return nil, errSwitched
	}
	return response, nil
}

// AwaitBody waits until the first byte of the body has arrived, if there is a body. It returns an
// error if the connection ends before that.
func (a *Answer) AwaitBody() error {
	if a.Length == 0 {
		return nil
	}
	if _, err := a.conn.reader.Peek(1); err != nil {
		return fault.At(fault.CodeInterrupted, "read answer", a.address, fault.Unknown, err)
	}
	return nil
}

// Read reads the body. io.EOF means that the answer is complete.
func (a *Answer) Read(buffer []byte) (int, error) {
	count, err := a.body.Read(buffer)
	if err == io.EOF {
		a.finish()
		return count, io.EOF
	}
	if err != nil {
		a.Close()
		a.pool.checkSilence(a.ctx, a.conn, "read answer", a.runner, a.lastRead, err)
		return count, fault.At(fault.CodeInterrupted, "read answer", a.address, fault.Unknown, err)
	}
	a.lastRead = time.Now()
	return count, nil
}

// finish keeps the connection for reuse if nothing but the complete request and the complete answer
// went over it.
func (a *Answer) finish() {
	if a.ended {
		return
	}
	a.ended = true
	reusable := a.stop() && a.reusable && a.conn.reader.Buffered() == 0
	select {
	case err := <-a.written:
		reusable = reusable && err == nil
	default:
		reusable = false
	}
	if !reusable {
		a.conn.discard()
		return
	}
	if !a.conn.endExchange() {
		a.conn.discard()
		return
	}
	a.pool.release(a.runner, a.conn, keepAliveTime(a.Header))
}

// Close ends the exchange. Unless the answer is complete, its connection is closed.
func (a *Answer) Close() {
	if a.ended {
		return
	}
	a.ended = true
	a.stop()
	a.conn.discard()
}

// keepAliveTime returns how long a connection may stay idle according to the runner; zero when it
// gave no time, negative when the connection may not stay idle at all.
func keepAliveTime(header http.Header) time.Duration {
	for _, value := range header.Values("Keep-Alive") {
		for parameter := range strings.SplitSeq(value, ",") {
			name, text, _ := strings.Cut(strings.TrimSpace(parameter), "=")
			seconds, err := strconv.Atoi(text)
			if strings.EqualFold(name, "timeout") && err == nil {
				idle := time.Duration(seconds) * time.Second
				return max(idle-idleMargin, idle/2)
			}
		}
	}
	return 0
}
