package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/link"
)

// TestLastSendAvoidsUnprovedConnection: a connection went silent while it rested, without any
// sign, and a request that could not be sent again waited on it for its whole time.
func TestLastSendAvoidsUnprovedConnection(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	pool.Links = &link.Record{}
	rest(t, pool, s, "a", 3)
	time.Sleep(link.ProvedFor)
	call := s.call("last")
	call.Runner, call.Proved = "a", true
	ctx, cancel := context.WithTimeoutCause(t.Context(), muteLimit, errOver)
	defer cancel()
	answer, err := pool.Do(ctx, call)
	assert.NilError(t, err)
	answer.Close()
	assert.Equal(t, dropped(pool, link.Unproved), uint64(1))
	// The new connection takes the place of one; the others stay for what may be sent again.
	assert.Equal(t, len(restingOf(pool, "a")), 2)
}

// TestProvedConnectionIsUsedAgain: requests that follow each other closely share a connection.
func TestProvedConnectionIsUsedAgain(t *testing.T) {
	s := serveScript(t, func(s *scripted, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			id, err := s.next(reader)
			if err != nil {
				return
			}
			_, _ = io.WriteString(conn, answerText(id, "whole"))
		}
	})
	pool := NewPool(testNames)
	pool.Links = &link.Record{}
	rest(t, pool, s, "a", 1)
	restingOf(pool, "a")[0].restedSince = time.Now()
	call := s.call("next")
	call.Runner, call.Proved = "a", true
	_, err := exchange(pool, call)
	assert.NilError(t, err)
	dialed := uint64(0)
	pool.Links.Kinds(func(_ link.Kind, count uint64) { dialed += count })
	assert.Equal(t, dialed, uint64(1))
}
