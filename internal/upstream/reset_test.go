package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/body"
	"lilacvane/internal/fault"
)

const (
	// resetTries is how often each reset is tried: which end of the connection is told of it is up to the
	// scheduler.
	resetTries = 20
	// resetTime bounds a request whose runner ends the connection early.
	resetTime = 5 * time.Second
)

// partHead begins an answer to the request "1" that ends with its connection.
const partHead = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\n"

// uploadCall returns a call with a body of a size in bytes.
func uploadCall(s *scriptedRunner, size int) Call {
	call := s.call("1")
	call.Body = body.New(make([]byte, size))
	return call
}

// readHead reads the head of a request and nothing that can be told from its body.
func readHead(reader *bufio.Reader) error {
	_, err := http.ReadRequest(reader)
	return err
}

// serveEarly starts a runner that answers each request before it has read its body with an answer that has no
// length, and ends the connection by end.
func serveEarly(t *testing.T, content string, end func(conn net.Conn, reader *bufio.Reader)) *scriptedRunner {
	t.Helper()
	return serveScript(t, func(_ *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		if readHead(reader) != nil {
			return
		}
		_, _ = io.WriteString(conn, partHead+content)
		end(conn, reader)
	})
}

// checkUpload sends bodies of a size to a runner and checks each answer.
func checkUpload(t *testing.T, pool *Pool, s *scriptedRunner, size int, check func(content string, err error)) {
	t.Helper()
	for range resetTries {
		ctx, cancel := context.WithTimeout(t.Context(), resetTime)
		answer, err := pool.Do(ctx, uploadCall(s, size))
		var content []byte
		if err == nil {
			content, err = io.ReadAll(answer)
			answer.Close()
		}
		cancel()
		check(string(content), err)
		assert.Equal(t, len(idleOf(pool, "r")), 0)
	}
}

// resetSizes and resetDelays are the sizes of the bodies, in bytes, and the times between the part of the answer and the
// reset that are tried.
var (
	resetSizes  = []int{0, 64 << 10, 1 << 20, 4 << 20}
	resetDelays = []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond}
)

// checkResets checks that no answer that a reset ended during the upload of a body passes for whole.
func checkResets(t *testing.T, poolOf func(t *testing.T) *Pool) {
	t.Helper()
	for _, size := range resetSizes {
		for _, delay := range resetDelays {
			t.Run(fmt.Sprintf("%d KiB, after %s", size>>10, delay), func(t *testing.T) {
				t.Parallel()
				s := serveEarly(t, "part", func(conn net.Conn, _ *bufio.Reader) {
					time.Sleep(delay)
					connectionEnds["reset"](conn)
				})
				whole := 0
				checkUpload(t, poolOf(t), s, size, func(_ string, err error) {
					if err == nil {
						whole++
						return
					}
					assert.Equal(t, fault.OutcomeOf(err), fault.Unknown, "%v", err)
				})
				assert.Equal(t, whole, 0, "of %d parts", resetTries)
			})
		}
	}
}

// TestPartOfAnAnswerResetDuringTheUploadLookedWhole: a runner answered before it had read the body of its request,
// without a length, and reset the connection. The writer of the body was told of the reset, and the reader of
// the answer of an orderly end.
func TestPartOfAnAnswerResetDuringTheUploadLookedWhole(t *testing.T) {
	checkResets(t, func(*testing.T) *Pool { return NewPool(testNames) })
}

// TestCarriedPartOfAnAnswerResetDuringTheUploadLookedWhole: the same through a peer.
func TestCarriedPartOfAnAnswerResetDuringTheUploadLookedWhole(t *testing.T) {
	checkResets(t, carriedPool)
}

// TestPartOfAnAnswerResetByItsDeadlineLookedWhole: the deadline of a request passed after its runner had reset the
// connection and before that was read. The look for bytes that had arrived took the reset from the reader.
func TestPartOfAnAnswerResetByItsDeadlineLookedWhole(t *testing.T) {
	s := serveEarly(t, "part", func(conn net.Conn, _ *bufio.Reader) { connectionEnds["reset"](conn) })
	for range resetTries {
		// The client's own connections are not read before the deadline has passed.
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		answer, err := NewPool(testNames).Do(ctx, uploadCall(s, 0))
		if err == nil {
			<-ctx.Done()
			time.Sleep(readGrace / 5)
			_, err = io.ReadAll(answer)
			answer.Close()
		}
		cancel()
		assert.Assert(t, err != nil, "a part was taken for whole")
	}
}

// earlyEnds are the ways in which a runner ends its side in an orderly way before it has read the whole body, and how
// long its answer is, in bytes. What is still on its way as the connection closes with unread bytes is lost.
var earlyEnds = map[string]struct {
	length int
	end    func(conn net.Conn, reader *bufio.Reader)
}{
	"reads on": {1 << 20, func(conn net.Conn, reader *bufio.Reader) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, reader)
	}},
	"reads half and closes": {4 << 10, func(conn net.Conn, reader *bufio.Reader) {
		_ = conn.(*net.TCPConn).CloseWrite()
		_, _ = io.CopyN(io.Discard, reader, 1<<20)
	}},
	"reads nothing and closes": {64 << 10, func(conn net.Conn, _ *bufio.Reader) {
		_ = conn.(*net.TCPConn).CloseWrite()
		time.Sleep(50 * time.Millisecond)
	}},
}

// checkEarlyEnds checks that an answer that its runner ended in an orderly way is whole, however it goes on with the
// body.
func checkEarlyEnds(t *testing.T, poolOf func(t *testing.T) *Pool) {
	t.Helper()
	for name, early := range earlyEnds {
		t.Run(name, func(t *testing.T) {
			whole := strings.Repeat("x", early.length)
			s := serveEarly(t, whole, early.end)
			checkUpload(t, poolOf(t), s, 4<<20, func(content string, err error) {
				assert.NilError(t, err)
				assert.Assert(t, content == whole, "%d bytes", len(content))
			})
		})
	}
}

// TestEarlyAnswerThatEndedInOrderIsWhole: a runner that answers early and ends its side, not the connection, has
// completed its answer.
func TestEarlyAnswerThatEndedInOrderIsWhole(t *testing.T) {
	checkEarlyEnds(t, func(*testing.T) *Pool { return NewPool(testNames) })
}

// TestCarriedEarlyAnswerThatEndedInOrderIsWhole: the same through a peer.
func TestCarriedEarlyAnswerThatEndedInOrderIsWhole(t *testing.T) {
	checkEarlyEnds(t, carriedPool)
}

// TestAnswerClosedWithTheBodyHalfReadIsNotWhole: a runner that closes with a part of the body unread resets the
// connection, which can't be told from one that broke off.
func TestAnswerClosedWithTheBodyHalfReadIsNotWhole(t *testing.T) {
	s := serveEarly(t, "part", func(net.Conn, *bufio.Reader) { time.Sleep(20 * time.Millisecond) })
	checkUpload(t, NewPool(testNames), s, 4<<20, func(_ string, err error) { assert.Assert(t, err != nil) })
}
