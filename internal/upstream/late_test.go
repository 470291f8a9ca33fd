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

// delayedReader is a connection whose reads begin late, like those of a process that was stalled.
type delayedReader struct {
	net.Conn
	begin <-chan struct{}
}

func (l delayedReader) Read(buffer []byte) (int, error) {
	<-l.begin
	return l.Conn.Read(buffer)
}

func (l delayedReader) SyscallConn() (syscall.RawConn, error) {
	return l.Conn.(syscall.Conn).SyscallConn()
}

// TestAnswerThatHasArrivedIsReadAfterTheDeadline: a node that was stalled past the deadline of a
// request closed the connection before it read the answer, and so lost it.
func TestAnswerThatHasArrivedIsReadAfterTheDeadline(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		if id, err := s.next(reader); err == nil {
			_, _ = io.WriteString(conn, answerText(id, "whole"))
		}
		_, _ = s.next(reader)
	})
	begin := make(chan struct{})
	pool := NewPool(testNames)
	pool.Wrap = func(_ string, conn net.Conn) net.Conn { return delayedReader{Conn: conn, begin: begin} }
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	context.AfterFunc(ctx, func() { time.AfterFunc(readGrace/5, func() { close(begin) }) })
	answer, err := pool.Do(ctx, s.call("late"))
	assert.NilError(t, err)
	assert.Equal(t, answer.Status, http.StatusOK)
	content, err := io.ReadAll(answer)
	assert.NilError(t, err)
	assert.Equal(t, string(content), "whole")
}

// TestDeadlineWithoutAnAnswerEndsAtOnce checks that a request is not given time to read after its
// deadline if nothing has arrived.
func TestDeadlineWithoutAnAnswerEndsAtOnce(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
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
	assert.Assert(t, time.Since(deadline) < readGrace)
}
