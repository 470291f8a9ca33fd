package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/answer"
	"lilacvane/internal/body"
	"lilacvane/internal/fault"
)

var testNames = HeaderNames{RequestID: "X-Id", NotRun: "X-Not-Run"}

// scriptedRunner is a runner that handles each connection by a script.
type scriptedRunner struct {
	listener net.Listener
	accepted atomic.Int32
	// requests counts the requests read.
	requests atomic.Int32
}

// serveScript starts a runner that handles each connection by the script; number counts them from
// 1.
func serveScript(t *testing.T, script func(s *scriptedRunner, number int, conn net.Conn)) *scriptedRunner {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := &scriptedRunner{listener: listener}
	var handlers sync.WaitGroup
	var open sync.Map
	accepting := make(chan struct{})
	go func() {
		defer close(accepting)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			number := int(s.accepted.Add(1))
			open.Store(conn, true)
			handlers.Go(func() {
				defer conn.Close()
				script(s, number, conn)
			})
		}
	}()
	t.Cleanup(func() {
		_ = listener.Close()
		<-accepting
		open.Range(func(conn, _ any) bool {
			_ = conn.(net.Conn).Close()
			return true
		})
		handlers.Wait()
	})
	return s
}

// next reads a request and returns its identifier.
func (s *scriptedRunner) next(reader *bufio.Reader) (string, error) {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return "", err
	}
	_, err = io.Copy(io.Discard, request.Body)
	s.requests.Add(1)
	return request.Header.Get(testNames.RequestID), err
}

// answerText returns an answer to the request with the identifier.
func answerText(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (s *scriptedRunner) call(id string) Call {
	address := s.listener.Addr().String()
	return Call{
		Runner: "r", Address: address, Method: http.MethodPost, Target: "/a/b?c=%2f", Host: "h.example", Header: http.Header{testNames.RequestID: {id}},
		Body: body.New([]byte("body")), RequestID: id,
	}
}

// exchange sends a call and reads its complete answer.
func exchange(pool *Pool, call Call) (string, error) {
	answer, err := pool.Do(context.Background(), call)
	if err != nil {
		return "", err
	}
	defer answer.Close()
	content, err := io.ReadAll(answer)
	return string(content), err
}

// TestRequestIsSentOnce: when an idle connection breaks after a request was sent on it, the pool
// must not send the request again on another one without its caller's decision, as the request may
// have run.
func TestRequestIsSentOnce(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, number int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		id, err := s.next(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText(id, "first"))
		_, _ = s.next(reader)
	})
	pool := NewPool(testNames)
	content, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	assert.Equal(t, content, "first")
	_, err = exchange(pool, s.call("2"))
	assert.Assert(t, err != nil)
	assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
	assert.Equal(t, s.requests.Load(), int32(2))
	assert.Equal(t, s.accepted.Load(), int32(1))
}

// TestClosedIdleConnectionIsNotUsed checks that a connection that the runner closed while it was
// idle is replaced before anything is sent.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	closed := make(chan struct{})
	s := serveScript(t, func(s *scriptedRunner, number int, conn net.Conn) {
		id, err := s.next(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText(id, "whole"))
		if number == 1 {
			_ = conn.Close()
			close(closed)
		}
	})
	pool := NewPool(testNames)
	_, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	<-closed
	waitForBytes(t, pool)
	content, err := exchange(pool, s.call("2"))
	assert.NilError(t, err)
	assert.Equal(t, content, "whole")
	assert.Equal(t, s.accepted.Load(), int32(2))
}

// waitForBytes waits until the idle connection has something to read, or its end.
func waitForBytes(t *testing.T, pool *Pool) {
	t.Helper()
	for quiescent(pool.idle["r"][0].Conn) {
		time.Sleep(time.Millisecond)
	}
}

// TestExtraAnswerOnIdleConnection checks that a connection on which bytes arrived while it was
// idle is not used again, as they belong to no request.
func TestExtraAnswerOnIdleConnection(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, number int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			id, err := s.next(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, "own"))
			if number == 1 {
				_, _ = io.WriteString(conn, answerText(id, "extra"))
			}
		}
	})
	pool := NewPool(testNames)
	_, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	if len(pool.idle["r"]) > 0 {
		waitForBytes(t, pool)
	}
	content, err := exchange(pool, s.call("2"))
	assert.NilError(t, err)
	assert.Equal(t, content, "own")
	assert.Equal(t, s.accepted.Load(), int32(2))
}

// lateExtra answers a request, and answers it once more in place of the next one's answer; own
// returns the answer to the second one.
func lateExtra(own func(second string) string) func(s *scriptedRunner, number int, conn net.Conn) {
	return func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		first, err := s.next(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText(first, "first"))
		second, err := s.next(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText(first, "extra")+own(second))
	}
}

// TestLateExtraAnswerIsSkipped checks that an extra answer that arrives in place of the next
// request's own is recognized by its identifier.
func TestLateExtraAnswerIsSkipped(t *testing.T) {
	s := serveScript(t, lateExtra(func(second string) string { return answerText(second, "second") }))
	pool := NewPool(testNames)
	_, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	content, err := exchange(pool, s.call("2"))
	assert.NilError(t, err)
	assert.Equal(t, content, "second")
}

// TestAnswerOfAnotherRequestIsRefused checks that a new connection whose first answer has another
// identifier yields an error.
func TestAnswerOfAnotherRequestIsRefused(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		_, _ = s.next(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, answerText("other", "wrong"))
	})
	_, err := exchange(NewPool(testNames), s.call("1"))
	assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
}

// TestUnframedAnswerEndsItsConnection checks that an answer without a length ends with its
// connection, which is not kept, and that one whose connection is reset does not count as complete.
func TestUnframedAnswerEndsItsConnection(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, number int, conn net.Conn) {
		id, err := s.next(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: "+id+"\r\n\r\npart")
		if number == 2 {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	})
	pool := NewPool(testNames)
	content, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	assert.Equal(t, content, "part")
	assert.Equal(t, len(pool.idle["r"]), 0)
	_, err = exchange(pool, s.call("2"))
	assert.Assert(t, err != nil, "a reset answer counted as complete")
}

// TestEarlyAnswerEndsItsConnection checks that the connection of a runner that answers before it
// read the body is not reused, as the runner goes on reading the body.
func TestEarlyAnswerEndsItsConnection(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		request, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText(request.Header.Get(testNames.RequestID), "early"))
		_, _ = io.Copy(io.Discard, conn)
	})
	pool := NewPool(testNames)
	call := s.call("1")
	call.Body = body.New([]byte(strings.Repeat("x", 16<<20)))
	content, err := exchange(pool, call)
	assert.NilError(t, err)
	assert.Equal(t, content, "early")
	assert.Equal(t, len(pool.idle["r"]), 0)
}

// TestInterruptedAnswerIsAnError checks that an answer that ends before its length, or before its
// last chunk, is an error.
func TestInterruptedAnswerIsAnError(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\npart",
		"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n",
	} {
		s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
			_, _ = s.next(bufio.NewReader(conn))
			_, _ = io.WriteString(conn, text)
		})
		content, err := exchange(NewPool(testNames), s.call("1"))
		assert.Assert(t, err != nil, "%q counted as complete", content)
		assert.Assert(t, !errors.Is(err, io.EOF))
	}
}

// TestRefusedConnectionIsNotRun checks that a request that could not be sent at all counts as not
// run.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := serveScript(t, func(*scriptedRunner, int, net.Conn) {})
	_ = s.listener.Close()
	_, err := exchange(NewPool(testNames), s.call("1"))
	assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
	assert.Assert(t, fault.IsCode(err, fault.CodeUnreachable))
}

// TestTargetIsUnchanged checks that method, path and query reach the runner unchanged.
func TestTargetIsUnchanged(t *testing.T) {
	seen := make(chan string, 1)
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		line, err := reader.ReadString('\n')
		if err != nil {
			return
		}
		seen <- strings.TrimSpace(line)
	})
	_, _ = exchange(NewPool(testNames), s.call("1"))
	assert.Equal(t, <-seen, "POST /a/b?c=%2f HTTP/1.1")
}

// TestCancelClosesTheConnection checks that a client that leaves ends the work at the runner, also
// before the answer began.
func TestCancelClosesTheConnection(t *testing.T) {
	gone := make(chan struct{})
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		_, _ = s.next(reader)
		_, _ = reader.ReadByte()
		close(gone)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	_, err := NewPool(testNames).Do(ctx, s.call("1"))
	assert.Assert(t, fault.IsCode(err, fault.CodeCanceled), "%v", err)
	<-gone
}

// FuzzAnswer checks that no bytes from a runner make the reader panic, and that what it accepts as
// an answer carries the request's identifier.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte(answerText("1", "whole")))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + answerText("1", "x")))
	f.Add([]byte("HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"))
	f.Add([]byte("garbage"))
	for _, whole := range wholeAnswers {
		f.Add([]byte(whole.head + whole.body))
		f.Add([]byte(whole.head[:len(whole.head)/2]))
	}
	f.Fuzz(func(t *testing.T, content []byte) {
		pool := NewPool(testNames)
		near, far := net.Pipe()
		_ = far.Close()
		conn := newConnection(near)
		conn.reader = answer.NewReader(strings.NewReader(string(content)))
		response, err := pool.readMatching(conn, Call{Method: http.MethodGet, RequestID: "1"})
		if err == nil && response.Header.Get(testNames.RequestID) != "1" {
			t.Fatal("an answer to another request was accepted")
		}
		if err == nil && !bytes.Contains(content, []byte("\n\n")) && !bytes.Contains(content, []byte("\n\r\n")) {
			t.Fatal("a head without an end was accepted")
		}
		if err == nil && response.StatusCode < http.StatusOK {
			t.Fatal("an interim answer was accepted")
		}
	})
}

// TestCallIsAskedForAgainBeforeItIsSent checks that a request that is no longer admitted once there
// is a connection is not sent, and that the connection stays usable.
func TestCallIsAskedForAgainBeforeItIsSent(t *testing.T) {
	s := serveAll(t, "body")
	pool := NewPool(testNames)
	_, err := exchange(pool, s.call("1"))
	assert.NilError(t, err)
	refused := errors.New("not any more")
	for range 2 {
		call := s.call("2")
		call.Admit = func() error { return refused }
		_, err = pool.Do(t.Context(), call)
		assert.ErrorIs(t, err, refused)
		assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
	}
	call := s.call("3")
	call.Admit = func() error { return nil }
	_, err = exchange(pool, call)
	assert.NilError(t, err)
	assert.Equal(t, s.accepted.Load(), int32(1))
	assert.Equal(t, s.requests.Load(), int32(2))
}
