package link

import (
	"net"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// option reads an option of a connection's socket.
func option(t *testing.T, conn net.Conn, level, name int) int {
	t.Helper()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	value := 0
	var problem error
	assert.NilError(t, raw.Control(func(descriptor uintptr) {
		value, problem = syscall.GetsockoptInt(int(descriptor), level, name)
	}))
	assert.NilError(t, problem)
	return value
}

func assertBounds(t *testing.T, conn net.Conn, b Bounds) {
	t.Helper()
	assert.Equal(t, option(t, conn, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE), 1)
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE), int(b.Idle/time.Second))
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, syscall.TCP_KEEPINTVL), int(b.Interval/time.Second))
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, tcpUserTimeout), int(b.Unacknowledged.Milliseconds()))
}

// TestSocketsHaveTheirBounds: both ends of a connection have the options of their
// kind, also those that a listening socket hands on.
func TestSocketsHaveTheirBounds(t *testing.T) {
	for _, kind := range []Kind{Runner, Store, Peer, Client} {
		listener, err := kind.Listen(t.Context(), "127.0.0.1:0")
		assert.NilError(t, err)
		near, err := kind.Dialer().DialContext(t.Context(), "tcp", listener.Addr().String())
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

// TestNoProbeIsTheLast: a bound that a lost probe would reach alone would end sound
// connections on a link that loses packets.
func TestNoProbeIsTheLast(t *testing.T) {
	for _, kind := range []Kind{Store, Peer, Client} {
		b := kind.Bounds()
		assert.Assert(t, b.Unacknowledged > b.Idle+b.Interval, "%s", kind)
	}
	assert.Assert(t, patience > probeIdle+probeInterval)
}

// TestWaitBearsLostProbes: a connection that waits for an answer has the longer
// bound until it sends again; one that is closed is left alone.
func TestWaitBearsLostProbes(t *testing.T) {
	listener, err := Peer.Listen(t.Context(), "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	conn, err := Runner.Dialer().DialContext(t.Context(), "tcp", listener.Addr().String())
	assert.NilError(t, err)
	Wait(conn)
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, tcpUserTimeout), int(patience.Milliseconds()))
	Send(conn)
	assert.Equal(t, option(t, conn, syscall.IPPROTO_TCP, tcpUserTimeout), int(RunnerSending.Milliseconds()))
	assert.NilError(t, conn.Close())
	Wait(conn)
	near, far := net.Pipe()
	Wait(near)
	assert.NilError(t, near.Close())
	assert.NilError(t, far.Close())
}
