package test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

// sendRaw sends a request on its own connection, in this version of HTTP.
func sendRaw(ctx context.Context, node *world.Node, minor int, c clientRequest) (clientAnswer, error) {
	answer := clientAnswer{ID: c.ID}
	request, err := http.NewRequestWithContext(ctx, c.Method, "http://"+world.RouteHost+c.Path, bytes.NewReader(c.Body))
	if err != nil {
		return answer, err
	}
	c.setHeaders(request)
	conn, err := net.Dial("tcp", node.Clients)
	if err != nil {
		return answer, err
	}
	defer conn.Close()
	var content bytes.Buffer
	if err := request.Write(&content); err != nil {
		return answer, err
	}
	head := bytes.Replace(content.Bytes(), []byte("HTTP/1.1"), fmt.Appendf(nil, "HTTP/1.%d", minor), 1)
	if _, err := conn.Write(head); err != nil {
		return answer, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), request)
	if err != nil {
		// The connection was closed without an answer.
		return answer, nil
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	answer.record(response, body, err)
	return answer, nil
}

// wholeBody returns whether an answer is one that a runner completed.
func (a clientAnswer) wholeBody(c clientRequest) bool {
	if c.Model != "" {
		return a.Body == expectedEvents(c.ID, c.Events)
	}
	return len(a.Body) > 2 && a.Body[len(a.Body)-2:] == "]}"
}

// answerKinds are a request of each kind of route.
func answerKinds() map[string]clientRequest {
	return map[string]clientRequest{
		"stream":           {Path: "/reply/x", Model: "alpha", Events: 8},
		"resumable stream": {Path: "/draft/x", Model: "alpha", Events: 8},
		"safe":             {Path: "/read/x"},
		"unsafe":           {Path: "/send/x", Method: http.MethodPost, Body: []byte("body")},
	}
}

// answerWorld is a world whose runners answer with the faults of a test.
type answerWorld struct {
	world *world.World
	nodes []*world.Node
}

// answerRunners is the number of runners of each service.
const answerRunners = 4

// answerDowntime is how long runners are down after a crash.
const answerDowntime = 500 * time.Millisecond

func startAnswerWorld(t *testing.T, faults runnerstub.Faults) *answerWorld {
	t.Helper()
	return startAnswerWorldOf(t, 2, faults)
}

func startAnswerWorldOf(t *testing.T, nodes int, faults runnerstub.Faults) *answerWorld {
	t.Helper()
	w := &answerWorld{world: newWorld(t, func(o *world.Options) { o.DirectRunners = true })}
	restart := world.RestartPolicy{After: answerDowntime, Renamed: true}
	for number := range answerRunners {
		engine := engineOptions(w.world, fmt.Sprintf("runner-%d", number+1), zones[number%len(zones)])
		mailer := mailerOptions(fmt.Sprintf("mailer-%d", number+1), zones[number%len(zones)])
		engine.Restart, mailer.Restart = restart, restart
		for _, options := range []world.RunnerOptions{engine, mailer} {
			_, err := w.world.StartRunner(options)
			assert.NilError(t, err)
		}
	}
	w.nodes = startNodes(t, w.world, nodes)
	apply(t, w.nodes[0], append(model("alpha", answerRunners), readyPolicy("alpha", answerRunners))...)
	waitKnown(t, "alpha", w.nodes...)
	waitUntil(t, "requests of each kind are served", func() error {
		for _, node := range w.nodes {
			for name, request := range answerKinds() {
				if got := send(t.Context(), node, request); got.Status != http.StatusOK || !got.Complete {
					return fmt.Errorf("%s: %d", name, got.Status)
				}
			}
		}
		return nil
	})
	for id := range w.world.Runners {
		assert.NilError(t, w.world.SetRunnerFaults(id, faults))
	}
	return w
}

// TestAnswerOfCrashedRunnerLookedComplete: a runner crashed in the middle of an answer that had neither
// a length nor chunks. Its node passed on what came with a framing of its own, so that the answer
// looked complete.
func TestAnswerOfCrashedRunnerLookedComplete(t *testing.T) {
	t.Parallel()
	for _, inEvent := range []bool{false, true} {
		t.Run(fmt.Sprintf("inEvent=%t", inEvent), func(t *testing.T) {
			t.Parallel()
			w := startAnswerWorld(t, runnerstub.Faults{Unframed: true, CrashShare: 1, InEvent: inEvent})
			for name, request := range answerKinds() {
				for minor := range 2 {
					request.ID = newID()
					got, err := sendRaw(t.Context(), w.nodes[minor], minor, request)
					assert.NilError(t, err)
					if !assert.Check(t, got.Status != http.StatusOK || !got.Complete, "%s, HTTP/1.%d: %+v", name, minor, got) {
						t.Logf("log of %s: %s", w.nodes[minor].Name, strings.Join(linesContaining(readFile(t, w.world.LogPath(w.nodes[minor])), request.ID), ""))
					}
				}
			}
		})
	}
}

// TestCutAnswerLookedComplete: a runner ended answers without a length halfway and went on running.
// Its node gave what came a length, or the last chunk though a stream ended inside an event. What ends
// between two events at a runner that goes on is complete by the rules of HTTP.
func TestCutAnswerLookedComplete(t *testing.T) {
	t.Parallel()
	for _, inEvent := range []bool{false, true} {
		t.Run(fmt.Sprintf("inEvent=%t", inEvent), func(t *testing.T) {
			t.Parallel()
			w := startAnswerWorld(t, runnerstub.Faults{Unframed: true, CutShare: 1, InEvent: inEvent})
			for name, request := range answerKinds() {
				request.ID = newID()
				got, err := sendRaw(t.Context(), w.nodes[0], 1, request)
				assert.NilError(t, err)
				if request.Model == "" {
					assert.Check(t, !got.Complete || got.CloseDelimited, "%s: %+v", name, got)
				} else if inEvent {
					assert.Check(t, !got.Complete || got.Status != http.StatusOK, "%s: the stream ends inside an event: %+v", name, got)
				}
			}
		})
	}
}

// TestStreamCutInsideEventLookedComplete: a stream with chunks ended inside an event. Its node passed on
// the rest and ended the stream.
func TestStreamCutInsideEventLookedComplete(t *testing.T) {
	t.Parallel()
	w := startAnswerWorld(t, runnerstub.Faults{CutShare: 1, InEvent: true})
	for _, name := range []string{"stream", "resumable stream"} {
		request := answerKinds()[name]
		request.ID = newID()
		got, err := sendRaw(t.Context(), w.nodes[0], 1, request)
		assert.NilError(t, err)
		assert.Check(t, got.Status != http.StatusOK || !got.Complete, "%s: %+v", name, got)
	}
}

// TestUnframedAnswersAreServed: runners that answer without a length or chunks serve requests of each
// kind whole, at the first attempt.
func TestUnframedAnswersAreServed(t *testing.T) {
	t.Parallel()
	w := startAnswerWorld(t, runnerstub.Faults{Unframed: true})
	for name, request := range answerKinds() {
		for minor := range 2 {
			request.ID = newID()
			got, err := sendRaw(t.Context(), w.nodes[minor], minor, request)
			assert.NilError(t, err)
			assert.Check(t, got.Status == http.StatusOK && got.Complete && got.wholeBody(request), "%s, HTTP/1.%d: %+v", name, minor, got)
			assert.Check(t, runsOfRequest(readHistory(t, w.world), request.ID) == 1, "%s", name)
		}
	}
}

// TestBrokenStreamLookedCompleteToOldClient: a stream with chunks broke off. A client that speaks
// HTTP/1.0 gets no chunks, and saw the end of its connection as the end of the stream.
func TestBrokenStreamLookedCompleteToOldClient(t *testing.T) {
	t.Parallel()
	w := startAnswerWorld(t, runnerstub.Faults{BreakShare: 1})
	request := answerKinds()["stream"]
	request.ID = newID()
	got, err := sendRaw(t.Context(), w.nodes[0], 0, request)
	assert.NilError(t, err)
	assert.Assert(t, got.Status != http.StatusOK || !got.Complete, "%+v", got)
}

// TestCarriedAnswerOfCrashedRunnerLookedComplete: the same as TestAnswerOfCrashedRunnerLookedComplete
// at a node that reaches the runners through another one.
func TestCarriedAnswerOfCrashedRunnerLookedComplete(t *testing.T) {
	t.Parallel()
	w := startCarriedWorldWith(t, statementTest{direct: true})
	for id := range w.world.Runners {
		assert.NilError(t, w.world.SetRunnerFaults(id, runnerstub.Faults{Unframed: true, CrashShare: 1}))
	}
	for _, name := range []string{"stream", "unsafe"} {
		request := answerKinds()[name]
		request.ID = newID()
		got, err := sendRaw(t.Context(), w.cutNode, 1, request)
		assert.NilError(t, err)
		assert.Check(t, got.Status != http.StatusOK || !got.Complete, "%s: %+v", name, got)
	}
}

// TestCutCompletionLookedComplete: a runner ended a completion without a length halfway. The node ended
// the stream with its end marker, or gave the part a length.
func TestCutCompletionLookedComplete(t *testing.T) {
	t.Parallel()
	w := startAnswerWorld(t, runnerstub.Faults{Unframed: true, CutShare: 1})
	for _, unstreamed := range []bool{false, true} {
		got := ask(t.Context(), w.nodes[0], call{Model: "alpha", Prompt: "p", Tokens: 8, Unstreamed: unstreamed}, nil)
		assert.Check(t, !got.Served, "unstreamed %t: %+v", unstreamed, got)
		assert.Check(t, !unstreamed || got.Status != http.StatusOK, "a part of a completion has status 200")
	}
}

// TestUnframedCompletionsAreServed: completions that runners answer without a length or chunks are
// served whole.
func TestUnframedCompletionsAreServed(t *testing.T) {
	t.Parallel()
	w := startAnswerWorld(t, runnerstub.Faults{Unframed: true})
	for _, unstreamed := range []bool{false, true} {
		got := ask(t.Context(), w.nodes[0], call{Model: "alpha", Prompt: "p", Tokens: 8, Unstreamed: unstreamed}, nil)
		assert.Check(t, got.Served && got.Text == expectedText("p", 8), "unstreamed %t: %+v", unstreamed, got)
	}
}
