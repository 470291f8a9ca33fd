package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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

const (
	refusalAnswer = "HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	wholeAnswer   = "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\nContent-Length: 5\r\n\r\nwhole"
)

// doublingRunner is a runner that refuses the first request as not run, sends that refusal once more in the
// place of the next answer on the connection, and runs all other requests.
type doublingRunner struct {
	net.Listener
	requests atomic.Int64
	runs     atomic.Int64
}

func startDoublingRunner(t *testing.T) *doublingRunner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &doublingRunner{Listener: listener}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.serve(conn)
		}
	}()
	return r
}

func (r *doublingRunner) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answered := 0; ; answered++ {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := wholeAnswer
		if r.requests.Add(1) == 1 {
			answer = refusalAnswer
		} else {
			r.runs.Add(1)
			if answered > 0 {
				answer = refusalAnswer + wholeAnswer
			}
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// TestRequestRanTwiceAfterADoubledRefusal: the only runner refuses a request that may run once as not
// run, and says so twice. The request is sent there again; the second refusal must not be taken for the
// answer to that, or it is refused, or runs twice.
func TestRequestRanTwiceAfterADoubledRefusal(t *testing.T) {
	runner := startDoublingRunner(t)
	j, written := oneRunnerJob(runner.Addr().String())
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, runner.runs.Load(), int64(1))
	assert.Equal(t, written.Code, http.StatusOK, "%s", written.Body)
}

// oneRunnerJob is a request that may run once and whose model one runner holds, at the address.
func oneRunnerJob(address string) (*job, *httptest.ResponseRecorder) {
	runnerFleet := fleet.New("zone", time.Now, noRules{})
	runnerFleet.Replace([]backend.Runner{{ID: "r1", Service: "s", Slots: 1, Address: address, Models: []backend.Holding{{Model: "alpha"}}}}, false)
	names := upstream.HeaderNames{RequestID: "X-Id", Deadline: "X-Deadline", ExpectRunner: "X-Runner", Signature: "X-Signature", NotRun: "X-Not-Run", Urgency: "X-Urgency"}
	written := httptest.NewRecorder()
	j := waitingFor(runnerFleet, 10*time.Second)
	j.dispatcher.Pool, j.dispatcher.Headers = upstream.NewPool(names), names
	j.dispatcher.Retries = retry.Limits{Ratio: 1, Slack: 100, Window: time.Second}
	j.writer = written
	j.route = &config.Route{Kind: config.Unsafe, Attempts: 2, Objective: 3 * time.Second}
	j.request = &Request{ID: "1", Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Arrived: time.Now()}
	return j, written
}

// TestUnsignedDenialWasPassedOnAsRunners: a 4xx with the request's identifier and no signature is not known
// to be the runner's. Clients took it for the node's own.
func TestUnsignedDenialWasPassedOnAsRunners(t *testing.T) {
	for _, status := range []int{http.StatusFound, http.StatusBadRequest, http.StatusForbidden, http.StatusNotFound} {
		runner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("X-Id", r.Header.Get("X-Id"))
			w.WriteHeader(status)
		}))
		t.Cleanup(runner.Close)
		j, written := oneRunnerJob(runner.Listener.Addr().String())
		for j.attempt(t.Context()) {
		}
		assert.Equal(t, written.Code, http.StatusBadGateway, "%d", status)
	}
}
