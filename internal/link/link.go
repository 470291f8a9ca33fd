// Package link creates and accepts the TCP connections of a node. Each kind of
// connection has its own bounds on how long the other end may be silent.
package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Kind is the purpose of a connection.
type Kind uint8

// The kinds of connections.
const (
	// Runner connections carry requests, orders and queries to runners.
	Runner Kind = iota
	// Store connections carry calls to the store of the platform.
	Store
	// Peer connections carry calls between nodes; both ends have the bounds of this kind.
	Peer
	// Client connections are accepted from clients and callers.
	Client
	kinds
)

// String returns the name of the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Runner:
		return "runner"
	case Store:
		return "store"
	case Peer:
		return "peer"
	default:
		return "client"
	}
}

// Bounds are the timeouts of a kind.
type Bounds struct {
	// ConnectTimeout bounds a connection attempt.
	ConnectTimeout time.Duration
	// AckTimeout ends a connection if the other machine does not acknowledge bytes or probes for
	// this long.
	AckTimeout time.Duration
	// ProbeIdle is the time without traffic after which the kernel probes the other machine, and
	// ProbeInterval the time between two probes. Both are whole seconds.
	ProbeIdle     time.Duration
	ProbeInterval time.Duration
	// MaxIdle is how long a Transport keeps an idle connection for the next call.
	MaxIdle time.Duration
	// ReceiveBuffer is how many bytes of an accepted connection the kernel keeps at most that are not read yet; zero
	// leaves that to the kernel.
	ReceiveBuffer int
}

const (
	// runnerConnectTimeout leaves time to try another runner within the shortest latency
	// objectives.
	runnerConnectTimeout = 350 * time.Millisecond
	// RunnerAckTimeout is how long the bytes of a request may stay unacknowledged. Linux retransmits
	// after 0.2, 0.6, 1.4 and 3 s, and a sound runner may be silent for a second or two.
	RunnerAckTimeout = 3200 * time.Millisecond
	// connectTimeout allows for one lost packet during a connection attempt, which Linux
	// retransmits after a second.
	connectTimeout = 2 * time.Second
	// probeIdle is longer than the pauses of a healthy exchange, so that few probes are sent.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	// ackTimeout tolerates two unanswered probes, so that no healthy connection is dropped on a
	// link with occasional packet loss.
	ackTimeout = 4500 * time.Millisecond
	// clientProbeIdle, clientProbeInterval and clientAckTimeout are longer than an interruption
	// after which a client resumes reading its answer.
	clientProbeIdle     = 5 * time.Second
	clientProbeInterval = 2 * time.Second
	clientAckTimeout    = 10 * time.Second
	// ClientReceiveBuffer bounds, in bytes, what clients send before it is read. It lets a client whose packets
	// return after 50 ms send 10 Mbit/s.
	ClientReceiveBuffer = 64 << 10
	// TrustedIdle is how long the end of an answer shows that its connection works. An idle
	// connection may lose its path at any time, and nothing indicates that until it is used.
	TrustedIdle = 50 * time.Millisecond
	// peerMaxIdle is longer than the pauses between the calls of a node: a node that answers
	// hundreds of others could not accept a new connection from each several times a second.
	peerMaxIdle = 30 * time.Second
	// maxProbes is not reached where AckTimeout is supported, because that ends a connection first.
	// It takes effect on kernels without that option.
	maxProbes = 3
)

// Bounds returns the timeouts of a kind.
func (k Kind) Bounds() Bounds {
	switch k {
	case Runner:
		return Bounds{ConnectTimeout: runnerConnectTimeout, AckTimeout: RunnerAckTimeout, ProbeIdle: probeIdle, ProbeInterval: probeInterval}
	case Client:
		return Bounds{AckTimeout: clientAckTimeout, ProbeIdle: clientProbeIdle, ProbeInterval: clientProbeInterval, ReceiveBuffer: ClientReceiveBuffer}
	case Store:
		return Bounds{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, ProbeIdle: probeIdle, ProbeInterval: probeInterval, MaxIdle: TrustedIdle}
	default:
		return Bounds{ConnectTimeout: connectTimeout, AckTimeout: ackTimeout, ProbeIdle: probeIdle, ProbeInterval: probeInterval, MaxIdle: peerMaxIdle}
	}
}

func (b Bounds) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: b.ProbeIdle, Interval: b.ProbeInterval, Count: maxProbes}
}

// dialer returns a dialer with the bounds of the kind.
func (k Kind) dialer() *net.Dialer {
	b := k.Bounds()
	return &net.Dialer{Timeout: b.ConnectTimeout, KeepAliveConfig: b.keepAlive(), Control: b.control}
}

// Listen opens a listening socket whose connections have the bounds of the kind.
func (k Kind) Listen(ctx context.Context, address string) (net.Listener, error) {
	b := k.Bounds()
	listen := net.ListenConfig{KeepAliveConfig: b.keepAlive(), Control: b.controlListener}
	listener, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return boundedListener{Listener: listener, ackTimeout: b.AckTimeout}, nil
}

// boundedListener sets AckTimeout on each accepted connection, because not every kernel inherits it
// from the listening socket.
type boundedListener struct {
	net.Listener
	ackTimeout time.Duration
}

// Accept waits for the next connection.
func (b boundedListener) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	setAckTimeout(conn, b.ackTimeout)
	return conn, nil
}

// SetDeadline bounds the next calls of Accept.
func (b boundedListener) SetDeadline(t time.Time) error {
	return b.Listener.(*net.TCPListener).SetDeadline(t)
}

// tcpUserTimeout is the number of TCP_USER_TIMEOUT on Linux.
const tcpUserTimeout = 0x12

// control sets AckTimeout on a new socket. It is a net.Dialer.Control function.
func (b Bounds) control(_, _ string, raw syscall.RawConn) error {
	return setAckTimeoutRaw(raw, b.AckTimeout)
}

// controlListener sets ReceiveBuffer on a new listening socket, from which connections inherit it. It is a
// net.ListenConfig.Control function.
func (b Bounds) controlListener(_, _ string, raw syscall.RawConn) error {
	if b.ReceiveBuffer == 0 {
		return nil
	}
	return raw.Control(func(descriptor uintptr) {
		// Linux keeps twice the size that is set. A kernel that refuses it keeps its own bound.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.ReceiveBuffer/2)
	})
}

func setAckTimeoutRaw(raw syscall.RawConn, limit time.Duration) error {
	return raw.Control(func(descriptor uintptr) {
		// A kernel without the option only detects a lost peer later.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
}

// SendBound bounds how long the bytes of a request to a runner may stay unacknowledged. The
// bound is relaxed after RunnerAckTimeout, when the request must have arrived: from then on only
// probes are sent, and some of these may get lost. It is used by one goroutine, for one
// connection.
type SendBound struct {
	timer *time.Timer
	// relaxed is set if the bound was relaxed during the last exchange.
	relaxed bool
}

// Start bounds the bytes that are about to be sent over a connection. It has no effect on a
// connection that is not TCP.
func (s *SendBound) Start(conn net.Conn) {
	if s.relaxed {
		setAckTimeout(conn, RunnerAckTimeout)
	}
	s.timer = time.AfterFunc(RunnerAckTimeout, func() { setAckTimeout(conn, ackTimeout) })
}

// Relaxed reports whether the bound was relaxed during the last exchange.
func (s *SendBound) Relaxed() bool { return s.relaxed }

// Stop ends the exchange that Start began.
func (s *SendBound) Stop() {
	if s.timer != nil {
		s.relaxed = !s.timer.Stop()
	}
}

func setAckTimeout(conn net.Conn, limit time.Duration) {
	control, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := control.SyscallConn()
	if err != nil {
		return
	}
	// The error means that the connection is closed, which its user notices as well.
	_ = setAckTimeoutRaw(raw, limit)
}

// AckTimedOut reports whether an error means that AckTimeout ended the connection.
func AckTimedOut(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
