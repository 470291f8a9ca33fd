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
	registry.LearnLimits("node-2", []LimitReport{{Runner: "r1", Rate: 2, Age: time.Second}, {Runner: "r2", Rate: 1, Age: time.Hour}, {Runner: "r3", Rate: -1}, {Rate: 1}})
	assert.DeepEqual(t, registry.Limits(), []LimitReport{{Runner: "r1", Rate: 2, Age: time.Second}})
	assert.Equal(t, len(registry.OwnLimits()), 0)
	assert.Equal(t, len(*changes), 1)
	registry.ReadHeader(own, http.StatusOK, http.Header{testLimitHeader: {"3"}})
	registry.LearnLimits("node-2", []LimitReport{{Runner: "r1", Rate: 2, Age: time.Second}})
	assert.Equal(t, registry.State("r1").Rate, 3.0)
	assert.DeepEqual(t, registry.OwnLimits(), []LimitReport{{Runner: "r1", Rate: 3}})
	*now = now.Add(time.Second)
	registry.ReadHeader(own, http.StatusOK, plainHead)
	*now = now.Add(time.Second)
	registry.LearnLimits("node-2", []LimitReport{{Runner: "r1", Rate: 2, Age: 2 * time.Second}})
	assert.Equal(t, registry.State("r1").Rate, 0.0, "the limit was lifted after that report")
	registry.LearnLimits("node-2", []LimitReport{{Runner: "r1", Rate: 2}})
	assert.Equal(t, registry.State("r1").Rate, 2.0)
}
