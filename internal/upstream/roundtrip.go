package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"lilacvane/internal/body"
)

// drainLimit bounds, in bytes, what is read of an answer after its reader is done, so that its
// connection can be used again.
const drainLimit = 4 << 10

// idleError is the failure of a connection that had been idle, which its runner may have given up
// since.
type idleError struct{ cause error }

// Error says that the connection had been idle.
func (e *idleError) Error() string { return "connection that had rested: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *idleError) Unwrap() error { return e.cause }

// incarnationKey is the context's key of the incarnation that a request of the node itself is meant
// for.
type incarnationKey struct{}

// WithIncarnation names the incarnation that a request with the context is meant for, so that
// statements in the answer are attributed to that incarnation.
func WithIncarnation(ctx context.Context, id string) context.Context {
	return context.WithValue(ctx, incarnationKey{}, id)
}

// incarnationOf returns the incarnation that WithIncarnation named; empty for none.
func incarnationOf(ctx context.Context) string {
	id, _ := ctx.Value(incarnationKey{}).(string)
	return id
}

// RoundTrip sends a request of the node itself, such as one for a runner's load, on the connections
// that carry the requests of clients. The runner is the one that the header HeaderNames.ExpectRunner
// names. A GET that failed on a connection that had been idle is sent once more, on a new one;
// others, such as orders, are sent once, on one that is known to work and leads through no peer.
func (p *Pool) RoundTrip(request *http.Request) (*http.Response, error) {
	content, err := readBody(request)
	if err != nil {
		return nil, err
	}
	call := Call{
		Runner: request.Header.Get(p.names.ExpectRunner), Incarnation: incarnationOf(request.Context()), Address: request.URL.Host, Method: request.Method,
		Target: request.URL.RequestURI(), Host: request.URL.Host, Header: request.Header, Body: body.New(content),
	}
	call.Proved = request.Method != http.MethodGet
	call.Direct = request.Method != http.MethodGet
	answer, err := p.Do(request.Context(), call)
	var idle *idleError
	if errors.As(err, &idle) && request.Method == http.MethodGet && request.Context().Err() == nil {
		call.Fresh = true
		answer, err = p.Do(request.Context(), call)
	}
	if err != nil {
		return nil, err
	}
	return &http.Response{
		Status: strconv.Itoa(answer.Status) + " " + http.StatusText(answer.Status), StatusCode: answer.Status,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: answer.Header, Body: internalBody{answer}, ContentLength: answer.Length, Request: request,
	}, nil
}

func readBody(request *http.Request) ([]byte, error) {
	if request.Body == nil {
		return nil, nil
	}
	defer request.Body.Close()
	return io.ReadAll(request.Body)
}

// internalBody is the body of an answer to a request of the node itself.
type internalBody struct{ *Answer }

// Close ends the answer. A short remainder is read first, so that the connection can be reused.
func (a internalBody) Close() error {
	if !a.ended {
		// An error closes the connection, which is harmless here.
		_, _ = io.CopyN(io.Discard, a.Answer, drainLimit)
	}
	a.Answer.Close()
	return nil
}
