package upstream

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/link"
)

// TestLastSendAvoidsUnprovedConnection: a connection went silent while idle, without any sign, and
// a request that could not be sent again waited on it until its deadline.
func TestLastSendAvoidsUnprovedConnection(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	pool.Links = &link.Record{}
	leaveIdle(t, pool, s, "a", 3)
	time.Sleep(link.TrustedIdle)
	call := s.call("last")
	call.Runner, call.Proved = "a", true
	ctx, cancel := context.WithTimeoutCause(t.Context(), minMuteTime, errDeadline)
	defer cancel()
	answer, err := pool.Do(ctx, call)
	assert.NilError(t, err)
	answer.Close()
	assert.Equal(t, dropped(pool, link.Unproved), uint64(1))
	// The new connection replaces one; the others stay for requests that may be sent again.
	assert.Equal(t, len(idleOf(pool, "a")), 2)
}

// TestProvedConnectionIsUsedAgain checks that requests that follow each other closely share a
// connection.
func TestProvedConnectionIsUsedAgain(t *testing.T) {
	s := serveAll(t, "whole")
	pool := NewPool(testNames)
	pool.Links = &link.Record{}
	leaveIdle(t, pool, s, "a", 1)
	idleOf(pool, "a")[0].idleSince = time.Now()
	call := s.call("next")
	call.Runner, call.Proved = "a", true
	_, err := exchange(pool, call)
	assert.NilError(t, err)
	dialed := uint64(0)
	pool.Links.Kinds(func(_ link.Kind, count uint64) { dialed += count })
	assert.Equal(t, dialed, uint64(1))
}
