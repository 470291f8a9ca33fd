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

// testBook returns a registry with a clock that the test advances, and the changes it announces.
func testBook() (book *Book, now *time.Time, changes *[]Statement) {
	now, changes = new(time.Time), new([]Statement)
	*now = time.Unix(1000, 0)
	book = NewBook(Options{
		Headers: Headers{Leaving: testHeader, Limit: testLimitHeader}, Now: func() time.Time { return *now }, Log: logr.Discard(),
		Limits: func() Limits { return testLimits },
		News:   func(_ Source, statement Statement) { *changes = append(*changes, statement) },
	})
	return book, now, changes
}

var (
	leavingHead = http.Header{testHeader: {valueLeaving}}
	plainHead   = http.Header{}
)

// restHead is the header of a rejection that asks for a rest of some seconds.
func restHead(seconds string) http.Header { return http.Header{headerRest: {seconds}} }

// TestLeavingIsBelievedUntilItWasNotSaidForLong: answers that were in flight when a runner said
// that it leaves may arrive later and do not end it; a single wrong answer does not take a
// runner out of use for good.
func TestLeavingIsBelievedUntilItWasNotSaidForLong(t *testing.T) {
	book, now, changes := testBook()
	runner := Source{Runner: "r1"}
	book.Hear(runner, http.StatusOK, leavingHead)
	book.Hear(runner, http.StatusOK, plainHead)
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Assert(t, !book.Of("r2").Leaving)
	*now = now.Add(testLimits.LeavingFor - time.Second)
	book.Hear(runner, http.StatusInternalServerError, leavingHead)
	*now = now.Add(testLimits.LeavingFor - time.Second)
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Equal(t, len(*changes), 1)
	*now = now.Add(time.Second)
	assert.Assert(t, !book.Of("r1").Leaving)
	book.Hear(runner, http.StatusOK, leavingHead)
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Equal(t, len(*changes), 2)
}

// TestRestLastsUntilItsLatestEnd: a shorter rest requested later does not shorten an earlier
// one.
func TestRestLastsUntilItsLatestEnd(t *testing.T) {
	book, now, changes := testBook()
	runner := Source{Runner: "r1", Request: "q"}
	book.Hear(runner, http.StatusServiceUnavailable, restHead("3"))
	*now = now.Add(time.Second)
	book.Hear(runner, http.StatusServiceUnavailable, restHead("1"))
	assert.Equal(t, book.Of("r1").Rest, 2*time.Second)
	book.Hear(runner, http.StatusServiceUnavailable, restHead("2.5"))
	assert.Equal(t, book.Of("r1").Rest, 2500*time.Millisecond)
	assert.Equal(t, book.CountResting(), 1)
	assert.Equal(t, len(*changes), 1)
	*now = now.Add(3 * time.Second)
	assert.Equal(t, book.Of("r1").Rest, time.Duration(0))
	book.Hear(runner, http.StatusServiceUnavailable, restHead("1"))
	assert.Equal(t, len(*changes), 2)
}

// TestDoubtIsLoggedOnceAWhile: a runner whose headers are all malformed does not flood the log.
func TestDoubtIsLoggedOnceAWhile(t *testing.T) {
	lines := 0
	book, now, _ := testBook()
	book.options.Log = funcr.New(func(_, _ string) { lines++ }, funcr.Options{})
	for range 50 {
		book.Hear(Source{Runner: "r1"}, http.StatusOK, http.Header{testHeader: {"maybe"}})
	}
	assert.Equal(t, lines, 1)
	assert.Equal(t, book.Of("r1"), State{})
	*now = now.Add(problemLogInterval)
	book.Hear(Source{Runner: "r1"}, http.StatusOK, http.Header{testHeader: {"maybe"}})
	assert.Equal(t, lines, 2)
}

// TestNotEveryAnswerIsHeard: an answer from another runner at the same address, or from an
// unknown one, says nothing about the runner that was meant.
func TestNotEveryAnswerIsHeard(t *testing.T) {
	book, _, _ := testBook()
	book.Hear(Source{Runner: "r1"}, http.StatusMisdirectedRequest, leavingHead)
	book.Hear(Source{}, http.StatusOK, leavingHead)
	assert.Equal(t, book.Of("r1"), State{})
	assert.Equal(t, book.Of(""), State{})
	var none *Book
	none.Hear(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	assert.Equal(t, none.Of("r1"), State{})
}

// TestBookForgets: expired records are removed.
func TestBookForgets(t *testing.T) {
	book, now, _ := testBook()
	for _, id := range []string{"r1", "r2", "r3"} {
		book.Hear(Source{Runner: id}, http.StatusServiceUnavailable, restHead("2"))
	}
	*now = now.Add(testLimits.LeavingFor)
	book.Hear(Source{Runner: "r4"}, http.StatusOK, leavingHead)
	assert.Equal(t, book.recordCount.Load(), int64(1))
}

// TestManyHearAtOnce reads headers concurrently, for the race detector.
func TestManyHearAtOnce(t *testing.T) {
	book := NewBook(Options{Headers: Headers{Leaving: testHeader, Limit: testLimitHeader}, Now: time.Now, Log: logr.Discard(), Limits: func() Limits { return testLimits }})
	var readers sync.WaitGroup
	for range 8 {
		readers.Go(func() {
			for range 200 {
				book.Hear(Source{Runner: "r1"}, http.StatusServiceUnavailable, restHead("2"))
				book.Hear(Source{Runner: "r1"}, http.StatusOK, leavingHead)
				book.Of("r1")
			}
		})
	}
	readers.Wait()
	assert.Assert(t, book.Of("r1").Leaving && book.Of("r1").Rest > 0)
}

// BenchmarkOf measures the lookup of a runner that stated nothing, next to one that did.
func BenchmarkOf(b *testing.B) {
	book := NewBook(Options{Headers: Headers{Leaving: testHeader, Limit: testLimitHeader}, Now: time.Now, Log: logr.Discard(), Limits: func() Limits { return testLimits }})
	book.Hear(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	for b.Loop() {
		book.Of("r2")
	}
}
