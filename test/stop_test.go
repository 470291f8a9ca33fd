package test

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/storestub"
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
	// bodyEnd is when the end of its body is sent; zero if that follows the head. The body is sent in chunks
	// then, or with a length if sized is set.
	bodyEnd time.Duration
	sized   bool
	// deadline is how long its client waits; zero for slowDeadline.
	deadline time.Duration
	// pause is how long the client waits before each read of the answer after the first one.
	pause time.Duration
	// key is the caller's key of a completion; empty for none.
	key string
}

// slowDeadline is how long the client of a slowRequest waits if it does not say.
const slowDeadline = 20 * time.Second

// completionPath is the path of the callers' completions, streamPath that of those that are streamed, as a
// slowRequest names them.
const (
	completionPath = "/v1/completions"
	streamPath     = "/v1/completions?stream"
)

// slowAnswer is what the client of a slowRequest got. Times are relative to the signal.
type slowAnswer struct {
	clientAnswer
	// whole is set if all of the answer came, and is the expected one.
	whole bool
	// dialed is set if a connection was opened, read if the request was sent whole.
	dialed, read bool
	// opened is when its connection was opened, headSent when the head of the request was sent, sent when the last byte of it was, lastRead
	// when something of the answer was last read, ended when the client had done.
	opened, headSent, sent, lastRead, ended time.Duration
	// problem is why no whole answer came, or nil if one did.
	problem error
}

// run sends a request to a node that gets its signal at a time.
func (r slowRequest) run(node *world.Node, signal time.Time) (answer slowAnswer) {
	at := func(after time.Duration) { time.Sleep(time.Until(signal.Add(after))) }
	answer.ID = newID()
	defer func() { answer.ended = time.Since(signal) }()
	request := r.request(node, answer.ID)
	head, rest := r.encode(request)
	at(r.dial)
	answer.opened = time.Since(signal)
	conn, err := net.Dial("tcp", request.URL.Host)
	if answer.problem = err; err != nil {
		return answer
	}
	defer conn.Close()
	answer.dialed = true
	at(r.send)
	answer.headSent = time.Since(signal)
	if _, answer.problem = conn.Write(head); answer.problem != nil {
		return answer
	}
	if answer.problem = r.sendRest(conn, rest, signal); answer.problem != nil {
		return answer
	}
	answer.read, answer.sent = true, time.Since(signal)
	r.readAnswer(conn, signal, &answer)
	return answer
}

// slowPieces is in how many pieces a body is sent until bodyEnd.
const slowPieces = 4

// sendRest sends the rest of a request: all at once, or in pieces of which the last one is sent at bodyEnd.
func (r slowRequest) sendRest(conn net.Conn, rest []byte, signal time.Time) error {
	for index := 0; r.bodyEnd != 0 && index < slowPieces-1; index++ {
		time.Sleep(time.Until(signal.Add(r.send + (r.bodyEnd-r.send)*time.Duration(index+1)/slowPieces)))
		size := len(rest) / slowPieces
		if _, err := conn.Write(rest[:size]); err != nil {
			return err
		}
		rest = rest[size:]
	}
	if r.bodyEnd != 0 {
		time.Sleep(time.Until(signal.Add(r.bodyEnd)))
	}
	_, err := conn.Write(rest)
	return err
}

// readAnswer reads the answer to a request that was sent whole.
func (r slowRequest) readAnswer(conn net.Conn, signal time.Time, answer *slowAnswer) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if answer.problem = err; err != nil {
		return
	}
	defer response.Body.Close()
	var content bytes.Buffer
	buffer := make([]byte, 4096)
	for err == nil {
		var count int
		count, err = response.Body.Read(buffer)
		if content.Write(buffer[:count]); count > 0 {
			answer.lastRead = time.Since(signal)
			time.Sleep(r.pause)
		}
	}
	if err == io.EOF {
		err = nil
	}
	answer.problem = err
	answer.record(response, content.Bytes(), err)
	answer.whole = answer.Complete && answer.Status == http.StatusOK && r.isExpected(answer)
}

// isExpected reports whether the body of an answer is the whole expected one.
func (r slowRequest) isExpected(answer *slowAnswer) bool {
	switch {
	case r.isCompletion():
		response := &http.Response{Body: io.NopCloser(strings.NewReader(answer.Body))}
		read := readCompletion
		if r.path == streamPath {
			read = func(response *http.Response, result outcome) outcome { return readStream(response, result, nil) }
		}
		got := read(response, outcome{})
		return got.Served && got.Text == expectedText(answer.ID, r.events)
	case r.events > 0:
		return answer.Body == expectedEvents(answer.ID, r.events)
	default:
		return strings.Contains(answer.Body, answer.ID)
	}
}

// isCompletion reports whether the request is one of the callers' API.
func (r slowRequest) isCompletion() bool { return strings.HasPrefix(r.path, completionPath) }

// request returns the request as it is sent, with an identifier that begins the text of its answer.
func (r slowRequest) request(node *world.Node, id string) *http.Request {
	deadline := cmp.Or(r.deadline, slowDeadline)
	if !r.isCompletion() {
		c := clientRequest{ID: id, Path: r.path, Method: http.MethodPost, Events: r.events, Deadline: deadline, Body: []byte("0123456789")}
		if r.events > 0 {
			c.Model = "alpha"
		}
		return newRequest(c, node)
	}
	c := call{Model: "alpha", Prompt: id, Tokens: r.events, Key: r.key, Deadline: deadline, Unstreamed: r.path != streamPath}
	request, err := c.request(context.Background(), node)
	if err != nil {
		// Tests only use valid requests.
		panic(err)
	}
	return request
}

// encode returns a request in two parts, of which the second one is sent at bodyEnd.
func (r slowRequest) encode(request *http.Request) (head, rest []byte) {
	if r.bodyEnd != 0 && !r.sized {
		request.ContentLength, request.TransferEncoding = -1, []string{"chunked"}
	}
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		// Tests only use valid requests.
		panic(err)
	}
	// The begin of the body, which is the size of the first chunk, is sent with the head.
	const headEnd = "\r\n\r\n"
	split := min(bytes.Index(encoded.Bytes(), []byte(headEnd))+len(headEnd)+2, encoded.Len())
	return encoded.Bytes()[:split], encoded.Bytes()[split:]
}

// problemOf returns what is wrong with the answer to a request that a stopping node read whole: it
// is to be whole or refused as not run. A stop may cut off a stream that was sent within the
// notice and that its runner still works on in the last part of the grace.
func (a *slowAnswer) problemOf(r slowRequest, runs int, limits settings.Stop) string {
	switch {
	case a.whole:
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
	for _, limits := range []settings.Stop{longStop, {Grace: 4 * time.Second, Notice: 1500 * time.Millisecond}, {Grace: 12 * time.Second, Notice: 4500 * time.Millisecond}} {
		t.Run(limits.Grace.String(), func(t *testing.T) {
			t.Parallel()
			w, nodes := startStopWorld(t, limits, 2, 3)
			checkStop(t, w, nodes[0], requestsAround(limits), limits)
		})
	}
}

// requestsAround returns requests at all moments of a stop, most of which outlast it.
func requestsAround(limits settings.Stop) []slowRequest {
	var requests []slowRequest
	for _, path := range []string{"/draft/x", "/reply/x"} {
		requests = append(requests,
			slowRequest{name: "begun before the signal", path: path, events: endlessEvents, dial: -time.Second, send: -time.Second},
			slowRequest{name: "sent in the notice", path: path, events: endlessEvents, dial: 100 * time.Millisecond, send: time.Second},
			slowRequest{name: "sent at the end of the notice", path: path, events: endlessEvents, dial: 100 * time.Millisecond, send: 2900 * time.Millisecond},
			slowRequest{name: "first request of an old connection", path: path, events: endlessEvents, dial: -time.Second, send: 3300 * time.Millisecond},
			slowRequest{name: "first request of a new connection", path: path, events: endlessEvents, dial: 2900 * time.Millisecond, send: 3300 * time.Millisecond},
			slowRequest{name: "body that ends soon after the notice", path: path, events: endlessEvents, dial: 500 * time.Millisecond, send: 600 * time.Millisecond, bodyEnd: 3500 * time.Millisecond},
			slowRequest{name: "body that ends late", path: path, events: endlessEvents, dial: 2500 * time.Millisecond, send: 2600 * time.Millisecond, bodyEnd: 6 * time.Second},
			slowRequest{name: "short, body that ends at the end", path: path, events: 3, dial: 2500 * time.Millisecond, send: 2600 * time.Millisecond, bodyEnd: 7100 * time.Millisecond},
		)
	}
	for index := range requests {
		r := &requests[index]
		for _, moment := range []*time.Duration{&r.dial, &r.send, &r.bodyEnd} {
			// The moments above are those of longStop.
			*moment = time.Duration(float64(*moment) * limits.Grace.Seconds() / longStop.Grace.Seconds())
		}
	}
	return requests
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
					slowRequest{name: "begun before the signal", path: path, events: endlessEvents, dial: -time.Second, send: -time.Second},
					slowRequest{name: "sent in the notice", path: path, events: endlessEvents, dial: 0, send: limits.Notice / 2},
				)
			}
			checkStop(t, w, nodes[0], requests, limits)
		})
	}
}

// checkStop stops a node while requests are sent to it, and checks their answers.
func checkStop(t *testing.T, w *world.World, node *world.Node, requests []slowRequest, limits settings.Stop) {
	t.Helper()
	for index, answer := range stopUnder(t, node, requests, time.Now().Add(2*time.Second)) {
		r := requests[index]
		problem := answer.problemOf(r, runsOfRequest(readHistory(t, w), answer.ID), limits)
		assert.Check(t, problem == "", "%s, %s: %s", r.path, r.name, problem)
	}
}

// stopUnder stops a node at the time of signal while requests are sent to it, and returns their answers once all have
// ended.
func stopUnder(t *testing.T, node *world.Node, requests []slowRequest, signal time.Time) []slowAnswer {
	t.Helper()
	answers := make([]slowAnswer, len(requests))
	var running sync.WaitGroup
	for index, r := range requests {
		running.Go(func() { answers[index] = r.run(node, signal) })
	}
	time.Sleep(time.Until(signal))
	assert.NilError(t, node.Terminate())
	assert.NilError(t, node.Wait(waitTimeout))
	running.Wait()
	return answers
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

// TestStopLastedLongerThanItsGrace: the peers that a stopping node tells of its claims and the store do not
// answer, and streams run to the end of its stop. Its process is gone within the grace, however short that is.
func TestStopLastedLongerThanItsGrace(t *testing.T) {
	t.Parallel()
	for _, limits := range []settings.Stop{{Grace: 1500 * time.Millisecond, Notice: 200 * time.Millisecond}, {Grace: 3 * time.Second, Notice: 500 * time.Millisecond}} {
		t.Run(limits.Grace.String(), func(t *testing.T) {
			t.Parallel()
			w, nodes := startStopWorld(t, limits, 3, 2)
			once := call{Model: "alpha", Prompt: "once", Tokens: 4, Key: "once", Deadline: 30 * time.Second}
			waitUntil(t, "a request with a key is served", func() error {
				if got := ask(t.Context(), nodes[0], once, nil); !got.Served {
					return fmt.Errorf("%+v", got)
				}
				return nil
			})
			signal := time.Now().Add(time.Second)
			for range 4 {
				r := slowRequest{path: "/reply/x", events: endlessEvents, dial: -time.Second, send: -time.Second}
				go r.run(nodes[0], signal)
			}
			time.Sleep(time.Until(signal))
			assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: storestub.Silent}))
			for _, peer := range nodes[1:] {
				assert.NilError(t, peer.Freeze())
			}
			begun := time.Now()
			assert.NilError(t, nodes[0].Terminate())
			assert.NilError(t, nodes[0].Wait(waitTimeout))
			took := time.Since(begun)
			assert.Check(t, took <= limits.Grace, "the process was gone after %s:\n%s", took,
				strings.Join(linesContaining(readFile(t, w.LogPath(nodes[0])), `"node stop`), ""))
			t.Logf("the process was gone after %s", took)
		})
	}
}
