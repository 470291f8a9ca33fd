package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// option returns a socket option of a connection.
func option(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	value := 0
	var optionErr error
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		value, optionErr = syscall.GetsockoptInt(int(descriptor), level, name)
	}))
	assert.NilError(t, optionErr)
	return value
}

func assertBounds(t *testing.T, conn net.Conn, b Bounds) {
	t.Helper()
	assert.Equal(t, option(t, conn, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), int(b.ProbeIdle/time.Second))
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL), int(b.ProbeInterval/time.Second))
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, tcpUserTimeout), int(b.AckTimeout.Milliseconds()))
}

// TestSocketsHaveTheirBounds checks that both ends of a connection, including accepted ones, have
// the socket options of their kind.
func TestSocketsHaveTheirBounds(t *testing.T) {
	for _, kind := range []Kind{Runner, Store, Peer, Client} {
		listener, err := kind.Listen(t.Context(), "127.0.0.1:0")
		assert.NilError(t, err)
		near, err := kind.Dial(t.Context(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		far, err := listener.Accept()
		assert.NilError(t, err)
		assertBounds(t, near, kind.Bounds())
		assertBounds(t, far, kind.Bounds())
		assert.NilError(t, near.Close())
		assert.NilError(t, far.Close())
		assert.NilError(t, listener.Close())
	}
}

// TestOneLostProbeIsTolerated checks that a single lost probe does not reach the timeout. Otherwise
// healthy connections would be dropped on links with packet loss.
func TestOneLostProbeIsTolerated(t *testing.T) {
	for _, kind := range []Kind{Runner, Store, Peer, Client} {
		b := kind.Bounds()
		assert.Assert(t, b.AckTimeout > b.ProbeIdle+b.ProbeInterval, "%s", kind)
	}
	assert.Assert(t, ackTimeout > probeIdle+probeInterval)
}

// TestMomentOfSilenceIsTolerated checks that a request whose machine is silent for a moment is
// retransmitted once more after that, before the timeout ends the connection: with the option set,
// the kernel sends nothing after the last doubling of its interval that fits.
func TestMomentOfSilenceIsTolerated(t *testing.T) {
	const silence, firstInterval = 2 * time.Second, 200 * time.Millisecond
	sent := time.Duration(0)
	for interval := firstInterval; sent < silence; interval *= 2 {
		sent += interval
	}
	for _, kind := range []Kind{Runner, Store, Peer, Client} {
		assert.Assert(t, kind.Bounds().AckTimeout > sent, "%s", kind)
	}
}

// TestRelaxedAckTimeoutIsRestored checks that a connection waiting for an answer gets the longer
// timeout until it sends again, and that closed connections are ignored.
func TestRelaxedAckTimeoutIsRestored(t *testing.T) {
	listener, err := Peer.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := Runner.Dial(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	timeout := func() int { return option(t, conn, syscall.IPPROTO_TCP, tcpUserTimeout) }
	var bound SendBound
	bound.Start(conn)
	assert.Equal(t, timeout(), int(RunnerAckTimeout.Milliseconds()))
	for timeout() != int(ackTimeout.Milliseconds()) {
		time.Sleep(10 * time.Millisecond)
	}
	bound.Stop()
	assert.Assert(t, bound.Relaxed())
	bound.Start(conn)
	assert.Equal(t, timeout(), int(RunnerAckTimeout.Milliseconds()))
	bound.Stop()
	assert.Assert(t, !bound.Relaxed())
	assert.NilError(t, conn.Close())
	setAckTimeout(conn, ackTimeout)
	near, far := net.Pipe()
	setAckTimeout(near, ackTimeout)
	assert.NilError(t, near.Close())
	assert.NilError(t, far.Close())
}
