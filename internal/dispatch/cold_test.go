package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/demand"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

// coldJob is a request for a model that is held by one runner, which stays cold for the given time.
func coldJob(coldFor time.Duration) (*job, *fleet.Fleet, *demand.Tracker) {
	unit := backend.Unit{Model: "alpha"}
	runnerFleet := fleet.New("zone", time.Now, noRules{})
	terms := coldstart.NewTerms(6.9, 1.5, 5, 3*time.Second, coldstart.Lent{})
	runnerFleet.SetColdStarts(fleet.ColdStarts{Terms: func(string) coldstart.Terms { return terms }})
	runnerFleet.Replace([]backend.Runner{{ID: "r1", Service: "s", Models: []backend.Holding{{Model: unit.Model}}, ColdFor: coldFor}}, false)
	j := waitingFor(runnerFleet, time.Hour)
	j.route.Objective = time.Second
	return j, runnerFleet, j.dispatcher.Demand
}

// TestRequestWaitsForAPermit checks that a request that only a cold runner could serve asks for a
// permit at once, is woken when one arrives, and spends it.
func TestRequestWaitsForAPermit(t *testing.T) {
	j, runnerFleet, tracker := coldJob(time.Hour)
	urgent := tracker.Urgent("s")
	go func() {
		<-urgent
		runnerFleet.ApplyPermits([]fleet.PermitsLent{{Runner: "r1", Count: 1}}, time.Now())
	}()
	choice, err := j.selectRunner(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, choice.Runner.ID, "r1")
	assert.Equal(t, runnerFleet.ColdFigures().Spent, uint64(1))
	assert.Assert(t, !tracker.Waits("s"))
}

// TestRequestWithoutAPermitIsRefused checks that the request is refused at once, with the time at
// which the runner is warm, if no permit is lent before that.
func TestRequestWithoutAPermitIsRefused(t *testing.T) {
	j, runnerFleet, _ := coldJob(9 * time.Second)
	runnerFleet.SetOrdersIn("s", time.Minute)
	_, err := j.selectRunner(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeDeadline), "%v", err)
	retryAfter := fault.From(err, "").RetryAfter
	assert.Assert(t, retryAfter > 5*time.Second && retryAfter <= 9*time.Second, retryAfter)
	assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
}

// TestWaitForAPermitRechecks checks that a waiting request checks again by itself when a permit may
// have arrived or a draw allows it.
func TestWaitForAPermitRechecks(t *testing.T) {
	w := wait{maxWait: 8 * time.Second, objective: 4 * time.Second, expected: 700 * time.Millisecond, known: true, scheduled: true}
	decision, _, again := w.decide()
	assert.Equal(t, decision, keepWaiting)
	assert.Equal(t, again, w.expected)
	w.expected, w.retried = 0, true
	_, _, again = w.decide()
	assert.Equal(t, again, minRecheck)
}

// TestColdRunnerDoesNotHideALoad checks that a request that a cold runner could serve late expects
// the load in progress that serves it sooner.
func TestColdRunnerDoesNotHideALoad(t *testing.T) {
	j, runnerFleet, _ := coldJob(time.Minute)
	runnerFleet.Apply([]backend.Runner{{ID: "r2", Service: "s"}}, nil, false)
	runnerFleet.ApplyViews([]fleet.View{{Runner: "r2", Pending: []fleet.PendingUnit{{Unit: j.query.Unit, In: 2 * time.Second}}}}, 0)
	runnerFleet.SetOrdersIn("s", time.Minute)
	w := j.currentWait()
	assert.Assert(t, w.known && w.expected <= 2*time.Second, w.expected)
	assert.Assert(t, w.earliest <= w.expected)
}
