package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection that a node opened, for one reader and one writer. Its reads return io.EOF only if the
// other end closed its side. A plain connection does so after a reset as well: the kernel returns the error of a
// socket once, to the call that comes first, and if that is a write, the next read sees an end.
type Conn struct {
	net.Conn
	// ended is set once a read has returned an end; nothing is written from then on.
	ended atomic.Bool

	// mutex is held during writes. broken is the error of the socket that a write returned.
	mutex  sync.Mutex
	broken error
}

var (
	// ErrEnded is the error of a write to a connection whose other end has closed its side.
	ErrEnded  = errors.New("the other end has ended the connection")
	errNotRaw = errors.New("the connection has no descriptor")
)

// Dial opens a connection with the bounds of the kind.
func (k Kind) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := k.dialer().DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}

// Read reads from the connection. If a write returned the error of the socket, that replaces io.EOF.
func (c *Conn) Read(buffer []byte) (int, error) {
	count, err := c.Conn.Read(buffer)
	if err != io.EOF {
		return count, err
	}
	if broken := c.endWrites(); broken != nil {
		return count, fmt.Errorf("read after a failed write: %w", broken)
	}
	return count, io.EOF
}

// endWrites interrupts a write that is under way, and returns the error of the socket if a write returned it.
func (c *Conn) endWrites() error {
	c.ended.Store(true)
	// The error means that the connection is closed, which ends writes as well.
	_ = c.Conn.SetWriteDeadline(time.Unix(0, 1))
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.broken
}

// Write writes to the connection.
func (c *Conn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.ended.Load() {
		return 0, ErrEnded
	}
	count, err := c.Conn.Write(content)
	if c.broken == nil && breaksOff(err) {
		c.broken = err
	}
	if c.ended.Load() && errors.Is(err, os.ErrDeadlineExceeded) {
		return count, ErrEnded
	}
	return count, err
}

// breaksOff reports whether the error of a write is that of the socket, which no read returns any more. A broken pipe
// is not: Linux returns it if the other end closed its side before it reset the connection, or if a read has
// returned the reset.
func breaksOff(err error) bool {
	var number syscall.Errno
	return errors.As(err, &number) && number != syscall.EPIPE
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotRaw
	}
	return raw.SyscallConn()
}
