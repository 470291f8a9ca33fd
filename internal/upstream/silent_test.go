package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/link"
	"lilacvane/internal/reach"
)

// errDeadline ends requests whose deadline passed.
var errDeadline = errors.New("the request's time is over")

// serveOnce serves a runner that answers one request on each connection and is silent from then on.
func serveOnce(t *testing.T) *scriptedRunner {
	return serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		id, err := s.next(reader)
		if err != nil {
			return
		}
		_, _ = io.WriteString(conn, answerText(id, "whole"))
		for err == nil {
			_, err = s.next(reader)
		}
	})
}

// leaveIdle leaves idle connections to a runner.
func leaveIdle(t *testing.T, pool *Pool, s *scriptedRunner, runner string, count int) {
	t.Helper()
	var answers []*Answer
	for range count {
		call := s.call("rest")
		call.Runner = runner
		answer, err := pool.Do(t.Context(), call)
		assert.NilError(t, err)
		answers = append(answers, answer)
	}
	for _, answer := range answers {
		_, err := io.ReadAll(answer)
		assert.NilError(t, err)
	}
	assert.Equal(t, len(idleOf(pool, runner)), count)
}

// timeOut sends a request that gets no answer before its deadline.
func timeOut(t *testing.T, pool *Pool, s *scriptedRunner, runner string) error {
	t.Helper()
	ctx, cancel := context.WithTimeoutCause(t.Context(), minMuteTime+50*time.Millisecond, errDeadline)
	defer cancel()
	call := s.call("lost")
	call.Runner = runner
	_, err := pool.Do(ctx, call)
	assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
	return err
}

// TestSilentConnectionDistrustsOthersOfItsRunner checks that one request detects that a runner's
// idle connections went silent, and that no other runner's are dropped.
func TestSilentConnectionDistrustsOthersOfItsRunner(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	pool.Links = &link.Record{}
	leaveIdle(t, pool, s, "a", 3)
	leaveIdle(t, pool, s, "b", 2)
	_ = timeOut(t, pool, s, "a")
	assert.Equal(t, len(pool.idle["a"]), 0)
	assert.Equal(t, len(pool.idle["b"]), 2)
	assert.Equal(t, dropped(pool, link.Mute), uint64(1))
	assert.Equal(t, dropped(pool, link.Distrusted), uint64(2))
	call := s.call("next")
	call.Runner = "a"
	content, err := exchange(pool, call)
	assert.NilError(t, err)
	assert.Equal(t, content, "whole")
}

func dropped(pool *Pool, wanted link.Reason) uint64 {
	found := uint64(0)
	pool.Links.Each(func(_ link.Kind, reason link.Reason, count uint64) {
		if reason == wanted {
			found += count
		}
	})
	return found
}

// TestSilenceOfTwoRunnersDistrustsAll checks that after the silence of two runners, the idle
// connections to a third one are dropped as well, as they have been idle for as long: a request
// that may not be repeated must not depend on them.
func TestSilenceOfTwoRunnersDistrustsAll(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	for _, runner := range []string{"a", "b", "c"} {
		leaveIdle(t, pool, s, runner, 2)
	}
	var both sync.WaitGroup
	for _, runner := range []string{"a", "b"} {
		both.Go(func() { _ = timeOut(t, pool, s, runner) })
	}
	both.Wait()
	assert.Equal(t, len(pool.idle["c"]), 0)
}

// TestRequestThatMayNotBeRepeatedAvoidsSuspectConnection: after one runner's connection was silent,
// a request that may not be repeated uses a new connection to another runner, as one silent runner
// does not show whether all connections are silent; one that may be repeated tries an idle one.
func TestRequestThatMayNotBeRepeatedAvoidsSuspectConnection(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	leaveIdle(t, pool, s, "a", 1)
	leaveIdle(t, pool, s, "b", 2)
	_ = timeOut(t, pool, s, "a")
	call := s.call("once")
	call.Runner, call.Proved = "b", true
	ctx, cancel := context.WithTimeoutCause(t.Context(), minMuteTime, errDeadline)
	defer cancel()
	answer, err := pool.Do(ctx, call)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer)
	assert.NilError(t, err)
	// The new one may be used again, also by such a request.
	assert.Equal(t, len(idleOf(pool, "b")), 1)
	assert.Assert(t, !pool.trust.Suspects(idleOf(pool, "b")[0].idleSince))
}

// TestConnectionIdleDuringSilenceIsNotTrusted checks that a connection that became idle while a
// request waited on a silent one is dropped, as it may have gone silent with it, and that one made
// since then stays, however many of the silent ones are noticed later.
func TestConnectionIdleDuringSilenceIsNotTrusted(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	leaveIdle(t, pool, s, "a", 2)
	var silent sync.WaitGroup
	silent.Go(func() { _ = timeOut(t, pool, s, "a") })
	for len(idleOf(pool, "a")) > 1 {
		time.Sleep(time.Millisecond)
	}
	late := idleOf(pool, "a")[0]
	silent.Wait()
	assert.Equal(t, len(pool.idle["a"]), 0)
	leaveIdle(t, pool, s, "a", 1)
	pool.handleSilence(late, link.Mute, "read answer", "a", errDeadline)
	assert.Equal(t, len(pool.idle["a"]), 1)
}

func idleOf(pool *Pool, runner string) []*connection {
	pool.mutex.Lock()
	defer pool.mutex.Unlock()
	return pool.idle[runner]
}

// TestCanceledRequestIsNoSignOfSilence checks that a client that leaves without an answer, however
// late, does not make connections distrusted.
func TestCanceledRequestIsNoSignOfSilence(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	leaveIdle(t, pool, s, "a", 3)
	ctx, leave := context.WithCancel(t.Context())
	time.AfterFunc(minMuteTime+50*time.Millisecond, leave)
	call := s.call("left")
	call.Runner = "a"
	_, err := pool.Do(ctx, call)
	assert.Assert(t, fault.IsCode(err, fault.CodeCanceled))
	assert.Equal(t, len(pool.idle["a"]), 2)
}

// TestNewConnectionIsNoSignOfSilence checks that a runner that gives no answer on a new connection,
// which may only be slow, does not make connections distrusted.
func TestNewConnectionIsNoSignOfSilence(t *testing.T) {
	mute := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			if _, err := s.next(reader); err != nil {
				return
			}
		}
	})
	s := serveOnce(t)
	pool := NewPool(testNames)
	leaveIdle(t, pool, s, "a", 2)
	leaveIdle(t, pool, s, "b", 2)
	pool.idle["a"], pool.idle["kept"] = nil, pool.idle["a"]
	_ = timeOut(t, pool, mute, "a")
	_ = timeOut(t, pool, mute, "c")
	assert.Equal(t, len(pool.idle["kept"]), 2)
	assert.Equal(t, len(pool.idle["b"]), 2)
}

// TestNothingIsSentForAClientThatLeft checks that not even a byte is sent, however soon the
// connection would be closed.
func TestNothingIsSentForAClientThatLeft(t *testing.T) {
	s := serveOnce(t)
	pool := NewPool(testNames)
	leaveIdle(t, pool, s, "r", 1)
	ctx, leave := context.WithCancel(t.Context())
	leave()
	for range 100 {
		_, err := pool.Do(ctx, s.call("left"))
		assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
	}
	assert.Equal(t, len(pool.idle["r"]), 1)
	assert.Equal(t, s.requests.Load(), int32(1))
}

// TestConnectionAttemptEndsWithItsRequest checks that a runner that does not accept is not waited
// for once the client left.
func TestConnectionAttemptEndsWithItsRequest(t *testing.T) {
	ctx, leave := context.WithCancel(t.Context())
	leave()
	_, err := NewPool(testNames).dial(ctx, reach.Runner{Name: "r1", Address: "127.0.0.1:1"})
	assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
}

// TestNextRequestHasShortAckTimeout checks that a connection whose first answer took long
// sends its next request with the short acknowledgement timeout again.
func TestNextRequestHasShortAckTimeout(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for {
			id, err := s.next(reader)
			if err != nil {
				return
			}
			if id == "slow" {
				time.Sleep(link.RunnerAckTimeout + 100*time.Millisecond)
			}
			_, _ = io.WriteString(conn, answerText(id, "whole"))
		}
	})
	pool := NewPool(testNames)
	_, err := exchange(pool, s.call("slow"))
	assert.NilError(t, err)
	assert.Assert(t, pool.idle["r"][0].send.Relaxed())
	_, err = exchange(pool, s.call("quick"))
	assert.NilError(t, err)
	assert.Assert(t, !pool.idle["r"][0].send.Relaxed())
	assert.Equal(t, s.accepted.Load(), int32(1))
}

// TestStoppedAnswerIsSignOfSilence checks that an answer that began and stopped is a sign of
// silence, also on a new connection.
func TestStoppedAnswerIsSignOfSilence(t *testing.T) {
	stopping := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		_, err := s.next(reader)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-Id: part\r\nContent-Length: 10\r\n\r\npart")
		for err == nil {
			_, err = s.next(reader)
		}
	})
	s := serveOnce(t)
	pool := NewPool(testNames)
	leaveIdle(t, pool, s, "a", 2)
	ctx, cancel := context.WithTimeoutCause(t.Context(), minMuteTime+100*time.Millisecond, errDeadline)
	defer cancel()
	call := stopping.call("part")
	call.Runner = "a"
	pool.idle["a"], pool.idle["kept"] = nil, pool.idle["a"]
	answer, err := pool.Do(ctx, call)
	assert.NilError(t, err)
	_, err = io.ReadAll(answer)
	assert.Equal(t, fault.OutcomeOf(err), fault.Unknown)
	assert.Equal(t, pool.trust.Silent("b", time.Now()), link.AllPeers)
}
