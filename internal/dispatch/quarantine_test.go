package dispatch

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/crash"
	"lilacvane/internal/poison"
)

// quarantineStub refuses all requests once refuses is set.
type quarantineStub struct {
	refuses   atomic.Bool
	succeeded atomic.Int64
}

func (q *quarantineStub) Idle() bool { return !q.refuses.Load() }

func (q *quarantineStub) Controlled(string, []string) {}

func (q *quarantineStub) Check(poison.Identity, []poison.Identity) poison.Decision {
	if !q.refuses.Load() {
		return poison.Decision{}
	}
	return poison.Decision{Verdict: poison.Refused, Mark: poison.Mark{Since: time.Now()}}
}

func (q *quarantineStub) Trial(context.Context, []poison.Identity, string) (bool, time.Duration) {
	return false, time.Second
}

func (q *quarantineStub) TrialEnded([]poison.Identity, string) {}

func (q *quarantineStub) Succeeded(poison.Identity) bool {
	q.succeeded.Add(1)
	return true
}

// TestHedgeWasSentThoughRequestWasRefusedMeanwhile: an attempt that began while no crash was known
// sent its hedge without asking whether the request is refused by then.
func TestHedgeWasSentThoughRequestWasRefusedMeanwhile(t *testing.T) {
	j, written := hedgedJob(t, after(time.Hour, refuses), answers("second"))
	stub := &quarantineStub{}
	j.dispatcher.Quarantine = stub
	time.AfterFunc(minSilence/2, func() { stub.refuses.Store(true) })
	j.deadline = time.Now().Add(5 * minSilence)
	ctx, cancel := context.WithDeadlineCause(t.Context(), j.deadline, errTimeout)
	defer cancel()
	for j.attempt(ctx) {
	}
	assert.Equal(t, j.sent, 1)
	assert.Assert(t, written.Code != http.StatusOK, "%s", written.Body)
}

// TestRequestWasSentThoughRefusedWhileConnecting: a request that became refused while its node
// connected to the runner was sent all the same.
func TestRequestWasSentThoughRefusedWhileConnecting(t *testing.T) {
	j, written := hedgedJob(t, answers("first"), answers("second"))
	stub := &quarantineStub{}
	j.dispatcher.Quarantine = stub
	dial := j.dispatcher.Pool.Dial
	j.dispatcher.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		stub.refuses.Store(true)
		return dial(ctx, network, address)
	}
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, written.Code, http.StatusServiceUnavailable, "%s", written.Body)
}

// crashesStub counts the signs of crashes.
type crashesStub struct{ interrupted atomic.Int64 }

func (c *crashesStub) Interrupted(backend.Runner, crash.Request, crash.ProbeMethod) {
	c.interrupted.Add(1)
}

func (c *crashesStub) Refused(string) {}

// TestCrashWithoutLengthCountedAsSuccess: an answer without a length ends with its connection, also
// when its runner crashes. It cleared the crashes under its request.
func TestCrashWithoutLengthCountedAsSuccess(t *testing.T) {
	j, written, crashes := unframedJob(t, crashesAfter("part"))
	j.route.Kind = config.Unsafe
	stub := &quarantineStub{}
	j.dispatcher.Quarantine = &activeQuarantine{stub}
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, written.Code, http.StatusBadGateway)
	assert.Equal(t, stub.succeeded.Load(), int64(0))
	assert.Equal(t, crashes.interrupted.Load(), int64(1))
}

// activeQuarantine is a quarantineStub that knows of crashes.
type activeQuarantine struct{ *quarantineStub }

func (q *activeQuarantine) Idle() bool { return false }

// heldQuarantine holds all requests and grants no trial.
type heldQuarantine struct{ *activeQuarantine }

func (q *heldQuarantine) Check(content poison.Identity, _ []poison.Identity) poison.Decision {
	return poison.Decision{Verdict: poison.Held, Held: []poison.Identity{content}}
}

func (q *heldQuarantine) Trial(context.Context, []poison.Identity, string) (bool, time.Duration) {
	return false, 10 * time.Millisecond
}

// TestBegunStreamWasAbortedWhileHeld: a stream that has begun and is held when it is to go on elsewhere waits as long
// as its client does, also after the time in which requests are started; others are sent then.
func TestBegunStreamWasAbortedWhileHeld(t *testing.T) {
	for _, begun := range []bool{true, false} {
		j, written := hedgedJob(t, answers("first"), answers("second"))
		j.dispatcher.Quarantine = &heldQuarantine{&activeQuarantine{&quarantineStub{}}}
		j.deadline = time.Now().Add(time.Second)
		j.request.Arrived = j.deadline.Add(-time.Minute)
		if begun {
			j.stream = &clientStream{}
		}
		choice, chosen := j.choose(t.Context())
		assert.Assert(t, chosen)
		ready, again := j.beginTrial(t.Context(), choice)
		assert.Equal(t, ready, !begun)
		assert.Equal(t, again, begun)
		assert.Equal(t, j.refusedNow(j.query.Unit), begun)
		assert.Equal(t, written.Body.Len(), 0)
	}
}
