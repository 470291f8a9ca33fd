package httpserver

import (
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateListener accepts connections of a process that reads late.
type lateListener struct {
	net.Listener
	delay time.Duration
	// read counts the bytes read from all connections.
	read atomic.Int64
	// holding is closed once a request for /held has reached the handler.
	holding chan struct{}
}

// lateConn is a connection from which each read returns late.
type lateConn struct {
	net.Conn
	listener *lateListener
}

func (l *lateListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return lateConn{conn, l}, err
}

func (c lateConn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if count > 0 {
		c.listener.read.Add(int64(count))
		time.Sleep(c.listener.delay)
	}
	return count, err
}

// startLateServer starts a server that reads late and answers with the request path. The path /held is answered
// once the test is done. ended receives the result of Serve.
func startLateServer(t *testing.T, delay time.Duration) (s *Server, listener *lateListener, ended <-chan error) {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener = &lateListener{Listener: inner, delay: delay, holding: make(chan struct{})}
	s = New(&http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/held" {
			close(listener.holding)
			<-r.Context().Done()
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})})
	result := make(chan error, 1)
	go func() { result <- s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return s, listener, result
}

// TestLateFirstRequestWasReadAndNotAnswered: the first request of a connection is sent before firstRequestTimeout has
// passed and read afterwards, as the process lacks processor time.
func TestLateFirstRequestWasReadAndNotAnswered(t *testing.T) {
	const delay = 300 * time.Millisecond
	s, listener, ended := startLateServer(t, delay)
	conn := dial(t, s, listener.Addr().String())
	go func() { _ = s.Shutdown(t.Context()) }()
	assert.Assert(t, errors.Is(<-ended, http.ErrServerClosed))
	time.Sleep(firstRequestTimeout - delay/2)
	body, _, err := get(conn, "/first")
	assert.NilError(t, err)
	assert.Equal(t, body, "/first")
}

// TestRequestWasReadAndDroppedInShutdown: while a request keeps a shutdown waiting, what comes on connections that
// are new, or were kept, was read and their connections were closed without an answer. Nothing is read that is not
// answered.
func TestRequestWasReadAndDroppedInShutdown(t *testing.T) {
	for _, kept := range []bool{false, true} {
		t.Run(map[bool]string{false: "new", true: "kept"}[kept], func(t *testing.T) {
			t.Parallel()
			s, listener, ended := startLateServer(t, 0)
			held := dial(t, s, listener.Addr().String())
			_, err := io.WriteString(held, "GET /held HTTP/1.1\r\nHost: h\r\n\r\n")
			assert.NilError(t, err)
			<-listener.holding
			conn := dial(t, s, listener.Addr().String())
			if kept {
				_, _, err := get(conn, "/before")
				assert.NilError(t, err)
			}
			go func() { _ = s.Shutdown(t.Context()) }()
			assert.Assert(t, errors.Is(<-ended, http.ErrServerClosed))
			time.Sleep(firstRequestTimeout + 100*time.Millisecond)
			before := listener.read.Load()
			body, _, err := get(conn, "/late")
			assert.Assert(t, err == nil && body == "/late" || listener.read.Load() == before, "%v", err)
		})
	}
}
