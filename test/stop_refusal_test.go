package test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/world"
)

// TestRefusalOfStoppingNodeKeptItsConnection: a client's request that waited before the signal, and a caller's call
// that comes after it, are refused by a stopping node at connections that close, and may come back at once.
func TestRefusalOfStoppingNodeKeptItsConnection(t *testing.T) {
	t.Parallel()
	w, nodes := startStopWorld(t, longStop, 2, 1)
	stuckModel(t, w, nodes[0], "beta")
	waitKnown(t, "beta", nodes...)
	clients, callers := dialNode(t, nodes[0].Clients), dialNode(t, nodes[0].Callers)
	request := newRequest(clientRequest{ID: newID(), Path: "/draft/x", Method: http.MethodPost, Model: "beta", Events: 3, Deadline: slowDeadline}, nodes[0])
	assert.NilError(t, request.Write(clients))
	waitQueued(t, nodes[0], 1)
	assert.NilError(t, nodes[0].Terminate())
	waitStopping(t, w, nodes[0])
	const body = `{"model":"beta","prompt":"late","max_tokens":4}`
	_, err := fmt.Fprintf(callers, "POST %s HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", completionPath, len(body), body)
	assert.NilError(t, err)
	for _, one := range []struct {
		conn       net.Conn
		retryAfter string
	}{{clients, "0.01"}, {callers, "0"}} {
		response, err := http.ReadResponse(bufio.NewReader(one.conn), nil)
		assert.NilError(t, err)
		assert.Check(t, response.StatusCode == http.StatusServiceUnavailable)
		assert.Check(t, response.Close)
		assert.Check(t, response.Header.Get("Retry-After") == one.retryAfter, "%v", response.Header)
	}
}

// dialNode connects to an address of a node until the end of the test.
func dialNode(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := net.DialTimeout("tcp", address, time.Second)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// waitStopping waits until a node has begun to stop.
func waitStopping(t *testing.T, w *world.World, node *world.Node) {
	t.Helper()
	waitUntil(t, "the node stops", func() error {
		if !hasLineWith(readLog(t, w, node), "node stopping", "") {
			return fmt.Errorf("%s does not yet", node.Name)
		}
		return nil
	})
}
