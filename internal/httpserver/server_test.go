package httpserver

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// startServer starts a server that answers with the request path. ended receives the result of
// Serve.
func startServer(t *testing.T) (s *Server, address string, ended <-chan error) {
	t.Helper()
	s = New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	result := make(chan error, 1)
	go func() { result <- s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, listener.Addr().String(), result
}

// dial connects and waits until the server has accepted the connection.
func dial(t *testing.T, s *Server, address string) net.Conn {
	t.Helper()
	before := s.unreadCount()
	conn, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if s.unreadCount() > before {
			return poll.Success()
		}
		return poll.Continue("connection not accepted yet")
	}, poll.WithDelay(time.Millisecond))
	return conn
}

// get sends a request and returns the body of the response.
func get(conn net.Conn, path string) (body string, closes bool, err error) {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return "", false, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", false, err
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	return string(content), response.Close, err
}

// A request on a connection that was accepted before the shutdown was read, but its connection was
// closed without an answer.
func TestFirstRequestAfterShutdownIsAnswered(t *testing.T) {
	s, address, ended := startServer(t)
	conn := dial(t, s, address)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	assert.Assert(t, errors.Is(<-ended, http.ErrServerClosed))
	body, closes, err := get(conn, "/first")
	assert.NilError(t, err)
	assert.Equal(t, body, "/first")
	assert.Assert(t, closes)
	assert.NilError(t, <-stopped)
	_, err = net.Dial("tcp", address)
	assert.Assert(t, err != nil)
}

// Shutdown waits only for a bounded time for a connection that sends nothing.
func TestSilentConnectionDoesNotBlockShutdown(t *testing.T) {
	s, address, _ := startServer(t)
	dial(t, s, address)
	kept := dial(t, s, address)
	_, _, err := get(kept, "/kept")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), firstRequestTimeout/5)
	defer cancel()
	assert.Assert(t, errors.Is(s.Shutdown(ctx), context.DeadlineExceeded))
}

// Serve after Shutdown accepts no connections.
func TestShutdownBeforeServe(t *testing.T) {
	s := New(&http.Server{Handler: http.NotFoundHandler()})
	assert.NilError(t, s.Shutdown(t.Context()))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(s.Serve(listener), http.ErrServerClosed))
}
