package statement

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitLastsAsLongAsItIsNamed: the latest value applies. An answer to a request without a
// limit lifts it, unless that answer may have been in flight already. Without any answer the
// limit expires.
func TestLimitLastsAsLongAsItIsNamed(t *testing.T) {
	book, now, changes := testBook()
	request, question := Source{Runner: "r1", Request: "a"}, Source{Runner: "r1"}
	head := func(rate string) http.Header { return http.Header{testLimitHeader: {rate}} }
	book.Hear(request, http.StatusOK, head("2"))
	book.Hear(request, http.StatusOK, head("2"))
	assert.DeepEqual(t, *changes, []Statement{Limit{Rate: 2}})
	book.Hear(request, http.StatusOK, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 2.0, "the answer may have been in flight")
	book.Hear(request, http.StatusOK, head("0.5"))
	*now = now.Add(2 * inFlightGrace)
	book.Hear(question, http.StatusOK, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 0.5, "answers to questions may omit the limit")
	book.Hear(request, http.StatusMisdirectedRequest, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 0.5, "the answer may come from another runner")
	book.Hear(Source{Runner: "r2", Request: "a"}, http.StatusOK, plainHead)
	book.Hear(request, http.StatusOK, head("none"))
	assert.Equal(t, book.Of("r1").Rate, 0.5, "an unreadable limit lifts nothing")
	book.Hear(request, http.StatusOK, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 0.0)
	book.Hear(request, http.StatusOK, head("3"))
	*now = now.Add(testLimits.LimitFor)
	assert.Equal(t, book.Of("r1"), State{})
}

// TestNodesLearnOfLimits: a limit that another node passed on applies, but is not passed on as
// this node's own. A report that is older than what the node knows, or is not a valid limit,
// changes nothing.
func TestNodesLearnOfLimits(t *testing.T) {
	book, now, changes := testBook()
	own := Source{Runner: "r1", Request: "a"}
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2, Age: time.Second}, {Runner: "r2", Rate: 1, Age: time.Hour}, {Runner: "r3", Rate: -1}, {Rate: 1}})
	assert.DeepEqual(t, book.Limits(), []HeardLimit{{Runner: "r1", Rate: 2, Age: time.Second}})
	assert.Equal(t, len(book.HeardLimits()), 0)
	assert.Equal(t, len(*changes), 1)
	book.Hear(own, http.StatusOK, http.Header{testLimitHeader: {"3"}})
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2, Age: time.Second}})
	assert.Equal(t, book.Of("r1").Rate, 3.0)
	assert.DeepEqual(t, book.HeardLimits(), []HeardLimit{{Runner: "r1", Rate: 3}})
	*now = now.Add(time.Second)
	book.Hear(own, http.StatusOK, plainHead)
	*now = now.Add(time.Second)
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2, Age: 2 * time.Second}})
	assert.Equal(t, book.Of("r1").Rate, 0.0, "the limit was lifted after that report")
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2}})
	assert.Equal(t, book.Of("r1").Rate, 2.0)
}
