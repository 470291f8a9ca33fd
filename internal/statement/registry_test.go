package statement

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"
)

// testRegistry returns a registry with a clock that the test advances, and the changes it
// announces.
func testRegistry() (registry *Registry, now *time.Time, changes *[]Statement) {
	now, changes = new(time.Time), new([]Statement)
	*now = time.Unix(1000, 0)
	registry = NewRegistry(Options{
		Headers: Headers{Leaving: testHeader, Limit: testLimitHeader, Brittle: testBrittle}, Now: func() time.Time { return *now }, Log: logr.Discard(),
		Limits:   func() Limits { return testLimits },
		OnChange: func(_ Source, statement Statement) { *changes = append(*changes, statement) },
	})
	return registry, now, changes
}

var (
	leavingHead = http.Header{testHeader: {valueLeaving}}
	plainHead   = http.Header{}
)

// restHead is the header of a rejection that asks for a rest of some seconds.
func restHead(seconds string) http.Header { return http.Header{headerRest: {seconds}} }

// TestLeavingExpires: answers that were in flight when a runner stated that it leaves may arrive
// later and do not end that state; a single wrong answer does not take a runner out of use for
// good.
func TestLeavingExpires(t *testing.T) {
	registry, now, changes := testRegistry()
	runner := Source{Runner: "r1"}
	registry.ReadHeader(runner, http.StatusOK, leavingHead)
	registry.ReadHeader(runner, http.StatusOK, plainHead)
	assert.Assert(t, registry.State("r1").Leaving)
	assert.Assert(t, !registry.State("r2").Leaving)
	*now = now.Add(testLimits.LeavingFor - time.Second)
	registry.ReadHeader(runner, http.StatusInternalServerError, leavingHead)
	*now = now.Add(testLimits.LeavingFor - time.Second)
	assert.Assert(t, registry.State("r1").Leaving)
	assert.Equal(t, len(*changes), 1)
	*now = now.Add(time.Second)
	assert.Assert(t, !registry.State("r1").Leaving)
	registry.ReadHeader(runner, http.StatusOK, leavingHead)
	assert.Assert(t, registry.State("r1").Leaving)
	assert.Equal(t, len(*changes), 2)
}

// TestRestLastsUntilItsLatestEnd: a shorter rest requested later does not shorten an earlier
// one.
func TestRestLastsUntilItsLatestEnd(t *testing.T) {
	registry, now, changes := testRegistry()
	runner := Source{Runner: "r1", Request: "q"}
	registry.ReadHeader(runner, http.StatusServiceUnavailable, restHead("3"))
	*now = now.Add(time.Second)
	registry.ReadHeader(runner, http.StatusServiceUnavailable, restHead("1"))
	assert.Equal(t, registry.State("r1").Rest, 2*time.Second)
	registry.ReadHeader(runner, http.StatusServiceUnavailable, restHead("2.5"))
	assert.Equal(t, registry.State("r1").Rest, 2500*time.Millisecond)
	assert.Equal(t, registry.CountResting(), 1)
	assert.Equal(t, len(*changes), 1)
	*now = now.Add(3 * time.Second)
	assert.Equal(t, registry.State("r1").Rest, time.Duration(0))
	registry.ReadHeader(runner, http.StatusServiceUnavailable, restHead("1"))
	assert.Equal(t, len(*changes), 2)
}

// TestDoubtIsLoggedOnceAWhile: a runner whose headers are all malformed does not flood the log.
func TestDoubtIsLoggedOnceAWhile(t *testing.T) {
	lines := 0
	registry, now, _ := testRegistry()
	registry.options.Log = funcr.New(func(_, _ string) { lines++ }, funcr.Options{})
	for range 50 {
		registry.ReadHeader(Source{Runner: "r1"}, http.StatusOK, http.Header{testHeader: {"maybe"}})
	}
	assert.Equal(t, lines, 1)
	assert.Equal(t, registry.State("r1"), State{})
	*now = now.Add(problemLogInterval)
	registry.ReadHeader(Source{Runner: "r1"}, http.StatusOK, http.Header{testHeader: {"maybe"}})
	assert.Equal(t, lines, 2)
}

// TestNotEveryAnswerIsHeard: an answer from another runner at the same address, or from an
// unknown one, changes nothing about the runner that the request was meant for.
func TestNotEveryAnswerIsHeard(t *testing.T) {
	registry, _, _ := testRegistry()
	registry.ReadHeader(Source{Runner: "r1"}, http.StatusMisdirectedRequest, leavingHead)
	registry.ReadHeader(Source{}, http.StatusOK, leavingHead)
	assert.Equal(t, registry.State("r1"), State{})
	assert.Equal(t, registry.State(""), State{})
	var none *Registry
	none.ReadHeader(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	assert.Equal(t, none.State("r1"), State{})
}

// TestExpiredRecordsAreRemoved: expired records are removed.
func TestExpiredRecordsAreRemoved(t *testing.T) {
	registry, now, _ := testRegistry()
	for _, id := range []string{"r1", "r2", "r3"} {
		registry.ReadHeader(Source{Runner: id}, http.StatusServiceUnavailable, restHead("2"))
	}
	*now = now.Add(testLimits.LeavingFor)
	registry.ReadHeader(Source{Runner: "r4"}, http.StatusOK, leavingHead)
	assert.Equal(t, registry.recordCount.Load(), int64(1))
}

// TestConcurrentReads reads headers concurrently, for the race detector.
func TestConcurrentReads(t *testing.T) {
	registry := NewRegistry(Options{Headers: Headers{Leaving: testHeader, Limit: testLimitHeader, Brittle: testBrittle}, Now: time.Now, Log: logr.Discard(), Limits: func() Limits { return testLimits }})
	var readers sync.WaitGroup
	for range 8 {
		readers.Go(func() {
			for range 200 {
				registry.ReadHeader(Source{Runner: "r1"}, http.StatusServiceUnavailable, restHead("2"))
				registry.ReadHeader(Source{Runner: "r1"}, http.StatusOK, leavingHead)
				registry.State("r1")
			}
		})
	}
	readers.Wait()
	assert.Assert(t, registry.State("r1").Leaving && registry.State("r1").Rest > 0)
}

// BenchmarkState measures the lookup of a runner that stated nothing, next to one that did.
func BenchmarkState(b *testing.B) {
	registry := NewRegistry(Options{Headers: Headers{Leaving: testHeader, Limit: testLimitHeader, Brittle: testBrittle}, Now: time.Now, Log: logr.Discard(), Limits: func() Limits { return testLimits }})
	registry.ReadHeader(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	for b.Loop() {
		registry.State("r2")
	}
}
