package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

// wholeAnswers are answers to the request "1", whole up to their last byte; a cut in any place but the last
// leaves a part.
var wholeAnswers = map[string]struct{ head, body string }{
	"length":           {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
	"length first":     {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\nX-Id: 1\r\n\r\n", "twelve bytes"},
	"chunks":           {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "6;name=value\r\ntwelve\r\n6\r\n bytes\r\n0\r\n\r\n"},
	"trailer":          {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTrailer: X-Sum\r\nTransfer-Encoding: chunked\r\n\r\n", "c\r\ntwelve bytes\r\n0\r\nX-Sum: 7\r\n\r\n"},
	"no framing":       {"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n", ""},
	"HTTP/1.0":         {"HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
	"interim answers":  {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Id: 1\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
	"bare line feeds":  {"HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 12\n\n", "twelve bytes"},
	"no reason":        {"HTTP/1.1 200\r\nX-Id: 1\r\nContent-Length: 12\r\n\r\n", "twelve bytes"},
	"not run":          {"HTTP/1.1 503 Service Unavailable\r\nX-Id: 1\r\nX-Not-Run: 1\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n", ""},
	"no content":       {"HTTP/1.1 204 No Content\r\nX-Id: 1\r\n\r\n", ""},
	"stream of events": {"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", "f\r\nid: 0\ndata: a\n\n\r\n0\r\n\r\n"},
}

// connectionEnds are the ways in which a runner ends a connection.
var connectionEnds = map[string]func(net.Conn){
	"close": func(net.Conn) {},
	"reset": func(conn net.Conn) { _ = conn.(*net.TCPConn).SetLinger(0) },
}

// serveBytes starts a runner that answers the first request on each connection with the bytes that content
// returns, and ends the connection.
func serveBytes(t *testing.T, content func() string, end func(net.Conn)) *scriptedRunner {
	t.Helper()
	return serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		if _, err := s.next(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = io.WriteString(conn, content())
		end(conn)
	})
}

// checkCuts cuts each answer after each of its bytes and checks that no part passes for a whole answer, nor for
// one that did not run.
func checkCuts(t *testing.T, poolOf func(t *testing.T) *Pool) {
	t.Helper()
	for name, whole := range wholeAnswers {
		for how, end := range connectionEnds {
			t.Run(name+", "+how, func(t *testing.T) {
				t.Parallel()
				content := whole.head + whole.body
				var sent atomic.Int32
				s := serveBytes(t, func() string { return content[:sent.Load()] }, end)
				pool := poolOf(t)
				for cut := range len(content) {
					sent.Store(int32(cut))
					answer, err := pool.Do(t.Context(), s.call("1"))
					if err == nil {
						assert.Assert(t, cut >= len(whole.head), "a head of %d bytes of %d was taken for whole", cut, len(whole.head))
						_, err = io.ReadAll(answer)
					}
					assert.Assert(t, err != nil, "%d bytes of %d were taken for whole", cut, len(content))
					assert.Equal(t, fault.OutcomeOf(err), fault.Unknown, "%d bytes of %d: %v", cut, len(content), err)
					assert.Equal(t, len(idleOf(pool, "r")), 0, "kept after %d bytes of %d", cut, len(content))
				}
			})
		}
	}
}

// TestAnswerWithACutHeadLookedWhole: a runner stopped in the middle of an answer, in its head too, and ended the
// connection. No part may look like an answer, nor like a refusal, and its connection is not used again.
func TestAnswerWithACutHeadLookedWhole(t *testing.T) {
	checkCuts(t, func(*testing.T) *Pool { return NewPool(testNames) })
}

// carriedPool returns a pool that reaches runners through a peer alone.
func carriedPool(t *testing.T) *Pool {
	t.Helper()
	w := startPathWorld(t)
	lose(&w.lost, net.ErrClosed)
	return w.pool
}

// TestCarriedAnswerWithACutHeadLookedWhole: the same through a peer.
func TestCarriedAnswerWithACutHeadLookedWhole(t *testing.T) {
	checkCuts(t, carriedPool)
}

// TestCutHeadOnAKeptConnectionLookedWhole: the second answer on a connection is cut after each byte of its head.
func TestCutHeadOnAKeptConnectionLookedWhole(t *testing.T) {
	whole := answerText("2", "second")
	head := strings.Index(whole, "second")
	var sent atomic.Int32
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		if id, err := s.next(reader); err != nil || id != "1" {
			return
		}
		_, _ = io.WriteString(conn, answerText("1", "first"))
		if _, err := s.next(reader); err == nil {
			_, _ = io.WriteString(conn, whole[:sent.Load()])
		}
	})
	pool := NewPool(testNames)
	for cut := range head {
		sent.Store(int32(cut))
		content, err := exchange(pool, s.call("1"))
		assert.NilError(t, err)
		assert.Equal(t, content, "first")
		_, err = exchange(pool, s.call("2"))
		assert.Assert(t, err != nil, "%d bytes of %d", cut, head)
		assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
		assert.Equal(t, len(idleOf(pool, "r")), 0)
	}
}

// oddAnswerTime bounds how long an answer that is out of order may take, in tests whose runner keeps the
// connection open.
const oddAnswerTime = 3 * time.Second

// oddHead returns a head with these lines, and a body.
func oddHead(lines ...string) string {
	return "HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + strings.Join(lines, "\r\n") + "\r\n\r\n"
}

// TestAnswerOutOfOrderLookedWhole: answers whose framing contradicts itself, or has no end, are errors.
func TestAnswerOutOfOrderLookedWhole(t *testing.T) {
	chunked := oddHead("Transfer-Encoding: chunked")
	for name, content := range map[string]string{
		"different lengths":          oddHead("Content-Length: 3", "Content-Length: 2") + "abc",
		"list of different lengths":  oddHead("Content-Length: 3, 2") + "abc",
		"negative length":            oddHead("Content-Length: -3") + "abc",
		"length with a sign":         oddHead("Content-Length: +3") + "abc",
		"empty length":               oddHead("Content-Length: ") + "abc",
		"length in hex":              oddHead("Content-Length: 0x3") + "abc",
		"length of 9e18":             oddHead("Content-Length: 9000000000000000000") + "abc",
		"length of 1e30":             oddHead("Content-Length: 1000000000000000000000000000000") + "abc",
		"length and a cut chunk":     oddHead("Content-Length: 3", "Transfer-Encoding: chunked") + "3\r\nab",
		"unknown encoding":           oddHead("Transfer-Encoding: gzip, chunked") + "3\r\nabc\r\n0\r\n\r\n",
		"two encodings":              oddHead("Transfer-Encoding: chunked", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\n\r\n",
		"identity":                   oddHead("Transfer-Encoding: identity") + "abc",
		"line without a colon":       oddHead("Content-Length 3") + "abc",
		"folded line at the begin":   "HTTP/1.1 200 OK\r\n X-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"folded line":                oddHead("X-Long: a", "  b", "\tc", "Content-Length: 3") + "abc",
		"folded line, bare feeds":    "HTTP/1.1 200 OK\nX-Id: 1\nX-A: a\n b\nContent-Length: 3\n\nabc",
		"folded length":              oddHead("X-A: 1", " Content-Length: 30") + "abc",
		"folded line after 8 KiB":    oddHead("X-Long: "+strings.Repeat("x", 8<<10), " Content-Length: 30") + "abc",
		"folded line of interim":     "HTTP/1.1 103 Early Hints\r\nX-A: 1\r\n b\r\n\r\n" + oddHead("Content-Length: 3") + "abc",
		"control byte in the reason": "HTTP/1.1 200 O\x01K\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"return in the reason":       "HTTP/1.1 200 O\rK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"interim with a length":      "HTTP/1.1 100 Continue\r\nContent-Length: 50\r\n\r\n" + oddHead("Content-Length: 3") + "abc",
		"interim with chunks":        "HTTP/1.1 150 Some\r\nTransfer-Encoding: chunked\r\n\r\n" + oddHead("Content-Length: 3") + "abc",
		"null byte in a name":        oddHead("X-\x00: a", "Content-Length: 3") + "abc",
		"status of two digits":       "HTTP/1.1 20 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"status of four digits":      "HTTP/1.1 2000 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"negative status":            "HTTP/1.1 -20 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"negative chunk":             chunked + "-3\r\nabc\r\n0\r\n\r\n",
		"chunk without a size":       chunked + "\r\nabc\r\n0\r\n\r\n",
		"chunk size of 17 digits":    chunked + "10000000000000003\r\nabc\r\n0\r\n\r\n",
		"chunk size of 16 digits":    chunked + "ffffffffffffffff\r\nabc",
		"chunk size is no number":    chunked + "three\r\nabc\r\n0\r\n\r\n",
		"chunk longer than its size": chunked + "2\r\nabc\r\n0\r\n\r\n",
		"extension without end":      chunked + "3;" + strings.Repeat("x", 64<<10),
		"extensions without end":     chunked + strings.Repeat("1;xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\na\r\n", 8<<10),
		"trailer without end":        chunked + "3\r\nabc\r\n0\r\nX-Sum: " + strings.Repeat("x", 64<<10),
		"trailers without end":       chunked + "3\r\nabc\r\n0\r\n" + strings.Repeat("X-Sum: 1\r\n", 8<<10),
		"interim answers only":       strings.Repeat("HTTP/1.1 103 Early Hints\r\nX-Id: 1\r\n\r\n", 100),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkNoAnswer(t, content)
		})
	}
}

// checkNoAnswer checks that bytes of a runner are no whole answer.
func checkNoAnswer(t *testing.T, content string) {
	t.Helper()
	s := serveBytes(t, func() string { return content }, connectionEnds["close"])
	pool := NewPool(testNames)
	ctx, cancel := context.WithTimeout(t.Context(), oddAnswerTime)
	defer cancel()
	answer, err := pool.Do(ctx, s.call("1"))
	if err == nil {
		_, err = io.Copy(io.Discard, answer)
	}
	assert.Assert(t, err != nil, "the answer was taken for whole")
	assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
	assert.Equal(t, len(idleOf(pool, "r")), 0)
}

// TestAnswersThatTheProtocolToleratesAreWhole: what a recipient may pass over by the protocol makes no answer a broken
// one: a later minor version, more spaces in the status line, bytes above ASCII in a value or in the reason, an
// interim answer whose body has a length of zero, spaces after the size of a chunk, and whatever trailers say, as none
// is passed on.
func TestAnswersThatTheProtocolToleratesAreWhole(t *testing.T) {
	chunked := oddHead("Transfer-Encoding: chunked")
	for name, content := range map[string]string{
		"HTTP/1.7":                 "HTTP/1.7 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"two spaces":               "HTTP/1.1  200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"reason above ASCII":       "HTTP/1.1 200 \xc3\xa9\xff\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"tab in the reason":        "HTTP/1.1 200 O\tK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc",
		"value above ASCII":        oddHead("X-A: \xc3\xa9\xff", "Content-Length: 3") + "abc",
		"interim without a body":   "HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n" + oddHead("Content-Length: 3") + "abc",
		"unknown interim":          "HTTP/1.1 150 Some\r\nX-Id: 1\r\n\r\n" + oddHead("Content-Length: 3") + "abc",
		"space after a chunk size": chunked + "3 \r\nabc\r\n0\r\n\r\n",
		"space in a trailer":       chunked + "3\r\nabc\r\n0\r\nX Sum: 1\r\n\r\n",
		"folded trailer":           chunked + "3\r\nabc\r\n0\r\nX-Sum: 1\r\n X-Not-Run: 1\r\n\r\n",
		"head of 60 KiB":           oddHead("X-Long: "+strings.Repeat("x", 60<<10), "Content-Length: 3") + "abc",
	} {
		t.Run(name, func(t *testing.T) {
			s := serveBytes(t, func() string { return content }, connectionEnds["close"])
			got, err := exchange(NewPool(testNames), s.call("1"))
			assert.NilError(t, err)
			assert.Equal(t, got, "abc")
		})
	}
}

// TestTrailersChangedTheHeadOfAnAnswer: what a trailer says, such as that the request did not run, changes nothing
// of an answer that began otherwise.
func TestTrailersChangedTheHeadOfAnAnswer(t *testing.T) {
	s := serveBytes(t, func() string {
		return oddHead("Trailer: X-Not-Run, X-Id", "Transfer-Encoding: chunked") + "3\r\nabc\r\n0\r\nX-Not-Run: 1\r\nX-Id: 2\r\nContent-Length: 1\r\n\r\n"
	}, connectionEnds["close"])
	answer, err := NewPool(testNames).Do(t.Context(), s.call("1"))
	assert.NilError(t, err)
	content, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "abc")
	assert.Equal(t, answer.NotRun, false)
	assert.Equal(t, answer.Header.Get("X-Id"), "1")
	assert.Equal(t, answer.Header.Get("X-Not-Run"), "")
}

// TestBytesAfterAnAnswerBeganTheNext: a body that is longer than its length ends at the length, and its connection
// is not used again, whether the rest comes with the body or before the next request.
func TestBytesAfterAnAnswerBeganTheNext(t *testing.T) {
	for _, later := range []bool{false, true} {
		t.Run(fmt.Sprintf("later=%t", later), func(t *testing.T) {
			t.Parallel()
			ended, arrived := make(chan struct{}), make(chan struct{})
			s := serveScript(t, func(s *scriptedRunner, number int, conn net.Conn) {
				reader := bufio.NewReader(conn)
				id, err := s.next(reader)
				if err != nil {
					return
				}
				rest := answerText("2", "forged")
				if later {
					_, _ = io.WriteString(conn, answerText(id, "abc"))
					<-ended
					_, _ = io.WriteString(conn, rest)
				} else {
					_, _ = io.WriteString(conn, answerText(id, "abc")+rest)
				}
				if number == 1 {
					close(arrived)
				}
				_, _ = s.next(reader)
			})
			pool := NewPool(testNames)
			content, err := exchange(pool, s.call("1"))
			assert.NilError(t, err)
			assert.Equal(t, content, "abc")
			close(ended)
			<-arrived
			content, err = exchange(pool, s.call("2"))
			assert.NilError(t, err)
			assert.Equal(t, content, "abc")
			assert.Equal(t, s.accepted.Load(), int32(2))
		})
	}
}

// TestBytesAfterAnAnswerAreOfNoRequest: bytes after an answer that arrive as the next request is sent can't be
// told from its answer but by the request's identifier, which the runner can't know before.
func TestBytesAfterAnAnswerAreOfNoRequest(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			id, err := s.next(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, "abc"))
			_, _ = io.WriteString(conn, answerText("other", "forged"))
		}
	})
	pool := NewPool(testNames)
	for number := range 100 {
		content, err := exchange(pool, s.call(strconv.Itoa(number)))
		assert.NilError(t, err)
		assert.Equal(t, content, "abc")
	}
}

// TestAnswerThatChangesTheProtocolWasPassedOn: an answer with 101, which no request asks for, is no answer; what
// follows on its connection is of another protocol.
func TestAnswerThatChangesTheProtocolWasPassedOn(t *testing.T) {
	checkNoAnswer(t, "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\nConnection: Upgrade\r\nUpgrade: other\r\n\r\n")
	checkNoAnswer(t, "HTTP/1.1 101 Switching Protocols\r\nX-Id: 1\r\n\r\n"+oddHead("Content-Length: 3")+"abc")
}

// TestLengthWithASpaceBeforeItsColonWasPassedOver: a name that is no token, such as one with a space before its colon, was
// another name than the one that it names: an answer lost its length, and a part looked whole.
func TestLengthWithASpaceBeforeItsColonWasPassedOver(t *testing.T) {
	for _, line := range []string{"Content-Length : 30", "Content-Length\t: 30", "Transfer-Encoding : chunked", "Content Length: 30", "X-\x01: a"} {
		checkNoAnswer(t, oddHead(line)+"abc")
	}
}

// TestAnswerOfAnotherProtocolWasTakenForHTTP1: an answer that names another major version is no answer.
func TestAnswerOfAnotherProtocolWasTakenForHTTP1(t *testing.T) {
	for _, version := range []string{"HTTP/2.0", "HTTP/0.9", "HTTP/9.1"} {
		checkNoAnswer(t, version+" 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\nabc")
	}
}

// TestAnswerWithoutABodyWaitedForOne: an answer to HEAD, or with 204 or 304, has no body whatever its length says.
// It is whole with its head, and its connection is used again.
func TestAnswerWithoutABodyWaitedForOne(t *testing.T) {
	for name, test := range map[string]struct{ method, status, line string }{
		"HEAD, length":    {http.MethodHead, "200 OK", "Content-Length: 12\r\n"},
		"HEAD, chunks":    {http.MethodHead, "200 OK", "Transfer-Encoding: chunked\r\n"},
		"HEAD, none":      {http.MethodHead, "200 OK", ""},
		"204, length":     {http.MethodPost, "204 No Content", "Content-Length: 12\r\n"},
		"204, chunks":     {http.MethodPost, "204 No Content", "Transfer-Encoding: chunked\r\n"},
		"304, length":     {http.MethodGet, "304 Not Modified", "Content-Length: 12\r\n"},
		"304, none":       {http.MethodGet, "304 Not Modified", ""},
		"HEAD, 9e18":      {http.MethodHead, "200 OK", "Content-Length: 9000000000000000000\r\n"},
		"HEAD, not found": {http.MethodHead, "404 Not Found", ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
				reader := bufio.NewReader(conn)
				for {
					id, err := s.next(reader)
					if err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nX-Id: %s\r\n%s\r\n", test.status, id, test.line)
				}
			})
			pool := NewPool(testNames)
			for _, id := range []string{"1", "2"} {
				ctx, cancel := context.WithTimeout(t.Context(), oddAnswerTime)
				defer cancel()
				call := s.call(id)
				call.Method = test.method
				answer, err := pool.Do(ctx, call)
				assert.NilError(t, err)
				assert.NilError(t, answer.AwaitBody())
				content, err := io.ReadAll(answer)
				assert.NilError(t, err)
				assert.Equal(t, string(content), "")
				assert.Assert(t, answer.Framing != FramedByClose)
			}
			assert.Equal(t, s.accepted.Load(), int32(1))
		})
	}
}

// TestChunksOfAnOldAnswerWerePassedOn: HTTP/1.0 knows no chunks, and an answer of it that has an encoding all the same has no
// end that can be trusted: what frames its chunks was taken for its body, and the end of its connection for its end.
func TestChunksOfAnOldAnswerWerePassedOn(t *testing.T) {
	const begin = "HTTP/1.0 200 OK\r\nX-Id: 1\r\n"
	for name, content := range map[string]string{
		"chunks":            begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"cut chunk":         begin + "transfer-encoding:chunked\r\n\r\n3\r\na",
		"bare line feeds":   "HTTP/1.0 200 OK\nX-Id: 1\nTransfer-Encoding: chunked\n\n3\r\nabc\r\n0\r\n\r\n",
		"with a length":     begin + "Content-Length: 3\r\nTRANSFER-ENCODING: chunked\r\n\r\nabc",
		"interim answer":    "HTTP/1.1 100 Continue\r\n\r\n" + begin + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"head without end":  begin + strings.Repeat("X-Filler: 1\r\n", 4<<10),
		"end of the header": begin + "X-Last: 1\r\n",
	} {
		t.Run(name, func(t *testing.T) { checkNoAnswer(t, content) })
	}
	content := begin + "X-Note: transfer-encoding: none\r\n\r\nabc\r\nTransfer-Encoding: chunked\r\n"
	s := serveBytes(t, func() string { return content }, connectionEnds["close"])
	got, err := exchange(NewPool(testNames), s.call("1"))
	assert.NilError(t, err)
	assert.Equal(t, got, "abc\r\nTransfer-Encoding: chunked\r\n")
}
