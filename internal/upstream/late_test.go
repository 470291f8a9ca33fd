package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateReader is a connection whose reads begin late, as those of a process that stood still.
type lateReader struct {
	net.Conn
	begin <-chan struct{}
}

func (l lateReader) Read(buffer []byte) (int, error) {
	<-l.begin
	return l.Conn.Read(buffer)
}

func (l lateReader) SyscallConn() (syscall.RawConn, error) {
	return l.Conn.(syscall.Conn).SyscallConn()
}

// TestAnswerThatHasArrivedIsReadAfterTheDeadline: a node that stood still through the deadline of
// a request closed the connection before it read the answer, and never heard what it said.
func TestAnswerThatHasArrivedIsReadAfterTheDeadline(t *testing.T) {
	s := serveScript(t, func(s *scripted, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		if id, err := s.next(reader); err == nil {
			_, _ = io.WriteString(conn, answerText(id, "whole"))
		}
		_, _ = s.next(reader)
	})
	begin := make(chan struct{})
	pool := NewPool(testNames)
	pool.Wrap = func(_ string, conn net.Conn) net.Conn { return lateReader{Conn: conn, begin: begin} }
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(readingTime/5, func() { close(begin) }) })
	answer, err := pool.Do(ctx, s.call("late"))
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusOK)
	content, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "whole")
}

// TestDeadlineWithoutAnAnswerEndsAtOnce: nothing has arrived that could be read.
func TestDeadlineWithoutAnAnswerEndsAtOnce(t *testing.T) {
	s := serveScript(t, func(s *scripted, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := s.next(reader); err != nil {
				return
			}
		}
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := NewPool(testNames).Do(ctx, s.call("none"))
	assert.Assert(t, err != nil)
	deadline, _ := ctx.Deadline()
	assert.Assert(t, time.Since(deadline) < readingTime)
}
