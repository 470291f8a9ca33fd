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

// serve starts a server that answers with the path, and returns what its Serve returns.
func serve(t *testing.T) (s *Server, address string, ended <-chan error) {
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

// dial connects and waits until the server has accepted.
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
		return poll.Continue("not accepted")
	}, poll.WithDelay(time.Millisecond))
	return conn
}

// ask sends a request and returns its answer's body.
func ask(conn net.Conn, path string) (body string, closes bool, err error) {
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

// TestFirstRequestAfterShutdownIsAnswered: a request on a connection that was accepted before the
// stop was read and its connection closed without an answer.
func TestFirstRequestAfterShutdownIsAnswered(t *testing.T) {
	s, address, ended := serve(t)
	conn := dial(t, s, address)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	assert.Assert(t, errors.Is(<-ended, http.ErrServerClosed))
	body, closes, err := ask(conn, "/first")
	assert.NilError(t, err)
	assert.Equal(t, body, "/first")
	assert.Assert(t, closes)
	assert.NilError(t, <-stopped)
	_, err = net.Dial("tcp", address)
	assert.Assert(t, err != nil)
}

// TestSilentConnectionsHoldUpNoShutdown: one that sends nothing is waited for, for a bounded time.
func TestSilentConnectionsHoldUpNoShutdown(t *testing.T) {
	s, address, _ := serve(t)
	dial(t, s, address)
	kept := dial(t, s, address)
	_, _, err := ask(kept, "/kept")
	assert.NilError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), firstRequestLimit/5)
	defer cancel()
	assert.Assert(t, errors.Is(s.Shutdown(ctx), context.DeadlineExceeded))
}

// TestShutdownBeforeServe: nothing is accepted.
func TestShutdownBeforeServe(t *testing.T) {
	s := New(&http.Server{Handler: http.NotFoundHandler()})
	assert.NilError(t, s.Shutdown(t.Context()))
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(s.Serve(listener), http.ErrServerClosed))
}
