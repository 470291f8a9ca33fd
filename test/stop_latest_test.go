package test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
)

const (
	// latestCount is the number of clients that send requests which may not be repeated on kept connections, one
	// after the other, until their node is gone.
	latestCount = 48
	// latestDeadline is how long they wait for each, and latestSlowdown by how much runners are slower from the
	// signal on.
	latestDeadline = 900 * time.Millisecond
	latestSlowdown = 60
	// latestEach is how many requests end at each of the latest moments.
	latestEach = 4
)

// latestMoments are how long before the end of the grace the last bytes of requests are sent.
var latestMoments = []time.Duration{
	time.Second, 900 * time.Millisecond, 800 * time.Millisecond, 700 * time.Millisecond, 600 * time.Millisecond, 500 * time.Millisecond, 400 * time.Millisecond,
	300 * time.Millisecond, 200 * time.Millisecond, 150 * time.Millisecond, 100 * time.Millisecond, 50 * time.Millisecond,
}

// TestLatestRequestsOfAStopWereCut: requests that may not be repeated, calls between services and others reach a node
// up to 50 ms before the end of its grace, many at once, on kept connections and as their bodies end, while their runners
// are slower than before. Each that was read ends with its whole answer, or with a truthful refusal.
func TestLatestRequestsOfAStopWereCut(t *testing.T) {
	t.Parallel()
	for _, limits := range []settings.Stop{longStop, {Grace: 4 * time.Second, Notice: 1500 * time.Millisecond}, {Grace: 12 * time.Second, Notice: 4500 * time.Millisecond}} {
		t.Run(limits.Grace.String(), func(t *testing.T) {
			t.Parallel()
			w, nodes := startStopWorld(t, limits, 2, 3)
			startMailers(t, w, 3)
			waitUntil(t, "requests without a model are served", func() error {
				if got := send(t.Context(), nodes[0], answerKinds()["unsafe"]); got.Status != http.StatusOK {
					return fmt.Errorf("%+v", got)
				}
				return nil
			})
			kept := startLatestClients(nodes[0])
			slowDown := time.AfterFunc(2*time.Second, func() {
				for id := range w.Runners {
					assert.Check(t, w.SetRunnerFaults(id, runnerstub.Faults{SlowFactor: latestSlowdown}))
				}
			})
			defer slowDown.Stop()
			requests := latestRequests(limits)
			answers := stopUnder(t, nodes[0], requests, time.Now().Add(2*time.Second))
			checkLatest(t, w, requests, answers, limits)
			checkKept(t, w, kept)
		})
	}
}

// latestRequests returns requests whose bodies end in the last second of a stop.
func latestRequests(limits settings.Stop) []slowRequest {
	var requests []slowRequest
	for _, moment := range latestMoments {
		for _, path := range []string{"/send/x", "/read/x", "/reply/x", completionPath} {
			for number := range latestEach {
				r := slowRequest{
					name: fmt.Sprintf("%s before the end", moment), path: path, dial: limits.Notice / 2, send: limits.Notice * 3 / 4,
					bodyEnd: limits.Grace - moment, sized: number%2 == 0,
				}
				if number < latestEach/2 {
					// It is due before the end, if its deadline is counted from its head or from its last byte.
					r.deadline = r.bodyEnd - r.send + moment/2
				}
				if path == "/reply/x" || path == completionPath {
					r.events = 3
				}
				requests = append(requests, r)
			}
		}
	}
	return requests
}

// latestClients is what the clients on kept connections got.
type latestClients struct {
	running sync.WaitGroup
	mutex   sync.Mutex
	results []requestResult
}

// startLatestClients lets clients send to a node until it accepts no connection.
func startLatestClients(node *world.Node) *latestClients {
	c := &latestClients{}
	for range latestCount {
		c.running.Go(func() {
			client := &persistentClient{node: node}
			defer client.close()
			for {
				result, connected := client.do(clientRequest{ID: newID(), Path: "/send/x", Method: http.MethodPost, Body: []byte("body"), Deadline: latestDeadline})
				if !connected {
					return
				}
				c.mutex.Lock()
				c.results = append(c.results, result)
				c.mutex.Unlock()
			}
		})
	}
	return c
}

// checkLatest checks the answers to requests whose bodies end in the last second. One whose last byte was sent as its
// connection had been closed was not read, and must not have run.
func checkLatest(t *testing.T, w *world.World, requests []slowRequest, answers []slowAnswer, limits settings.Stop) {
	t.Helper()
	attempts := readHistory(t, w).attemptsByPrompt()
	counts := make(map[string]int)
	for index, answer := range answers {
		r, runs := requests[index], len(attempts[answer.ID])
		kind := endLost
		switch {
		case answer.whole && runs > 0:
			kind = endServed
		case answer.Complete && answer.Status == http.StatusServiceUnavailable && runs == 0:
			kind = endRefused
		case answer.Complete && answer.Status == http.StatusGatewayTimeout && answer.ended >= answer.headSent+r.deadline-deadlineSlack:
			kind = endDeadline
		case !answer.read && runs == 0:
			kind = endUnread
		case answer.Status == 0 && runs == 0 && answer.ended-answer.sent <= maxCloseRace:
			kind = endCrossed
		}
		counts[kind]++
		assert.Check(t, kind != endLost, "%s, %s: sent %s, ended %s: status %d, ran %d times: %v", r.path, r.name, answer.sent, answer.ended, answer.Status, runs, answer.problem)
		assert.Check(t, runs <= 1 || r.path == "/read/x", "%s ran %d times", r.path, runs)
	}
	t.Logf("grace %s, bodies that end late: %v", limits.Grace, counts)
}

// checkKept checks what the clients on kept connections got: a whole answer, or none where their request crossed the
// close of the connection and did not run.
func checkKept(t *testing.T, w *world.World, c *latestClients) {
	t.Helper()
	c.running.Wait()
	attempts := readHistory(t, w).attemptsByPrompt()
	counts := make(map[string]int)
	for _, result := range c.results {
		runs := len(attempts[result.request.ID])
		answer := result.answer
		kind := ""
		switch {
		case result.problem == nil && answer.Status == http.StatusOK && runs == 1:
			kind = endServed
		case result.problem == nil && answer.Status == http.StatusServiceUnavailable && runs == 0:
			kind = endRefused
		case result.problem == nil && answer.Status == http.StatusGatewayTimeout && result.end.Sub(result.sent) >= latestDeadline-deadlineSlack:
			kind = endDeadline
		case result.problem != nil && runs == 0 && result.end.Sub(result.sent) <= maxCloseRace:
			kind = endCrossed
		default:
			kind = endLost
		}
		counts[kind]++
		assert.Check(t, kind != endLost, "sent %s, ended %s: status %d, ran %d times: %v", result.sent.Format(time.RFC3339Nano), result.end.Format(time.RFC3339Nano), answer.Status, runs, result.problem)
	}
	t.Logf("kept connections: %v", counts)
	assert.Check(t, counts[endServed] > 0)
}
