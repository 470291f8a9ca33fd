package statement

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimitLastsAsLongAsItIsNamed: the newest number counts; an answer to a request without one
// lifts it, but for one that may have crossed it; it ends by itself when nobody hears.
func TestLimitLastsAsLongAsItIsNamed(t *testing.T) {
	book, now, news := testBook()
	request, question := Source{Runner: "r1", Request: "a"}, Source{Runner: "r1"}
	head := func(rate string) http.Header { return http.Header{testLimitHeader: {rate}} }
	book.Hear(request, http.StatusOK, head("2"))
	book.Hear(request, http.StatusOK, head("2"))
	assert.DeepEqual(t, *news, []Statement{Limit{Rate: 2}})
	book.Hear(request, http.StatusOK, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 2.0, "it may have crossed")
	book.Hear(request, http.StatusOK, head("0.5"))
	*now = now.Add(2 * crossing)
	book.Hear(question, http.StatusOK, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 0.5, "questions may not name it")
	book.Hear(request, http.StatusMisdirectedRequest, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 0.5, "another runner may have answered")
	book.Hear(Source{Runner: "r2", Request: "a"}, http.StatusOK, plainHead)
	book.Hear(request, http.StatusOK, head("none"))
	assert.Equal(t, book.Of("r1").Rate, 0.5, "what cannot be read lifts nothing")
	book.Hear(request, http.StatusOK, plainHead)
	assert.Equal(t, book.Of("r1").Rate, 0.0)
	book.Hear(request, http.StatusOK, head("3"))
	*now = now.Add(testLimits.LimitFor)
	assert.Equal(t, book.Of("r1"), State{})
}

// TestNodesLearnOfLimits: what a node was told binds it, and is not reported as its own; a word that is
// older than what it heard, or no number, changes nothing.
func TestNodesLearnOfLimits(t *testing.T) {
	book, now, news := testBook()
	own := Source{Runner: "r1", Request: "a"}
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2, Age: time.Second}, {Runner: "r2", Rate: 1, Age: time.Hour}, {Runner: "r3", Rate: -1}, {Rate: 1}})
	assert.DeepEqual(t, book.Limits(), []HeardLimit{{Runner: "r1", Rate: 2, Age: time.Second}})
	assert.Equal(t, len(book.HeardLimits()), 0)
	assert.Equal(t, len(*news), 1)
	book.Hear(own, http.StatusOK, http.Header{testLimitHeader: {"3"}})
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2, Age: time.Second}})
	assert.Equal(t, book.Of("r1").Rate, 3.0)
	assert.DeepEqual(t, book.HeardLimits(), []HeardLimit{{Runner: "r1", Rate: 3}})
	*now = now.Add(time.Second)
	book.Hear(own, http.StatusOK, plainHead)
	*now = now.Add(time.Second)
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2, Age: 2 * time.Second}})
	assert.Equal(t, book.Of("r1").Rate, 0.0, "it was lifted since")
	book.LearnLimits("node-2", []HeardLimit{{Runner: "r1", Rate: 2}})
	assert.Equal(t, book.Of("r1").Rate, 2.0)
}
