package dispatch

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/settings"
	"lilacvane/internal/stop"
	"lilacvane/internal/tenant"
)

// TestWaitingRequestWasHeldUntilItsNodeStopped: a request that waits for a runner is refused as soon as the node, which
// stops, could no longer finish it.
func TestWaitingRequestWasHeldUntilItsNodeStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := zonedJob(zonesOut{})
		j.query.Unit.Model = "beta"
		ended := make(chan error, 1)
		go func() {
			_, err := j.selectRunner(t.Context())
			ended <- err
		}()
		time.Sleep(time.Second)
		schedule := stop.NewSchedule(time.Now(), settings.Stop{Grace: 8 * time.Second, Notice: 3 * time.Second})
		j.dispatcher.Stop.Start(schedule)
		err := <-ended
		assert.Assert(t, fault.IsCode(err, fault.CodeDraining), "%v", err)
		assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
		assert.Equal(t, fault.From(err, "").RetryAfter, RetryElsewhere)
		assert.Assert(t, time.Since(schedule.LatestOpen) <= time.Millisecond)
	})
}

// TestStopRefusesOnlyWhatHasNotBegun: a request that may have run, or a stream that has begun, is not refused as not run.
func TestStopRefusesOnlyWhatHasNotBegun(t *testing.T) {
	for name, begin := range map[string]func(*job){
		"has run":   func(j *job) { j.ran = 1 },
		"has begun": func(j *job) { j.stream = &clientStream{} },
	} {
		t.Run(name, func(t *testing.T) {
			j := zonedJob(zonesOut{})
			j.dispatcher.Stop.Start(stop.NewSchedule(time.Now().Add(-4*time.Second), settings.Stop{Grace: 8 * time.Second, Notice: 3 * time.Second}))
			j.deadline = time.Now().Add(time.Hour)
			assert.Assert(t, j.checkStop() != nil)
			begin(j)
			assert.Assert(t, j.checkStop() == nil)
		})
	}
}

// TestStoppingNodeSentWhatItCannotFinishAfterConnecting: a request's runner is found, and the node begins a stop and is no longer
// taking on such requests while it connects to that. The request is refused as not run.
func TestStoppingNodeSentWhatItCannotFinishAfterConnecting(t *testing.T) {
	var received atomic.Int64
	runner := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer runner.Close()
	j, written := oneRunnerJob(runner.Listener.Addr().String())
	j.dispatcher.AwaitPendingReads = func() {
		j.dispatcher.Stop.Start(stop.NewSchedule(time.Now(), settings.Stop{Grace: time.Second}))
	}
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, received.Load(), int64(0))
	assert.Equal(t, written.Code, http.StatusServiceUnavailable, "%s", written.Body)
	assert.Equal(t, j.outcome.Attempts, 0)
}

// blockedLimiter answers once nobody waits for the answer any more.
type blockedLimiter struct{}

func (blockedLimiter) RecordDemand(*tenant.Tenant, float64) {}

func (blockedLimiter) Admit(ctx context.Context, _ *tenant.Tenant, _ float64, _ int) Admission {
	<-ctx.Done()
	return Admission{Verdict: LimitUnknown}
}

// TestStopEndedWithoutAnswerToLimitedRequest: a request is being decided on by its tenant's limit when the last answers
// are due. It is refused then, before connections end.
func TestStopEndedWithoutAnswerToLimitedRequest(t *testing.T) {
	ctx, leave := context.WithTimeout(t.Context(), 5*time.Second)
	defer leave()
	closing, end := context.WithCancel(t.Context())
	tenants, err := tenant.NewDirectory([]tenant.Tenant{{Name: "t", Keys: []tenant.Digest{tenant.DigestOf("k")}, Limit: tenant.Limit{Rate: 1, Burst: 1}}})
	assert.NilError(t, err)
	d := &Dispatcher{
		Fleet: fleet.New("zone", time.Now, noRules{}), Log: logr.Discard(), Limits: blockedLimiter{}, Closing: closing, AwaitFresh: func(context.Context) {},
		Configuration: func() *config.Configuration {
			return &config.Configuration{Services: map[string]*config.Service{"s": {}}, Tenants: tenants}
		},
	}
	time.AfterFunc(50*time.Millisecond, end)
	answer := httptest.NewRecorder()
	outcome := d.Serve(ctx, answer, &Request{Key: "k", Arrived: time.Now(), Service: "s", Route: &config.Route{Kind: config.Safe, Attempts: 1, Timeout: time.Hour}})
	assert.NilError(t, ctx.Err())
	assert.Equal(t, outcome.Result, ResultRefused)
	assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
}

// TestStopEndedWithoutAnswerToRequestThatWaitsForTables: a request waits for fresh tables, as after a pause of its node, when the
// last answers are due. It is refused then.
func TestStopEndedWithoutAnswerToRequestThatWaitsForTables(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closing, end := context.WithCancel(t.Context())
		d := &Dispatcher{
			Log: logr.Discard(), Closing: closing, AwaitFresh: func(ctx context.Context) { <-ctx.Done() },
			Configuration: func() *config.Configuration { return nil },
		}
		time.AfterFunc(time.Second, end)
		begun, answer := time.Now(), httptest.NewRecorder()
		outcome := d.Serve(t.Context(), answer, &Request{Arrived: begun})
		assert.Equal(t, time.Since(begun), time.Second)
		assert.Equal(t, outcome.Result, ResultRefused)
		assert.Equal(t, answer.Code, http.StatusServiceUnavailable)
	})
}

// TestStreamCutBetweenRunnersWasNotCounted: a stream that the stop cuts off while it waits for its next runner counts as
// cut off by the stop.
func TestStreamCutBetweenRunnersWasNotCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := zonedJob(zonesOut{})
		j.query.Unit.Model = "beta"
		j.stream = &clientStream{resumable: true, forwarded: 3, forwardedAt: time.Now()}
		j.outcome.Endings = []Ending{EndedByRunner}
		schedule := stop.NewSchedule(time.Now(), settings.Stop{Grace: 4 * time.Second, Notice: time.Second})
		j.dispatcher.Stop.Start(schedule)
		ctx, end := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Until(schedule.LastAnswers), func() { end(errClosing) })
		assert.Assert(t, !j.attempt(ctx))
		j.recordStop(time.Now())
		assert.Assert(t, j.outcome.Stop.Cut)
		assert.Equal(t, j.outcome.Stop.Idle, schedule.LastAnswers.Sub(schedule.Begin))
	})
}
