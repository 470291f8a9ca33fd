package test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
)

// longStop has the intervals in which load balancers and clients are promised to notice a stop.
var longStop = settings.Stop{Grace: 8 * time.Second, Notice: 3 * time.Second}

// endlessEvents is the length of a stream that lasts longer than a stop.
const endlessEvents = 1500

// lastPartOf returns when the last sixth of a stop begins, in which it may cut off a request that its
// runner still works on, if that was sent within the notice.
func lastPartOf(limits settings.Stop) time.Duration { return limits.Grace * 5 / 6 }

// slowRequest is a request to a node that stops. Times are relative to the signal.
type slowRequest struct {
	name   string
	path   string
	events int
	// dial is when its connection is opened, send when its head is sent.
	dial, send time.Duration
	// bodyEnd is when the end of its body is sent, in chunks; zero if that follows the head.
	bodyEnd time.Duration
}

// slowAnswer is what the client of a slowRequest got. Times are relative to the signal.
type slowAnswer struct {
	clientAnswer
	// sent is when the last byte of the request was sent, lastRead when something of the
	// answer was last read.
	sent, lastRead time.Duration
	// problem is why no whole answer came, or nil if one did.
	problem error
}

// run sends a request to a node that gets its signal at a time.
func (r slowRequest) run(node *world.Node, signal time.Time) (answer slowAnswer) {
	at := func(after time.Duration) { time.Sleep(time.Until(signal.Add(after))) }
	at(r.dial)
	conn, err := net.Dial("tcp", node.Clients)
	if err != nil {
		return slowAnswer{problem: err}
	}
	defer conn.Close()
	c := clientRequest{ID: newID(), Path: r.path, Method: http.MethodPost, Model: "alpha", Events: r.events, Deadline: 20 * time.Second, Body: []byte("0123456789")}
	answer.ID = c.ID
	head, rest := r.encode(c, node)
	at(r.send)
	if _, answer.problem = conn.Write(head); answer.problem != nil {
		return answer
	}
	if r.bodyEnd != 0 {
		at(r.bodyEnd)
	}
	if _, answer.problem = conn.Write(rest); answer.problem != nil {
		return answer
	}
	answer.sent = time.Since(signal)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if answer.problem = err; err != nil {
		return answer
	}
	defer response.Body.Close()
	var content bytes.Buffer
	buffer := make([]byte, 4096)
	for err == nil {
		var count int
		count, err = response.Body.Read(buffer)
		if content.Write(buffer[:count]); count > 0 {
			answer.lastRead = time.Since(signal)
		}
	}
	if err == io.EOF {
		err = nil
	}
	answer.problem = err
	answer.record(response, content.Bytes(), err)
	return answer
}

// encode returns a request in two parts, of which the second one is sent at bodyEnd.
func (r slowRequest) encode(c clientRequest, node *world.Node) (head, rest []byte) {
	request := newRequest(c, node)
	if r.bodyEnd != 0 {
		request.Body = io.NopCloser(bytes.NewReader(c.Body))
		request.ContentLength, request.TransferEncoding = -1, []string{"chunked"}
	}
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		// Tests only use valid requests.
		panic(err)
	}
	// The size of the first chunk is sent with the head.
	split := bytes.Index(encoded.Bytes(), []byte("\r\n\r\n")) + 6
	return encoded.Bytes()[:split], encoded.Bytes()[split:]
}

// problemOf returns what is wrong with the answer to a request that a stopping node read whole: it
// is to be whole or refused as not run. A stop may cut off a stream that was sent within the
// notice and that its runner still works on in the last part of the grace.
func (a *slowAnswer) problemOf(r slowRequest, runs int, limits settings.Stop) string {
	switch {
	case a.Complete && a.Status == http.StatusOK && a.Body == expectedEvents(a.ID, r.events):
		return ""
	case a.Complete && a.Status == http.StatusServiceUnavailable && runs == 0:
		return ""
	case a.Status == http.StatusOK && a.sent <= limits.Notice && a.lastRead >= lastPartOf(limits):
		return ""
	default:
		return fmt.Sprintf("sent %.2f s after the signal, last read %.2f s after it: status %d, %d of %d events, ran %d times: %v",
			a.sent.Seconds(), a.lastRead.Seconds(), a.Status, a.Events, r.events, runs, a.problem)
	}
}

// startStopWorld starts nodes that stop within limits, and runners that hold a model.
func startStopWorld(t *testing.T, limits settings.Stop, nodes, runners int) (*world.World, []*world.Node) {
	t.Helper()
	w := newWorld(t, func(o *world.Options) {
		adjust := o.Adjust
		o.Adjust = func(s *settingsType) {
			adjust(s)
			s.Stop = limits
		}
	})
	startRunners(t, w, runners)
	started := startNodes(t, w, nodes)
	apply(t, started[0], model("alpha", 2)...)
	waitKnown(t, "alpha", started...)
	warm := call{Model: "alpha", Prompt: "warm", Tokens: 4, Deadline: 30 * time.Second}
	assertServed(t, warm, ask(t.Context(), started[0], warm, nil))
	return w, started
}

// TestStoppingNodeTookOnWhatItCannotFinish: requests that last longer than the stop of their
// node reach it before the signal, within the notice, and after that, as the first one of a
// connection or as their body ends late. Each ends with its whole answer, a truthful refusal or, if it was
// sent within the notice, not before the last part of the grace.
func TestStoppingNodeTookOnWhatItCannotFinish(t *testing.T) {
	t.Parallel()
	w, nodes := startStopWorld(t, longStop, 2, 3)
	var requests []slowRequest
	for _, path := range []string{"/draft/x", "/reply/x"} {
		requests = append(requests,
			slowRequest{"begun before the signal", path, endlessEvents, -time.Second, -time.Second, 0},
			slowRequest{"sent in the notice", path, endlessEvents, 100 * time.Millisecond, time.Second, 0},
			slowRequest{"sent at the end of the notice", path, endlessEvents, 100 * time.Millisecond, 2900 * time.Millisecond, 0},
			slowRequest{"first request of an old connection", path, endlessEvents, -time.Second, 3300 * time.Millisecond, 0},
			slowRequest{"first request of a new connection", path, endlessEvents, 2900 * time.Millisecond, 3300 * time.Millisecond, 0},
			slowRequest{"body that ends soon after the notice", path, endlessEvents, 500 * time.Millisecond, 600 * time.Millisecond, 3500 * time.Millisecond},
			slowRequest{"body that ends late", path, endlessEvents, 2500 * time.Millisecond, 2600 * time.Millisecond, 6 * time.Second},
			slowRequest{"short, body that ends at the end", path, 3, 2500 * time.Millisecond, 2600 * time.Millisecond, 7100 * time.Millisecond},
		)
	}
	checkStop(t, w, nodes[0], requests, longStop)
}

// TestStopEndedAnswersBeforeTheLastPart: streams that end within the grace are not cut off, however
// short the grace is.
func TestStopEndedAnswersBeforeTheLastPart(t *testing.T) {
	t.Parallel()
	for _, limits := range []settings.Stop{{Grace: 4 * time.Second, Notice: 500 * time.Millisecond}, {Grace: 1500 * time.Millisecond, Notice: 200 * time.Millisecond}} {
		t.Run(limits.Grace.String(), func(t *testing.T) {
			t.Parallel()
			w, nodes := startStopWorld(t, limits, 1, 2)
			var requests []slowRequest
			for _, path := range []string{"/draft/x", "/reply/x"} {
				requests = append(requests,
					slowRequest{"begun before the signal", path, endlessEvents, -time.Second, -time.Second, 0},
					slowRequest{"sent in the notice", path, endlessEvents, 0, limits.Notice / 2, 0},
				)
			}
			checkStop(t, w, nodes[0], requests, limits)
		})
	}
}

// checkStop stops a node while requests are sent to it, and checks their answers.
func checkStop(t *testing.T, w *world.World, node *world.Node, requests []slowRequest, limits settings.Stop) {
	t.Helper()
	answers := make([]chan slowAnswer, len(requests))
	signal := time.Now().Add(2 * time.Second)
	for index, r := range requests {
		answers[index] = make(chan slowAnswer, 1)
		go func() { answers[index] <- r.run(node, signal) }()
	}
	time.Sleep(time.Until(signal))
	assert.NilError(t, node.Terminate())
	assert.NilError(t, node.Wait(waitTimeout))
	for index, r := range requests {
		answer := <-answers[index]
		problem := answer.problemOf(r, runsOfRequest(readHistory(t, w), answer.ID), limits)
		assert.Check(t, problem == "", "%s, %s: %s", r.path, r.name, problem)
	}
}

// TestStopAnswersRunningRequests: a request whose runner is mute until the stop ends gets a
// whole answer, which does not claim that it did not run.
func TestStopAnswersRunningRequests(t *testing.T) {
	t.Parallel()
	limits := settings.Stop{Grace: 4 * time.Second, Notice: 500 * time.Millisecond}
	w, nodes := startStopWorld(t, limits, 1, 1)
	assert.NilError(t, w.SetRunnerFaults("runner-1", runnerstub.Faults{MuteShare: 1}))
	result := make(chan clientAnswer, 1)
	go func() {
		result <- send(t.Context(), nodes[0], clientRequest{Path: "/draft/x", Model: "alpha", Events: 3})
	}()
	waitUntil(t, "the request is running", func() error {
		if at := runningByRunner(readHistory(t, w)); at["runner-1"] == 0 {
			return fmt.Errorf("running by runner: %v", at)
		}
		return nil
	})
	assert.NilError(t, nodes[0].Terminate())
	got := <-result
	assert.Assert(t, got.Complete, "%+v", got)
	assert.Equal(t, got.Status, http.StatusBadGateway)
	assert.NilError(t, nodes[0].Wait(waitTimeout))
}
