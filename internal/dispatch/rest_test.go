package dispatch

import (
	"net/http"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/statement"
)

// restingFleet is a fleet whose only runner of model alpha asked for a rest (Retry-After).
func restingFleet(seconds string) *fleet.Fleet {
	runnerFleet := fleet.New("zone", time.Now, noRules{})
	registry := statement.NewRegistry(statement.Options{
		Headers: statement.Headers{Leaving: "X-Leaves"}, Now: time.Now, Log: logr.Discard(),
		Limits: func() statement.Limits {
			return statement.Limits{LongestRest: time.Minute, UnreadableRest: time.Second, LeavingFor: time.Minute}
		},
	})
	runnerFleet.SetStatements(registry)
	runnerFleet.Replace([]backend.Runner{{ID: "r1", Service: "s", Slots: 4, Models: []backend.Holding{{Model: "alpha"}}}}, false)
	registry.ReadHeader(statement.Source{Runner: "r1"}, http.StatusServiceUnavailable, http.Header{"Retry-After": {seconds}})
	return runnerFleet
}

// TestRequestWaitsForTheEndOfARest checks that a request is sent once the rest has ended if that
// lies before its deadline, and else is refused at once with that time.
func TestRequestWaitsForTheEndOfARest(t *testing.T) {
	runnerFleet := restingFleet("0.2")
	j := waitingFor(runnerFleet, 2*time.Second)
	choice, err := j.selectRunner(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, choice.Runner.ID, "r1")
	assert.Equal(t, j.outcome.Unplaced.Obstacles.MainReason().String(), "resting")

	j = waitingFor(restingFleet("3"), 2*time.Second)
	_, err = j.selectRunner(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeDeadline))
	back := fault.From(err, "").RetryAfter
	assert.Assert(t, back > 2*time.Second && back <= 3*time.Second, "%s", back)
}

// TestRestQueueIsBounded checks that requests beyond what the runner took before are refused at
// once.
func TestRestQueueIsBounded(t *testing.T) {
	runnerFleet := restingFleet("1")
	for range 2 {
		_, end := runnerFleet.AwaitRest(fleet.Query{Service: "s", Unit: backend.Unit{Model: "alpha"}})
		defer end()
	}
	j := waitingFor(runnerFleet, 20*time.Second)
	_, err := j.selectRunner(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeDeadline))
	assert.Assert(t, fault.From(err, "").RetryAfter > 500*time.Millisecond)
	assert.Assert(t, j.leaveQueue == nil)
}
