package dispatch

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/retry"
)

// unframedAnswer is a runner that sends a head without a length or chunks, writes content and closes the
// connection.
func unframedAnswer(header, content string, before func(r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = buffered.WriteString("HTTP/1.1 200 OK\r\nX-Id: " + r.Header.Get("X-Id") + "\r\nX-Signature: s\r\n" + header + "\r\n" + content)
		_ = buffered.Flush()
		before(r)
		_ = conn.Close()
	}
}

// ends is a runner that ends such an answer and goes on running.
func ends(header, content string) http.HandlerFunc {
	return unframedAnswer(header, content, func(*http.Request) {})
}

// crashesAfter is a runner that ends in the middle of such an answer: its address refuses connections.
func crashesAfter(content string) http.HandlerFunc {
	return unframedAnswer("", content, func(r *http.Request) {
		if server, ok := r.Context().Value(http.ServerContextKey).(*http.Server); ok {
			_ = server.Close()
		}
	})
}

// unframedJob is a hedgedJob whose first runner behaves as given, and whose crashes are counted.
func unframedJob(t *testing.T, first http.HandlerFunc) (*job, *httptest.ResponseRecorder, *crashesStub) {
	t.Helper()
	j, written := hedgedJob(t, first, answers("second"))
	crashes := &crashesStub{}
	j.dispatcher.Crashes = crashes
	j.route.Objective = time.Minute
	return j, written, crashes
}

const jsonType = "Content-Type: application/json\r\n"

// TestUnframedAnswerIsNotFramed checks what a client gets of an answer without a length or chunks: it has
// a length only if its content shows that it is whole, and nothing of a part that is known to be one.
func TestUnframedAnswerIsNotFramed(t *testing.T) {
	for name, test := range map[string]struct {
		first        http.HandlerFunc
		kind         config.Kind
		own          bool
		status       int
		body         string
		framed       bool
		completeness Completeness
	}{
		"whole, safe":                  {first: ends("", "whole"), kind: config.Safe, status: 200, body: "whole", completeness: CompleteByPresence},
		"whole, unsafe":                {first: ends("", "whole"), kind: config.Unsafe, status: 200, body: "whole", completeness: CompleteByPresence},
		"whole JSON":                   {first: ends(jsonType, `{"a":[1]}`), kind: config.Unsafe, status: 200, body: `{"a":[1]}`, framed: true, completeness: CompleteByForm},
		"cut JSON, safe":               {first: ends(jsonType, `{"a":[1`), kind: config.Safe, status: 200, body: "second", framed: true, completeness: CompleteByFraming},
		"cut JSON, unsafe":             {first: ends(jsonType, `{"a":[1`), kind: config.Unsafe, status: http.StatusBadGateway, framed: true},
		"empty JSON":                   {first: ends(jsonType, ""), kind: config.Unsafe, status: http.StatusBadGateway, framed: true},
		"number, which may be a part":  {first: ends(jsonType, "12"), kind: config.Unsafe, status: 200, body: "12", completeness: CompleteByPresence},
		"cut, own interface":           {first: ends("", `{"a":[1`), kind: config.Unsafe, own: true, status: http.StatusBadGateway, framed: true},
		"crashed, safe":                {first: crashesAfter("part"), kind: config.Safe, status: 200, body: "second", framed: true, completeness: CompleteByFraming},
		"crashed, unsafe":              {first: crashesAfter("part"), kind: config.Unsafe, status: http.StatusBadGateway, framed: true},
		"broken off with chunks, safe": {first: breaksOff, kind: config.Safe, status: 200, body: "second", framed: true, completeness: CompleteByFraming},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j, written, _ := unframedJob(t, test.first)
			j.route.Kind, j.request.OwnErrors = test.kind, test.own
			for j.attempt(t.Context()) {
			}
			assert.Equal(t, written.Code, test.status, "%s", written.Body)
			if test.body != "" {
				assert.Equal(t, written.Body.String(), test.body)
			}
			assert.Equal(t, j.outcome.EndsWithConnection, !test.framed)
			assert.Equal(t, written.Header().Get("Content-Length") != "", test.framed)
			assert.Equal(t, j.outcome.Completeness, test.completeness)
		})
	}
}

// TestWholeUnframedAnswerCostsNothing checks that an answer without framing whose runner goes on running
// takes no retry from the budget, makes nobody suspect a crash, and needs no connection more than the
// next request does.
func TestWholeUnframedAnswerCostsNothing(t *testing.T) {
	j, _, crashes := unframedJob(t, ends("", "whole"))
	j.dispatcher.Retries = retry.Limits{Slack: 100, Window: time.Hour}
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, crashes.interrupted.Load(), int64(0))
	assert.Equal(t, j.sent, 1)
	assert.Equal(t, countRetries(j, j.query.Service), countRetries(j, "unused"), "the budget was spent")
	dials := 0
	dial := j.dispatcher.Pool.Dial
	j.dispatcher.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		dials++
		return dial(ctx, network, address)
	}
	listed, _ := j.dispatcher.Fleet.Find(j.outcome.Runner)
	j.dispatcher.Fleet.Replace([]backend.Runner{listed}, false)
	j.query.Exclude = nil
	assert.Assert(t, !j.attempt(t.Context()))
	assert.Equal(t, dials, 0, "the connection of the check was not used")
}

// TestHedgeCutOffReplacedWholeAnswer: the answer of a hedge ended with its connection as its runner
// crashed. It counts as failed, like that of a first attempt.
func TestHedgeCutOffReplacedWholeAnswer(t *testing.T) {
	j, written := hedgedJob(t, after(4*minSilence, answers("first")), crashesAfter("part"))
	for j.attempt(t.Context()) {
	}
	assert.Assert(t, written.Body.String() != "part", "a part of an answer was forwarded as whole")
}

// TestLeavingRunnerMayRefuseConnections checks that a refused connection shows nothing of a runner that is
// leaving, as it may complete its last answers with its listener closed, and that an accepted one does.
func TestLeavingRunnerMayRefuseConnections(t *testing.T) {
	for name, test := range map[string]struct {
		first http.HandlerFunc
		want  Completeness
	}{
		"refuses": {crashesAfter("whole"), CompletenessUnknown},
		"accepts": {ends("", "whole"), CompleteByPresence},
	} {
		t.Run(name, func(t *testing.T) {
			var j *job
			j, written := hedgedJob(t, func(w http.ResponseWriter, r *http.Request) {
				for _, id := range []string{"r1", "r2"} {
					listed, _ := j.dispatcher.Fleet.Find(id)
					listed.Draining = true
					j.dispatcher.Fleet.Apply([]backend.Runner{listed}, nil, false)
				}
				test.first(w, r)
			}, answers("second"))
			j.route.Kind = config.Unsafe
			for j.attempt(t.Context()) {
			}
			assert.Equal(t, written.Body.String(), "whole")
			assert.Equal(t, j.outcome.Completeness, test.want)
			assert.Assert(t, j.outcome.EndsWithConnection)
		})
	}
}

// countRetries spends the retry budget of a service and returns how many retries it had.
func countRetries(j *job, service string) (count int) {
	for j.dispatcher.retryBudget(service).Take() {
		count++
	}
	return count
}

// TestPausedNodeTookANewIncarnationForTheOld: a node stood still while the runner of an answer without framing
// crashed and started again. It took a part for the whole, as the runner accepted its connection.
func TestPausedNodeTookANewIncarnationForTheOld(t *testing.T) {
	j, written, _ := unframedJob(t, ends("", "part"))
	j.route.Kind = config.Unsafe
	j.dispatcher.PausedSince = func(time.Time) bool { return true }
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, written.Code, http.StatusBadGateway)
}

// TestAnswerThatEndedWithItsHeadLookedWhole: an answer without a length or chunks ended right after its head, of a
// runner that goes on running. A client got a success with nothing in it, ended as complete.
func TestAnswerThatEndedWithItsHeadLookedWhole(t *testing.T) {
	const events = "Content-Type: text/event-stream\r\n"
	for name, test := range map[string]struct {
		header string
		kind   config.Kind
		status int
	}{
		"safe":            {"", config.Safe, http.StatusOK},
		"unsafe":          {"", config.Unsafe, http.StatusBadGateway},
		"stream":          {events, config.Stream, http.StatusBadGateway},
		"unknown content": {"Content-Type: a/b\r\n", config.Stream, http.StatusBadGateway},
	} {
		for _, content := range []string{"", "\n", "\r\n"} {
			if content != "" && test.kind != config.Stream {
				continue
			}
			t.Run(fmt.Sprintf("%s %q", name, content), func(t *testing.T) {
				t.Parallel()
				j, written, _ := unframedJob(t, ends(test.header, content))
				j.route.Kind = test.kind
				for j.attempt(t.Context()) {
				}
				assert.Equal(t, written.Code, test.status, "%s", written.Body)
				if test.status == http.StatusOK {
					assert.Equal(t, written.Body.String(), "second")
				}
			})
		}
	}
}
