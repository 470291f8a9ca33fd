// Package link makes and accepts the TCP connections of a node. Each kind of
// connection has bounds of its own on how long its other end may be silent.
package link

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// Kind is what a connection is used for.
type Kind uint8

// The kinds.
const (
	// Runner carries requests, orders and questions to runners.
	Runner Kind = iota
	// Store carries calls of the platform's store.
	Store
	// Peer carries calls between nodes; both ends have its bounds.
	Peer
	// Client is accepted from clients and callers.
	Client
	kinds
)

// String returns the kind as it stands in logs and figures.
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

// Bounds are the times of a kind.
type Bounds struct {
	// Connect bounds a connection attempt.
	Connect time.Duration
	// Unacknowledged ends a connection whose bytes, or probes, the other machine
	// has not acknowledged for so long.
	Unacknowledged time.Duration
	// Idle is the time without a byte after which the kernel probes the other
	// machine, Interval the time between two probes; both in whole seconds.
	Idle     time.Duration
	Interval time.Duration
	// Rest is how long a Transport keeps a connection without a call for the next one.
	Rest time.Duration
}

const (
	// runnerConnect leaves time for another runner within the shortest objectives.
	runnerConnect = 350 * time.Millisecond
	// RunnerSending is how long the bytes of a request may stay unacknowledged: four
	// to five retransmissions of Linux, whose first comes after 200 ms.
	RunnerSending = 1200 * time.Millisecond
	// connect covers one lost packet of a connection attempt, which Linux sends again
	// after a second.
	connect = 2 * time.Second
	// probeIdle is longer than the pauses of a healthy exchange, so that probes are
	// few.
	probeIdle     = 2 * time.Second
	probeInterval = time.Second
	// patience lets two probes go unanswered: on a link that loses packets now and
	// then, no sound connection is given up.
	patience = 4500 * time.Millisecond
	// clientIdle, clientInterval and clientPatience are longer than a cut from which a
	// client comes back to its answer.
	clientIdle     = 5 * time.Second
	clientInterval = 2 * time.Second
	clientPatience = 10 * time.Second
	// ProvedFor is how long the end of an answer shows that its connection works: one may
	// lose its path at any time while it rests, and nothing tells so until it is used.
	ProvedFor = 50 * time.Millisecond
	// peerRest is longer than the pauses between a node's calls: one that answers hundreds of
	// nodes could not take a new connection from each several times a second.
	peerRest = 30 * time.Second
	// probes is not reached, as the time without an acknowledgement ends a connection
	// first; it does where the kernel has no such bound.
	probes = 3
)

// Bounds returns the times of a kind.
func (k Kind) Bounds() Bounds {
	switch k {
	case Runner:
		return Bounds{Connect: runnerConnect, Unacknowledged: RunnerSending, Idle: probeIdle, Interval: probeInterval}
	case Client:
		return Bounds{Unacknowledged: clientPatience, Idle: clientIdle, Interval: clientInterval}
	case Store:
		return Bounds{Connect: connect, Unacknowledged: patience, Idle: probeIdle, Interval: probeInterval, Rest: ProvedFor}
	default:
		return Bounds{Connect: connect, Unacknowledged: patience, Idle: probeIdle, Interval: probeInterval, Rest: peerRest}
	}
}

func (b Bounds) keepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: b.Idle, Interval: b.Interval, Count: probes}
}

// Dialer returns a dialer with the kind's bounds.
func (k Kind) Dialer() *net.Dialer {
	b := k.Bounds()
	return &net.Dialer{Timeout: b.Connect, KeepAliveConfig: b.keepAlive(), Control: b.control}
}

// Listen opens a listening socket whose connections have the kind's bounds.
func (k Kind) Listen(ctx context.Context, address string) (net.Listener, error) {
	b := k.Bounds()
	listen := net.ListenConfig{KeepAliveConfig: b.keepAlive()}
	listener, err := listen.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return bounded{Listener: listener, unacknowledged: b.Unacknowledged}, nil
}

// bounded sets the bound of each connection it accepts: not every kernel hands it
// on from the listening socket.
type bounded struct {
	net.Listener
	unacknowledged time.Duration
}

// Accept waits for the next connection.
func (b bounded) Accept() (net.Conn, error) {
	conn, err := b.Listener.Accept()
	if err != nil {
		return nil, err
	}
	setUnacknowledged(conn, b.unacknowledged)
	return conn, nil
}

// tcpUserTimeout is the option's number on Linux.
const tcpUserTimeout = 0x12

func (b Bounds) control(_, _ string, raw syscall.RawConn) error {
	return limitUnacknowledged(raw, b.Unacknowledged)
}

func limitUnacknowledged(raw syscall.RawConn, limit time.Duration) error {
	return raw.Control(func(descriptor uintptr) {
		// A kernel without the option only notices a lost peer later.
		_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(limit.Milliseconds()))
	})
}

// Wait makes a connection bear lost probes once its own bytes are out, and Send
// bounds again how long bytes may stay unacknowledged. They do nothing to what is
// not a TCP connection, or is closed.
func Wait(conn net.Conn) { setUnacknowledged(conn, patience) }

// Send undoes Wait.
func Send(conn net.Conn) { setUnacknowledged(conn, RunnerSending) }

func setUnacknowledged(conn net.Conn, limit time.Duration) {
	control, ok := conn.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := control.SyscallConn()
	if err != nil {
		return
	}
	// The error says that the connection is closed, which its user learns as well.
	_ = limitUnacknowledged(raw, limit)
}

// Lost reports whether an error says that the other machine stopped to
// acknowledge.
func Lost(err error) bool { return errors.Is(err, syscall.ETIMEDOUT) }
