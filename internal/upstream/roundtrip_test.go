package upstream

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/link"
)

// serveAll serves a runner that answers all requests of a connection.
func serveAll(t *testing.T, body string) *scripted {
	return serveScript(t, func(s *scripted, _ int, conn net.Conn) {
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

// ownNames name the header by which RoundTrip finds the runner.
var ownNames = Names{RequestID: testNames.RequestID, NotRun: testNames.NotRun, ExpectRunner: "X-Runner"}

// question asks a runner something of the node's own.
func question(t *testing.T, client *http.Client, s *scripted) *http.Response {
	t.Helper()
	response, err := own(t, client, s, http.MethodPost)
	assert.NilError(t, err)
	return response
}

// own sends a request of the node's own to a runner.
func own(t *testing.T, client *http.Client, s *scripted, method string) (*http.Response, error) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.listener.Addr().String()+"/load?x=1", strings.NewReader("{}"))
	assert.NilError(t, err)
	request.Header.Set(ownNames.ExpectRunner, "r")
	return client.Do(request)
}

// TestOrdersAreSentOnce: a runner that ends a connection as the next request comes on
// it is asked again on a new one, but is not given an order again.
func TestOrdersAreSentOnce(t *testing.T) {
	for method, sent := range map[string]int32{http.MethodGet: 3, http.MethodPost: 2} {
		s := serveScript(t, func(s *scripted, number int, conn net.Conn) {
			reader := bufio.NewReader(conn)
			id, err := s.next(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, "whole"))
			_, _ = s.next(reader)
		})
		pool := NewPool(ownNames)
		rest(t, pool, s, "r", 1)
		response, err := own(t, &http.Client{Transport: pool}, s, method)
		assert.Equal(t, s.requests.Load(), sent, "%s: %v", method, err)
		assert.Equal(t, err == nil, method == http.MethodGet)
		if err == nil {
			assert.NilError(t, response.Body.Close())
		}
	}
}

// TestQuestionsShareConnectionsWithRequests: a question and the request that follows
// need one connection, also when the question's answer is not read to its end.
func TestQuestionsShareConnectionsWithRequests(t *testing.T) {
	s := serveAll(t, `{"queued":3}  `)
	pool := NewPool(ownNames)
	client := &http.Client{Transport: pool}
	for range 3 {
		response := question(t, client, s)
		var told struct{ Queued int }
		assert.Equal(t, response.StatusCode, http.StatusOK)
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&told))
		assert.NilError(t, response.Body.Close())
		assert.Equal(t, told.Queued, 3)
		unread := question(t, client, s)
		assert.NilError(t, unread.Body.Close())
		_, err := exchange(pool, s.call("1"))
		assert.NilError(t, err)
	}
	assert.Equal(t, s.accepted.Load(), int32(1))
	assert.Equal(t, s.requests.Load(), int32(9))
}

// TestLateAnswerIsNotTheQuestions: an extra answer to a client's request is passed
// over by the question that follows it.
func TestLateAnswerIsNotTheQuestions(t *testing.T) {
	s := serveScript(t, lateExtra(func(string) string { return answerText("", "own") }))
	pool := NewPool(ownNames)
	_, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	response := question(t, &http.Client{Transport: pool}, s)
	content, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "own")
	assert.NilError(t, response.Body.Close())
}

// TestRestingConnectionsStayBounded: in all and for each runner; the one that rested
// longest goes first.
func TestRestingConnectionsStayBounded(t *testing.T) {
	s := serveAll(t, "whole")
	pool := NewPool(testNames)
	pool.Links = &link.Record{}
	rest(t, pool, s, "first", 2)
	for number := range maximumIdle - 1 {
		rest(t, pool, s, fmt.Sprint(number), 1)
	}
	assert.Equal(t, pool.resting, maximumIdle)
	assert.Equal(t, len(pool.idle["first"]), 1)
	assert.Equal(t, dropped(pool, link.Spare), uint64(1))
	pool.Forget(func(runner string) bool { return runner == "first" })
	assert.Equal(t, pool.resting, 1)
	assert.Equal(t, len(pool.idle), 1)
}
