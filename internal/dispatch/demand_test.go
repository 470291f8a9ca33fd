package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/demand"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
)

// waitingJob is a request for a model that no runner holds, whose load takes longer than the
// request's objective.
func waitingJob(tracker *demand.Tracker) *job {
	alpha := &config.Model{Name: "alpha", LoadTime: 10 * time.Second}
	configuration := &config.Configuration{Services: map[string]*config.Service{
		"s": {Engine: &config.Engine{Models: map[string]*config.Model{"alpha": alpha}}},
	}}
	const elapsed = 230 * time.Millisecond
	j := waitingFor(fleet.New("zone", time.Now, noRules{}), time.Hour)
	j.dispatcher.Demand = tracker
	j.dispatcher.Configuration = func() *config.Configuration { return configuration }
	j.route.Objective = time.Second
	j.request.Arrived = time.Now().Add(-elapsed)
	return j
}

// TestRefusedRequestKeepsDemand checks that the demand for a model stays recorded when the client
// is refused with a retry time, as the client tries again.
func TestRefusedRequestKeepsDemand(t *testing.T) {
	tracker := demand.NewTracker()
	_, err := waitingJob(tracker).selectRunner(t.Context())
	assert.Assert(t, fault.IsCode(err, fault.CodeDeadline), "%v", err)
	assert.Equal(t, len(tracker.Waiting()), 1)
}

// TestLeftClientHasNoDemand checks that no demand stays recorded for a client that left
// while its request was about to be refused, as that client does not try again.
func TestLeftClientHasNoDemand(t *testing.T) {
	tracker := demand.NewTracker()
	ctx, leave := context.WithCancel(t.Context())
	leave()
	_, err := waitingJob(tracker).selectRunner(ctx)
	assert.Assert(t, fault.IsCode(err, fault.CodeCanceled), "%v", err)
	assert.Equal(t, len(tracker.Waiting()), 0)
}
