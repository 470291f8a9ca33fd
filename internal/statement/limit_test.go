package statement

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitLifetime: the latest value applies. An answer without a limit to a request lifts it,
// unless that answer may have been in flight already. Without any answer the limit expires.
func TestLimitLifetime(t *testing.T) {
	registry, now, changes := testRegistry()
	request, question := Source{Runner: "r1", Request: "a"}, Source{Runner: "r1"}
	head := func(rate string) http.Header { return http.Header{testLimitHeader: {rate}} }
	registry.ReadHeader(request, http.StatusOK, head("2"))
	registry.ReadHeader(request, http.StatusOK, head("2"))
	assert.DeepEqual(t, *changes, []Statement{Limit{Rate: 2}})
	registry.ReadHeader(request, http.StatusOK, plainHead)
	assert.Equal(t, registry.State("r1").Rate, 2.0, "the answer may have been in flight")
	registry.ReadHeader(request, http.StatusOK, head("0.5"))
	*now = now.Add(2 * inFlightGrace)
	registry.ReadHeader(question, http.StatusOK, plainHead)
	assert.Equal(t, registry.State("r1").Rate, 0.5, "answers to questions may omit the limit")
	registry.ReadHeader(request, http.StatusMisdirectedRequest, plainHead)
	assert.Equal(t, registry.State("r1").Rate, 0.5, "the answer may come from another runner")
	registry.ReadHeader(Source{Runner: "r2", Request: "a"}, http.StatusOK, plainHead)
	registry.ReadHeader(request, http.StatusOK, head("none"))
	assert.Equal(t, registry.State("r1").Rate, 0.5, "an unreadable limit lifts nothing")
	registry.ReadHeader(request, http.StatusOK, plainHead)
	assert.Equal(t, registry.State("r1").Rate, 0.0)
	registry.ReadHeader(request, http.StatusOK, head("3"))
	*now = now.Add(testLimits.LimitFor)
	assert.Equal(t, registry.State("r1"), State{})
}

// TestLimitsFromPeers: a limit that another node passed on applies, but is not passed on as
// this node's own. A report that is older than what the node knows, or is not a valid limit,
// changes nothing.
func TestLimitsFromPeers(t *testing.T) {
	registry, now, changes := testRegistry()
	own := Source{Runner: "r1", Request: "a"}
	registry.Learn("node-2", KindLimit, []Report{{Runner: "r1", Value: 2, Age: time.Second}, {Runner: "r2", Value: 1, Age: time.Hour}, {Runner: "r3", Value: -1}, {Value: 1}})
	assert.DeepEqual(t, registry.Reports(KindLimit), []Report{{Runner: "r1", Value: 2, Age: time.Second}})
	assert.Equal(t, len(registry.OwnReports(KindLimit)), 0)
	assert.Equal(t, len(*changes), 1)
	registry.ReadHeader(own, http.StatusOK, http.Header{testLimitHeader: {"3"}})
	registry.Learn("node-2", KindLimit, []Report{{Runner: "r1", Value: 2, Age: time.Second}})
	assert.Equal(t, registry.State("r1").Rate, 3.0)
	assert.DeepEqual(t, registry.OwnReports(KindLimit), []Report{{Runner: "r1", Value: 3}})
	*now = now.Add(time.Second)
	registry.ReadHeader(own, http.StatusOK, plainHead)
	*now = now.Add(time.Second)
	registry.Learn("node-2", KindLimit, []Report{{Runner: "r1", Value: 2, Age: 2 * time.Second}})
	assert.Equal(t, registry.State("r1").Rate, 0.0, "the limit was lifted after that report")
	registry.Learn("node-2", KindLimit, []Report{{Runner: "r1", Value: 2}})
	assert.Equal(t, registry.State("r1").Rate, 2.0)
}

// TestBrittleEndsWithAnAnswer: a runner is brittle until an answer to a request does not say so,
// also if it endures no rejection at all, and apart from its limit.
func TestBrittleEndsWithAnAnswer(t *testing.T) {
	registry, now, changes := testRegistry()
	request := Source{Runner: "r1", Request: "a"}
	brittle := http.Header{testBrittle: {"0"}}
	registry.ReadHeader(request, http.StatusOK, brittle)
	registry.ReadHeader(request, http.StatusOK, brittle)
	assert.DeepEqual(t, registry.State("r1"), State{Brittle: true})
	assert.Equal(t, len(*changes), 1)
	assert.DeepEqual(t, registry.OwnReports(KindBrittle), []Report{{Runner: "r1"}})
	assert.Equal(t, len(registry.Reports(KindLimit)), 0)
	registry.ReadHeader(request, http.StatusOK, plainHead)
	assert.Assert(t, registry.State("r1").Brittle, "the answer may have been in flight")
	*now = now.Add(inFlightGrace)
	registry.ReadHeader(Source{Runner: "r1"}, http.StatusOK, plainHead)
	assert.Assert(t, registry.State("r1").Brittle, "answers to questions may omit it")
	registry.ReadHeader(request, http.StatusOK, http.Header{testLimitHeader: {"2"}})
	assert.Assert(t, !registry.State("r1").Brittle)
	assert.Equal(t, registry.State("r1").Rate, 2.0)
	registry.Learn("node-2", KindBrittle, []Report{{Runner: "r1", Value: 3, Age: time.Second}, {Runner: "r2", Value: 3, Age: time.Second}, {Runner: "r3", Value: -1}})
	assert.Assert(t, !registry.State("r1").Brittle, "the answer is newer")
	assert.DeepEqual(t, registry.State("r2"), State{Brittle: true, Rejections: 3})
	assert.Assert(t, !registry.State("r3").Brittle)
	*now = now.Add(testLimits.LimitFor)
	assert.DeepEqual(t, registry.State("r2"), State{})
}
