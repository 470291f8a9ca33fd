package test

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

const (
	// answerMargin is how long after a request's own deadline a client still waits for its
	// final answer.
	answerMargin = 5 * time.Second
	// cancellationBound is the time after which no runner may still work for a client that
	// disconnected, maxLateRequests the number of requests that may exceed it.
	cancellationBound = 500 * time.Millisecond
	maxLateRequests   = 3
)

// silenceConnections permanently silences every open connection between nodes, store and
// runners, and returns their number.
func silenceConnections(w *world.World, nodes []*world.Node) int {
	count := 0
	for _, node := range nodes {
		count += node.Proxy.SilenceOpen() + node.StoreProxy.SilenceOpen()
	}
	for _, runner := range w.Runners {
		count += runner.Proxy.SilenceOpen()
	}
	return count
}

// mixedDeadline is how long the client of a mixedRequest waits.
const mixedDeadline = 3 * time.Second

// mixedRequest returns a request of one of the kinds of the default routes, which take
// turns by number.
func mixedRequest(number int) clientRequest {
	c := clientRequest{ID: newID(), Deadline: mixedDeadline}
	switch number % 4 {
	case 0:
		c.Path, c.Method, c.Body = "/send/x", http.MethodPost, []byte("body")
	case 1:
		c.Path = "/read/x"
	case 2:
		c.Path, c.Model, c.Events = "/draft/x", "alpha", 20
	case 3:
		c.Path, c.Model, c.Events = "/reply/x", "alpha", 20
	}
	return c
}

// mixedRequests returns requests for the nodes in turn: for each node, each requests of
// every kind.
func mixedRequests(nodes []*world.Node, each int) []clientRequest {
	var requests []clientRequest
	for number := range 4 * each {
		for range nodes {
			requests = append(requests, mixedRequest(number))
		}
	}
	return requests
}

// sendAll sends requests to the nodes in turn, all at once, and returns the answers. An
// answer that did not come has no status.
func sendAll(t *testing.T, nodes []*world.Node, requests []clientRequest) []clientAnswer {
	t.Helper()
	answers := make([]clientAnswer, len(requests))
	var sending sync.WaitGroup
	for index, c := range requests {
		sending.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), c.Deadline+answerMargin)
			defer cancel()
			answers[index] = send(ctx, nodes[index%len(nodes)], c)
		})
	}
	sending.Wait()
	return answers
}

// waitStreaming waits until a stream of each node runs, given requests that were sent to
// the nodes in turn. A node without a running stream would notice the silence only with its
// next requests.
func waitStreaming(t *testing.T, w *world.World, nodes int, requests []clientRequest) {
	t.Helper()
	// nodeOf maps each stream's identifier to the index of its node.
	nodeOf := make(map[string]int)
	for index, c := range requests {
		if c.Model != "" {
			nodeOf[c.ID] = index % nodes
		}
	}
	waitUntil(t, "a stream of each node runs", func() error {
		streaming := make(map[int]int)
		for _, record := range readHistory(t, w).records {
			node, known := nodeOf[record.Request]
			switch {
			case !known:
			case record.Event == journal.EventRun:
				streaming[node]++
			case record.Event == journal.EventFinished || record.Event == journal.EventCanceled:
				streaming[node]--
			}
		}
		for node := range nodes {
			if streaming[node] <= 0 {
				return fmt.Errorf("no stream of node %d runs", node)
			}
		}
		return nil
	})
}

// lengthenStreams makes streams last a second.
func lengthenStreams(requests []clientRequest) {
	for index := range requests {
		if requests[index].Model != "" {
			requests[index].Events = 100
		}
	}
}

// silencing sends requests while all connections go silent, and returns the answers and the
// number of silenced connections.
type silencing func(t *testing.T, w *world.World, nodes []*world.Node, affected []clientRequest) ([]clientAnswer, int)

// silenceBeforeRequests silences connections before the requests are sent.
func silenceBeforeRequests(t *testing.T, w *world.World, nodes []*world.Node, affected []clientRequest) ([]clientAnswer, int) {
	silenced := silenceConnections(w, nodes)
	return sendAll(t, nodes, affected), silenced
}

// silenceDuringStreams silences connections while a stream of each node runs.
func silenceDuringStreams(t *testing.T, w *world.World, nodes []*world.Node, affected []clientRequest) ([]clientAnswer, int) {
	lengthenStreams(affected)
	answers := make(chan []clientAnswer, 1)
	go func() { answers <- sendAll(t, nodes, affected) }()
	waitStreaming(t, w, len(nodes), affected)
	silenced := silenceConnections(w, nodes)
	return <-answers, silenced
}

// silenceAfter silences connections at a fixed time after the requests were sent, whatever
// their progress.
func silenceAfter(delay time.Duration) silencing {
	return func(t *testing.T, w *world.World, nodes []*world.Node, affected []clientRequest) ([]clientAnswer, int) {
		silenced := make(chan int, 1)
		time.AfterFunc(delay, func() { silenced <- silenceConnections(w, nodes) })
		answers := sendAll(t, nodes, affected)
		return answers, <-silenced
	}
}

// TestAllConnectionsGoSilent: every open connection between nodes, store and runners goes
// silent for good, during requests and while idle. Each request gets a final answer in
// time, or an answer that visibly ends early; none that must not be repeated runs twice.
// Each node loses requests only once, then serves as before and receives changes.
func TestAllConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	runSilenceTest(t, silenceDuringStreams)
}

// TestAllConnectionsGoSilentSoonAfterRequests is the same, where a node whose requests all
// ended earlier may not have noticed any silent connection.
func TestAllConnectionsGoSilentSoonAfterRequests(t *testing.T) {
	t.Parallel()
	runSilenceTest(t, silenceAfter(50*time.Millisecond))
}

var (
	silenceSeed  = flag.Uint64("silence.seed", 1, "first seed of the moments at which connections go silent")
	silenceSeeds = flag.Int("silence.seeds", 3, "number of seeds to run")
)

// TestAllConnectionsGoSilentAtAnyMoment is the same at moments drawn by seeds.
func TestAllConnectionsGoSilentAtAnyMoment(t *testing.T) {
	t.Parallel()
	for seed := *silenceSeed; seed < *silenceSeed+uint64(*silenceSeeds); seed++ {
		moment := time.Duration(rand.New(rand.NewPCG(seed, 0)).IntN(150)) * time.Millisecond
		t.Run(fmt.Sprintf("seed %d, %s", seed, moment), func(t *testing.T) {
			t.Parallel()
			runSilenceTest(t, silenceAfter(moment))
		})
	}
}

// runSilenceTest silences connections during requests and while they are idle.
func runSilenceTest(t *testing.T, inUse silencing) {
	t.Helper()
	w, nodes := startLoaded(t, 3, 3)
	sent := mixedRequests(nodes, 4)
	sendAll(t, nodes, sent)
	for _, when := range []string{"in use", "at rest"} {
		affected := mixedRequests(nodes, 4)
		sent = append(sent, affected...)
		silence := silenceBeforeRequests
		if when == "in use" {
			silence = inUse
		}
		answers, silenced := silence(t, w, nodes, affected)
		lost := 0
		for index, got := range answers {
			if got.Status != http.StatusOK || !got.Complete {
				lost++
			}
			assert.Assert(t, got.Status != 0, "no final answer to %s at node %d", affected[index].Path, index%len(nodes))
		}
		t.Logf("%s: %d connections silenced, %d of %d requests lost", when, silenced, lost, len(affected))
		after := mixedRequests(nodes, 2)
		sent = append(sent, after...)
		for index, got := range sendAll(t, nodes, after) {
			assert.Assert(t, got.Status == http.StatusOK && got.Complete, "%s, %s at node %d: %+v", when, after[index].Path, index%len(nodes), got)
		}
	}
	h := readHistory(t, w)
	for _, c := range sent {
		if c.Method == http.MethodPost {
			assert.Assert(t, runsOfRequest(h, c.ID) <= 1, "%s ran %d times", c.ID, runsOfRequest(h, c.ID))
		}
	}
	apply(t, nodes[0], model("beta", 1)...)
	waitKnown(t, "beta", nodes...)
}

// TestThousandClientsLeaveAtOnce: half a second after a thousand clients disconnected, no
// runner works for any of them, and nothing more is sent to runners for them.
func TestThousandClientsLeaveAtOnce(t *testing.T) {
	t.Parallel()
	const clients = 1000
	w, nodes := startLoaded(t, 2, 2)
	for _, name := range []string{"runner-1", "runner-2"} {
		assert.NilError(t, w.SetRunnerFaults(name, runnerstub.Faults{SlowFactor: 50}))
	}
	ctx, leave := context.WithCancel(t.Context())
	defer leave()
	ids := make(map[string]bool)
	var asking sync.WaitGroup
	for number := range clients {
		c := mixedRequest(2 + number%2)
		c.Events, c.Deadline = 2000, time.Minute
		ids[c.ID] = true
		asking.Go(func() { send(ctx, nodes[number%len(nodes)], c) })
	}
	waitUntil(t, "runners are busy", func() error {
		if busy := len(runningRequests(readHistory(t, w), ids)); busy < 8 {
			return fmt.Errorf("%d requests run", busy)
		}
		return nil
	})
	leave()
	asking.Wait()
	left := time.Now()
	waitUntil(t, "no runner works for these clients", func() error {
		if busy := runningRequests(readHistory(t, w), ids); len(busy) > 0 {
			return fmt.Errorf("%d requests run", len(busy))
		}
		return nil
	})
	for _, node := range nodes {
		waitNoneWaiting(t, node)
	}
	late, last := 0, time.Duration(0)
	for _, record := range readHistory(t, w).records {
		if !ids[record.Request] {
			continue
		}
		after := record.Time.Sub(left)
		last = max(last, after)
		if after > cancellationBound {
			late++
		}
	}
	t.Logf("runners ended the last request %s after its client had disconnected", last.Round(time.Millisecond))
	assert.Assert(t, late <= maxLateRequests, "runners still worked for %d clients after %s", late, cancellationBound)
}

// waitNoneWaiting waits until no request waits at a node.
func waitNoneWaiting(t *testing.T, node *world.Node) {
	t.Helper()
	waitUntil(t, "no request waits at "+node.Name, func() error {
		status, err := node.Client().Status(t.Context())
		if err != nil {
			return err
		}
		if len(status.Waiting) > 0 {
			return fmt.Errorf("%+v", status.Waiting)
		}
		return nil
	})
}

// runningRequests returns the requests among ids that runners have begun and not ended.
func runningRequests(h history, ids map[string]bool) map[string]bool {
	running := make(map[string]bool)
	for _, record := range h.records {
		if !ids[record.Request] {
			continue
		}
		if record.Event == journal.EventRun {
			running[record.Request] = true
		} else {
			delete(running, record.Request)
		}
	}
	return running
}

// TestHalfACloseIsALeaving: a client that closes only its sending side after its request is
// treated as disconnected, as the two cannot be told apart. Nothing waits for it any more.
func TestHalfACloseIsALeaving(t *testing.T) {
	t.Parallel()
	_, nodes := startLoaded(t, 1, 1)
	conn, err := net.Dial("tcp", nodes[0].Clients)
	assert.NilError(t, err)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "GET /draft/x HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %s\r\n%s: 20,1\r\n%s: 20000\r\n\r\n", world.RouteHost,
		protocol.HeaderRequestID, newID(), protocol.HeaderModel, "unknown", protocol.HeaderTokens, protocol.HeaderDeadline)
	assert.NilError(t, err)
	waitQueued(t, nodes[0], 1)
	assert.NilError(t, conn.(*net.TCPConn).CloseWrite())
	waitNoneWaiting(t, nodes[0])
	content, err := io.ReadAll(conn)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "")
}
