package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
)

// endsSlowly serves one request as a process that ends in the middle of an answer without framing: its
// connection ends first, and the kernel completes further ones until the listener is closed, which takes
// closing. It returns its address.
func endsSlowly(t *testing.T, closing time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		defer listener.Close()
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+request.Header.Get("X-Id")+"\r\nX-Signature: s\r\n\r\npart")
		}
		_ = conn.Close()
		time.Sleep(closing)
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-ended
	})
	return listener.Addr().String()
}

// checkHealth is a Dispatcher.Alive over the job's pool.
func (j *job) checkHealth(ctx context.Context, runner backend.Runner, path string) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+runner.Address+path, nil)
	if err != nil {
		return err
	}
	request.Header.Set("X-Runner", runner.Name())
	answer, err := j.dispatcher.Pool.RoundTrip(request)
	if err != nil {
		return err
	}
	return answer.Body.Close()
}

// TestRunnerThatEndedStillAcceptedConnections: a runner crashed in the middle of an answer without framing, and
// its address accepted a connection, which stayed open, until the process had closed its listener. Its client got
// the part as a success.
func TestRunnerThatEndedStillAcceptedConnections(t *testing.T) {
	t.Parallel()
	const closing = 70 * time.Millisecond
	j, written, _ := unframedJob(t, ends("", "unused"))
	j.dispatcher.Fleet.Replace([]backend.Runner{{ID: "r1", Service: "s", Slots: 1, Address: endsSlowly(t, closing)}}, false)
	j.dispatcher.Alive, j.healthPath = j.checkHealth, "/health"
	j.route.Kind = config.Unsafe
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, written.Code, http.StatusBadGateway, "%s", written.Body)
}

// TestHealthCheckOfUnframedAnswer checks what the answer to a health check shows, and which runners get none.
func TestHealthCheckOfUnframedAnswer(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		path   string
		alive  error
		checks int
		status int
	}{
		"the incarnation answers": {path: "/health", checks: 1, status: http.StatusOK},
		"another one answers":     {path: "/health", alive: fault.New(fault.CodeNotFound, "check health", "another"), checks: 1, status: http.StatusBadGateway},
		"nothing is shown":        {path: "/health", alive: io.ErrUnexpectedEOF, checks: 1, status: http.StatusOK},
		"no path":                 {status: http.StatusOK},
		"no absolute path":        {path: "@h/", status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j, written, _ := unframedJob(t, ends("", "whole"))
			checks := 0
			j.healthPath = test.path
			j.dispatcher.Alive = func(context.Context, backend.Runner, string) error {
				checks++
				return test.alive
			}
			j.route.Kind = config.Unsafe
			for j.attempt(t.Context()) {
			}
			assert.Equal(t, written.Code, test.status)
			assert.Equal(t, checks, test.checks)
		})
	}
}
