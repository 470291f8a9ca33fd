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

// testBook is a book with a clock that the test moves, and its news.
func testBook() (book *Book, now *time.Time, news *[]Statement) {
	now, news = new(time.Time), new([]Statement)
	*now = time.Unix(1000, 0)
	book = NewBook(Options{
		Headers: Headers{Leaving: testHeader, Limit: testLimitHeader}, Now: func() time.Time { return *now }, Log: logr.Discard(),
		Limits: func() Limits { return testLimits },
		News:   func(_ Source, made Statement) { *news = append(*news, made) },
	})
	return book, now, news
}

var (
	leavingHead = http.Header{testHeader: {leaves}}
	plainHead   = http.Header{}
)

// restHead is the head of a refusal that asks for a rest of some seconds.
func restHead(seconds string) http.Header { return http.Header{headerRest: {seconds}} }

// TestLeavingIsBelievedUntilItWasNotSaidForLong: answers under way when it was said may come
// after it; one wrong answer does not take a runner out for good.
func TestLeavingIsBelievedUntilItWasNotSaidForLong(t *testing.T) {
	book, now, news := testBook()
	runner := Source{Runner: "r1"}
	book.Hear(runner, http.StatusOK, leavingHead)
	book.Hear(runner, http.StatusOK, plainHead)
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Assert(t, !book.Of("r2").Leaving)
	*now = now.Add(testLimits.LeavingFor - time.Second)
	book.Hear(runner, http.StatusInternalServerError, leavingHead)
	*now = now.Add(testLimits.LeavingFor - time.Second)
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Equal(t, len(*news), 1)
	*now = now.Add(time.Second)
	assert.Assert(t, !book.Of("r1").Leaving)
	book.Hear(runner, http.StatusOK, leavingHead)
	assert.Assert(t, book.Of("r1").Leaving)
	assert.Equal(t, len(*news), 2)
}

// TestRestLastsUntilItsLatestEnd: a shorter rest asked for later takes nothing back.
func TestRestLastsUntilItsLatestEnd(t *testing.T) {
	book, now, news := testBook()
	runner := Source{Runner: "r1", Request: "q"}
	book.Hear(runner, http.StatusServiceUnavailable, restHead("3"))
	*now = now.Add(time.Second)
	book.Hear(runner, http.StatusServiceUnavailable, restHead("1"))
	assert.Equal(t, book.Of("r1").Rest, 2*time.Second)
	book.Hear(runner, http.StatusServiceUnavailable, restHead("2.5"))
	assert.Equal(t, book.Of("r1").Rest, 2500*time.Millisecond)
	assert.Equal(t, book.CountResting(), 1)
	assert.Equal(t, len(*news), 1)
	*now = now.Add(3 * time.Second)
	assert.Equal(t, book.Of("r1").Rest, time.Duration(0))
	book.Hear(runner, http.StatusServiceUnavailable, restHead("1"))
	assert.Equal(t, len(*news), 2)
}

// TestDoubtIsLoggedOnceAWhile: a runner that garbles each answer does not fill the log.
func TestDoubtIsLoggedOnceAWhile(t *testing.T) {
	lines := 0
	book, now, _ := testBook()
	book.options.Log = funcr.New(func(_, _ string) { lines++ }, funcr.Options{})
	for range 50 {
		book.Hear(Source{Runner: "r1"}, http.StatusOK, http.Header{testHeader: {"maybe"}})
	}
	assert.Equal(t, lines, 1)
	assert.Equal(t, book.Of("r1"), State{})
	*now = now.Add(doubtPause)
	book.Hear(Source{Runner: "r1"}, http.StatusOK, http.Header{testHeader: {"maybe"}})
	assert.Equal(t, lines, 2)
}

// TestNotEveryAnswerIsHeard: another runner at the address, or none that is known, says nothing
// of the one that was meant.
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

// TestBookForgets: what is over is not kept.
func TestBookForgets(t *testing.T) {
	book, now, _ := testBook()
	for _, id := range []string{"r1", "r2", "r3"} {
		book.Hear(Source{Runner: id}, http.StatusServiceUnavailable, restHead("2"))
	}
	*now = now.Add(testLimits.LeavingFor)
	book.Hear(Source{Runner: "r4"}, http.StatusOK, leavingHead)
	assert.Equal(t, book.known.Load(), int64(1))
}

// TestManyHearAtOnce is for the race detector.
func TestManyHearAtOnce(t *testing.T) {
	book := NewBook(Options{Headers: Headers{Leaving: testHeader, Limit: testLimitHeader}, Now: time.Now, Log: logr.Discard(), Limits: func() Limits { return testLimits }})
	var hearing sync.WaitGroup
	for range 8 {
		hearing.Go(func() {
			for range 200 {
				book.Hear(Source{Runner: "r1"}, http.StatusServiceUnavailable, restHead("2"))
				book.Hear(Source{Runner: "r1"}, http.StatusOK, leavingHead)
				book.Of("r1")
			}
		})
	}
	hearing.Wait()
	assert.Assert(t, book.Of("r1").Leaving && book.Of("r1").Rest > 0)
}

// BenchmarkOf asks for a runner that stated nothing, beside one that did.
func BenchmarkOf(b *testing.B) {
	book := NewBook(Options{Headers: Headers{Leaving: testHeader, Limit: testLimitHeader}, Now: time.Now, Log: logr.Discard(), Limits: func() Limits { return testLimits }})
	book.Hear(Source{Runner: "r1"}, http.StatusOK, leavingHead)
	for b.Loop() {
		book.Of("r2")
	}
}
