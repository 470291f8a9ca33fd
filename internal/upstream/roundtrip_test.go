package upstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/link"
)

// serveAll serves a runner that answers all requests of a connection.
func serveAll(t *testing.T, body string) *scriptedRunner {
	return serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			id, err := s.next(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, body))
		}
	})
}

// internalNames names the header by which RoundTrip finds the runner.
var internalNames = HeaderNames{RequestID: testNames.RequestID, NotRun: testNames.NotRun, ExpectRunner: "X-Runner"}

// post sends a POST of the node itself to a runner.
func post(t *testing.T, client *http.Client, s *scriptedRunner) *http.Response {
	t.Helper()
	response, err := sendInternal(t, client, s, http.MethodPost)
	assert.NilError(t, err)
	return response
}

// sendInternal sends a request of the node itself to a runner.
func sendInternal(t *testing.T, client *http.Client, s *scriptedRunner, method string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.listener.Addr().String()+"/load?x=1", strings.NewReader("{}"))
	assert.NilError(t, err)
	request.Header.Set(internalNames.ExpectRunner, "r")
	return client.Do(request)
}

// TestOrdersAreSentOnce: when a runner closes a connection as the next request arrives on it, a GET
// is sent again on a new one, but an order (POST) is not.
func TestOrdersAreSentOnce(t *testing.T) {
	for method, sent := range map[string]int32{http.MethodGet: 3, http.MethodPost: 2} {
		s := serveScript(t, func(s *scriptedRunner, number int, conn net.Conn) {
			reader := bufio.NewReader(conn)
			id, err := s.next(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, "whole"))
			_, _ = s.next(reader)
		})
		pool := NewPool(internalNames)
		leaveIdle(t, pool, s, "r", 1)
		response, err := sendInternal(t, &http.Client{Transport: pool}, s, method)
		assert.Equal(t, s.requests.Load(), sent, "%s: %v", method, err)
		assert.Equal(t, err == nil, method == http.MethodGet)
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
	}
}

// TestInternalRequestsShareConnections checks that an internal request and the client request
// that follows need one connection, also when the answer to the internal one is not read to its
// end.
func TestInternalRequestsShareConnections(t *testing.T) {
	s := serveAll(t, `{"queued":3}  `)
	pool := NewPool(internalNames)
	client := &http.Client{Transport: pool}
	for number := range 3 {
		response := post(t, client, s)
		var report struct{ Queued int }
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&report))
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, report.Queued, 3)
		unread := post(t, client, s)
		assert.NilError(t, unread.Body.Close())
		_, err := exchange(pool, s.call(strconv.Itoa(number)))
		assert.NilError(t, err)
	}
	assert.Equal(t, s.accepted.Load(), int32(1))
	assert.Equal(t, s.requests.Load(), int32(9))
}

// TestLateAnswerIsSkippedByInternalRequest checks that an internal request skips an extra answer to
// the client request before it.
func TestLateAnswerIsSkippedByInternalRequest(t *testing.T) {
	s := serveScript(t, lateExtra(func(string) string { return answerText("", "own") }))
	pool := NewPool(internalNames)
	_, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	response := post(t, &http.Client{Transport: pool}, s)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "own")
	assert.NilError(t, response.Body.Close())
}

// TestIdleConnectionsAreBounded checks that idle connections are bounded in total and per runner,
// and that the one that has been idle longest is closed first.
func TestIdleConnectionsAreBounded(t *testing.T) {
	s := serveAll(t, "whole")
	pool := NewPool(testNames)
	pool.Links = &link.Record{}
	leaveIdle(t, pool, s, "first", 2)
	for number := range maxIdle - 1 {
		leaveIdle(t, pool, s, fmt.Sprint(number), 1)
	}
	assert.Equal(t, pool.idleCount, maxIdle)
	assert.Equal(t, len(pool.idle["first"]), 1)
	assert.Equal(t, dropped(pool, link.Spare), uint64(1))
	pool.Forget(func(runner string) bool { return runner == "first" })
	assert.Equal(t, pool.idleCount, 1)
	assert.Equal(t, len(pool.idle), 1)
}
