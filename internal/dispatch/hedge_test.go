package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fleet"
	"lilacvane/internal/retry"
	"lilacvane/internal/upstream"
)

// hedgedObjective is the objective of the tests' route: a runner counts as silent after minSilence.
const hedgedObjective = 10 * time.Millisecond

// hedgedJob is a request that may be repeated and has two runners: the first one that receives it
// behaves as first, the other one as second.
func hedgedJob(t *testing.T, first, second http.HandlerFunc) (*job, *httptest.ResponseRecorder) {
	t.Helper()
	var received atomic.Int64
	var runners []backend.Runner
	for _, id := range []string{"r1", "r2"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.Header().Set("X-Signature", "s")
			if received.Add(1) == 1 {
				first(w, r)
				return
			}
			second(w, r)
		}))
		t.Cleanup(server.Close)
		runners = append(runners, backend.Runner{ID: id, Service: "s", Slots: 1, Address: strings.TrimPrefix(server.URL, "http://")})
	}
	runnerFleet := fleet.New("zone", time.Now, noRules{})
	runnerFleet.Replace(runners, false)
	names := upstream.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", ExpectRunner: "X-Runner", Signature: "X-Signature", NotRun: "X-Not-Run"}
	j := waitingFor(runnerFleet, 10*time.Second)
	j.dispatcher.Pool, j.dispatcher.Headers = upstream.NewPool(names), names
	j.dispatcher.Retries = retry.Limits{Ratio: 1, Slack: 100, Window: time.Second}
	written := httptest.NewRecorder()
	j.writer = written
	j.route = &config.Route{Kind: config.Safe, Attempts: 2, Objective: hedgedObjective}
	j.request = &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Arrived: time.Now()}
	j.engine = false
	j.query.Unit = backend.Unit{}
	return j, written
}

func answers(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(text)) }
}

// after delays a runner's answer; it stops when its caller leaves.
func after(pause time.Duration, then http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-r.Context().Done():
		case <-time.After(pause):
			then(w, r)
		}
	}
}

func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("X-Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

func fails(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }

// answersOncePerConnection answers the first request of each connection and is silent on it from
// then on.
func answersOncePerConnection(text string) http.HandlerFunc {
	var answered sync.Map
	return func(w http.ResponseWriter, r *http.Request) {
		if _, before := answered.LoadOrStore(r.RemoteAddr, true); before {
			<-r.Context().Done()
			return
		}
		answers(text)(w, r)
	}
}

// answersWithoutStatus answers with a status that is none, and with an answer in its body.
func answersWithoutStatus(w http.ResponseWriter, r *http.Request) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	identity := "X-Id: " + r.Header.Get("X-Id") + "\r\nX-Signature: s\r\n"
	_, _ = io.WriteString(conn, "HTTP/1.1 000 None\r\n"+identity+"\r\nHTTP/1.1 200 OK\r\n"+identity+"Content-Length: 6\r\n\r\nforged")
}

func breaksOff(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

// TestSilentRunnerIsKeptUntilAnotherAnswers checks that whichever of a silent runner and its hedge
// answers first serves the request, and that what the other one does has no effect.
func TestSilentRunnerIsKeptUntilAnotherAnswers(t *testing.T) {
	const late = 3 * minSilence
	never := after(time.Hour, refuses)
	for _, test := range []struct {
		name          string
		first, second http.HandlerFunc
		status        int
		body          string
		endings       []Ending
	}{
		{"the other refuses", after(late, answers("first")), refuses, http.StatusOK, "first", []Ending{EndedByRunner}},
		{"the other fails", after(late, answers("first")), fails, http.StatusOK, "first", []Ending{EndedByRunner}},
		{"the other answers without a status", after(late, answers("first")), answersWithoutStatus, http.StatusOK, "first", []Ending{EndedByRunner}},
		{"the first answers without a status", after(2*minSilence, answersWithoutStatus), after(late, answers("second")), http.StatusOK, "second", []Ending{EndedByRunner}},
		{"the other breaks off", after(late, answers("first")), breaksOff, http.StatusOK, "first", []Ending{EndedByRunner}},
		{"the other is silent too", after(late, answers("first")), never, http.StatusOK, "first", []Ending{EndedByAnswer}},
		{"the other answers", never, answers("second"), http.StatusOK, "second", []Ending{EndedBySilence}},
		{"the first breaks off meanwhile", after(2*minSilence, breaksOff), after(late, answers("second")), http.StatusOK, "second", []Ending{EndedByRunner}},
		{"both fail", after(late, fails), fails, http.StatusInternalServerError, "", []Ending{EndedByRunner, EndedByRunner}},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			j, written := hedgedJob(t, test.first, test.second)
			for j.attempt(t.Context()) {
			}
			assert.Equal(t, written.Code, test.status, "%s", written.Body)
			if test.body != "" {
				assert.Equal(t, written.Body.String(), test.body)
			}
			assert.DeepEqual(t, j.outcome.Endings, test.endings)
		})
	}
}

// TestNonIdempotentRequestIsNotHedged checks that the runner of a request that may not be repeated
// is waited for.
func TestNonIdempotentRequestIsNotHedged(t *testing.T) {
	j, written := hedgedJob(t, after(3*minSilence, answers("first")), answers("second"))
	j.route.Kind = config.Unsafe
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, written.Body.String(), "first")
	assert.Equal(t, j.sent, 1)
}

// attemptOnIdle makes the job's attempts once connections to its runners have been idle.
func attemptOnIdle(t *testing.T, j *job) {
	t.Helper()
	idleAtEach(t, j)
	j.deadline = time.Now().Add(10 * minSilence)
	ctx, cancel := context.WithDeadlineCause(t.Context(), j.deadline, errTimeout)
	defer cancel()
	for j.attempt(ctx) {
	}
}

// idleAtEach leaves an idle connection to each runner of the job, until it no longer counts as
// proven to work.
func idleAtEach(t *testing.T, j *job) {
	t.Helper()
	own := j.request.ID
	j.request.ID = "earlier"
	defer func() { j.request.ID = own }()
	for _, id := range []string{"r1", "r2"} {
		listed, known := j.dispatcher.Fleet.Find(id)
		if !known {
			continue
		}
		answer, err := j.dispatcher.Pool.Do(t.Context(), j.call(fleet.Choice{Runner: listed}, j.query, ""))
		assert.NilError(t, err)
		_, err = io.ReadAll(answer)
		assert.NilError(t, err)
	}
	time.Sleep(minSilence)
}

// TestRequestWaitsOnOneSilentConnectionAtMost: a request that may be repeated and its hedge were
// both sent on connections that had gone silent while idle, and waited there until the deadline.
func TestRequestWaitsOnOneSilentConnectionAtMost(t *testing.T) {
	answered := answersOncePerConnection("answer")
	j, written := hedgedJob(t, answered, answered)
	attemptOnIdle(t, j)
	assert.Equal(t, written.Body.String(), "answer")
	assert.DeepEqual(t, j.outcome.Endings, []Ending{EndedBySilence})
}

// TestOnlyRunnerIsAskedOnProvedConnection: a request was sent on a connection that had gone silent
// while idle. As there was no other runner, it was not sent anywhere else and waited there until
// the deadline.
func TestOnlyRunnerIsAskedOnProvedConnection(t *testing.T) {
	answered := answersOncePerConnection("answer")
	j, written := hedgedJob(t, answered, answered)
	j.dispatcher.Fleet.Apply(nil, []string{"r2"}, false)
	attemptOnIdle(t, j)
	assert.Equal(t, written.Body.String(), "answer")
	assert.Equal(t, len(j.outcome.Endings), 0)
}

// TestHedgeCountsWhereTheFirstIsNotAdmitted: while a request waits for a connection, its runner
// announces that it leaves, and a hedge is sent beside it. The hedge takes over the request, or
// counts as a run if it failed.
func TestHedgeCountsWhereTheFirstIsNotAdmitted(t *testing.T) {
	for name, test := range map[string]struct {
		hedge http.HandlerFunc
		ran   int
		body  string
	}{
		"the hedge answers": {hedge: answers("hedge"), body: "hedge"},
		"the hedge fails":   {hedge: fails, ran: 1},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			j, written := hedgedJob(t, test.hedge, test.hedge)
			var connects atomic.Int64
			j.dispatcher.Pool.Wrap = func(runner string, conn net.Conn) net.Conn {
				if connects.Add(1) == 1 {
					listed, _ := j.dispatcher.Fleet.Find(runner)
					listed.Draining = true
					j.dispatcher.Fleet.Apply([]backend.Runner{listed}, nil, false)
					time.Sleep(4 * minSilence)
				}
				return conn
			}
			again := j.attempt(t.Context())
			assert.Assert(t, again)
			assert.Equal(t, j.ran, test.ran)
			if test.body != "" {
				assert.Assert(t, !j.attempt(t.Context()))
			}
			assert.Equal(t, j.sent, 1)
			assert.Equal(t, written.Body.String(), test.body)
		})
	}
}

// TestRequestOfLateNodeWasNeverHedged: a node that is late with its own work hedges a request whose
// runner stays silent, but only once the silence is longer than its own lateness explains.
func TestRequestOfLateNodeWasNeverHedged(t *testing.T) {
	const allowance = 300 * time.Millisecond
	j, written := hedgedJob(t, after(time.Hour, refuses), answers("second"))
	j.dispatcher.Allowance = func() time.Duration { return allowance }
	start := time.Now()
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, written.Body.String(), "second")
	took := time.Since(start)
	assert.Assert(t, took >= minSilence+allowance && took < j.deadline.Sub(start)/2, "%s", took)
}
