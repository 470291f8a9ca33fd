package test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

// carriedWorld is a cutWorld one of whose nodes reaches the runners through others.
type carriedWorld struct {
	*cutWorld
	// cutNode is the node that is cut off.
	cutNode *world.Node
}

// startCarriedWorld starts a carriedWorld and waits until the node that is cut off serves.
func startCarriedWorld(t *testing.T) *carriedWorld {
	t.Helper()
	return startCarriedWorldWith(t, statementTest{})
}

func startCarriedWorldWith(t *testing.T, test statementTest) *carriedWorld {
	t.Helper()
	w := &carriedWorld{cutWorld: startCutWorldWith(t, test, world.RestartPolicy{})}
	holder := leaseHolder(t, w.world, w.nodes[0])
	w.cutNode = anyNodeExcept(w.nodes, holder)
	w.cutOff(t, linkfault.Hang, w.cutNode)
	waitUntil(t, "the node that is cut off serves", func() error {
		for number := range 8 {
			if got := send(t.Context(), w.cutNode, mixedRequest(number)); got.Status != http.StatusOK || !got.Complete {
				return fmt.Errorf("%d", got.Status)
			}
		}
		return nil
	})
	return w
}

// carrierOf waits until a node logs that it carries a request, and returns that node.
func (w *carriedWorld) carrierOf(t *testing.T, request string) *world.Node {
	t.Helper()
	var carrier *world.Node
	waitUntil(t, "a node carries the request", func() error {
		for _, node := range w.nodes {
			if len(linesContaining(readFile(t, w.world.LogPath(node)), "request carried", request)) > 0 {
				carrier = node
				return nil
			}
		}
		return fmt.Errorf("none carries %s", request)
	})
	assert.Assert(t, carrier != w.cutNode)
	return carrier
}

// streamOfSeconds returns a request for a stream that takes two seconds.
func streamOfSeconds(path string) clientRequest {
	return clientRequest{ID: newID(), Path: path, Model: "alpha", Events: 200}
}

// sendAside sends a request to the node that is cut off and returns a channel for the answer.
func (w *carriedWorld) sendAside(ctx context.Context, request clientRequest) <-chan clientAnswer {
	answer := make(chan clientAnswer, 1)
	go func() { answer <- send(ctx, w.cutNode, request) }()
	return answer
}

// TestPeerThatStopsFinishesWhatItCarries: a node that is asked to stop finishes a stream that it
// carries for another node, which logs the same request.
func TestPeerThatStopsFinishesWhatItCarries(t *testing.T) {
	t.Parallel()
	w := startCarriedWorld(t)
	request := streamOfSeconds("/reply/x")
	answer := w.sendAside(t.Context(), request)
	carrier := w.carrierOf(t, request.ID)
	assert.NilError(t, carrier.Terminate())
	got := <-answer
	assert.Assert(t, got.Complete, "%+v", got)
	assert.Equal(t, got.Body, expectedEvents(request.ID, request.Events))
	assert.NilError(t, carrier.Wait(stopGrace))
	ended := linesContaining(readFile(t, w.world.LogPath(w.cutNode)), "request ended", request.ID, `"via":"`+carrier.Proxy.Address())
	assert.Equal(t, len(ended), 1, "the node that has the client does not name the carrier")
	after := send(t.Context(), w.cutNode, mixedRequest(0))
	assert.Equal(t, after.Status, http.StatusOK)
}

// TestPeerThatIsKilledLeavesNoFalseAnswer: the node that carries requests for another one is killed.
// A stream that may be resumed reaches its client whole, one that may not ends visibly early, and a
// request that may not be repeated runs once at most and is not said to have been refused.
func TestPeerThatIsKilledLeavesNoFalseAnswer(t *testing.T) {
	t.Parallel()
	for _, path := range []string{"/draft/x", "/reply/x", "/send/x"} {
		t.Run(path[1:5], func(t *testing.T) {
			t.Parallel()
			w := startCarriedWorld(t)
			request := streamOfSeconds(path)
			if path == "/send/x" {
				request = clientRequest{ID: newID(), Path: path, Method: http.MethodPost, Body: []byte("body"), Deadline: mixedDeadline}
				for number := range runnersPerService {
					assert.NilError(t, w.world.SetRunnerFaults(fmt.Sprintf("mailer-%d", number+1), runnerstub.Faults{SlowFactor: 100}))
				}
			}
			answer := w.sendAside(t.Context(), request)
			w.carrierOf(t, request.ID).Kill()
			got := <-answer
			switch path {
			case "/draft/x":
				assert.Assert(t, got.Complete, "%+v", got)
				assert.Equal(t, got.Body, expectedEvents(request.ID, request.Events))
			case "/reply/x":
				assert.Assert(t, !got.Complete || got.Status != http.StatusOK, "a stream that broke off looks complete")
			default:
				assert.Assert(t, got.Status == http.StatusBadGateway || got.Status == http.StatusGatewayTimeout, "%d", got.Status)
				assert.Assert(t, runsOfRequest(readHistory(t, w.world), request.ID) <= 1)
			}
		})
	}
}

// TestLeavingIsPassedOn: the runner ends its work for a client that left a node which reaches it
// through a peer within the time for any client that leaves.
func TestLeavingIsPassedOn(t *testing.T) {
	t.Parallel()
	w := startCarriedWorld(t)
	for _, path := range []string{"/reply/x", "/draft/x"} {
		request := streamOfSeconds(path)
		ctx, leave := context.WithCancel(t.Context())
		answer := w.sendAside(ctx, request)
		w.carrierOf(t, request.ID)
		left := time.Now()
		leave()
		<-answer
		waitUntil(t, "the runner ends its work", func() error {
			for _, record := range readHistory(t, w.world).records {
				if record.Event == journal.EventCanceled && record.Request == request.ID {
					assert.Assert(t, record.Time.Sub(left) < cancellationBound, "%s: %s", path, record.Time.Sub(left))
					return nil
				}
			}
			return fmt.Errorf("%s still runs", request.ID)
		})
	}
}
