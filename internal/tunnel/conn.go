// Package tunnel connects a node to runners through a peer, for a node whose own path to them
// is broken. The peer copies the bytes of one connection in both directions; frames around
// them mark how the connection to the runner ended, so that an answer that breaks off never
// looks complete.
package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"lilacvane/internal/peer"
	"lilacvane/internal/place"
)

var (
	// ErrRefused means that the peer sent nothing of the exchange to the runner.
	ErrRefused = errors.New("the peer stops and passed nothing on")
	// ErrBroken means that the connection from the peer to the runner was reset.
	ErrBroken = errors.New("the peer's connection to the runner broke off")
	errFrame  = errors.New("the peer sent a frame that only clients send")
	errNoRaw  = errors.New("the connection to the peer has no descriptor")
)

// Conn is a connection to a runner through a peer. Like any connection of the pool, it has
// one reader, and writers that take turns.
type Conn struct {
	net.Conn
	// Peer is the address of the peer, Region the region that it stated; empty if it stated none.
	Peer   string
	Region place.Region
	reader *bufio.Reader
	// unread is what is left of the content of the current data frame; err ends all reads.
	unread int
	err    error
	// closing is set once the peer accepts no further exchange.
	closing bool

	mutex sync.Mutex
	// buffer is reused for frames; begin is the frame that the next write is preceded by.
	buffer []byte
	begin  []byte
}

// newConn returns a connection over one to the peer at an address.
func newConn(upgraded *peer.Upgraded, address string) *Conn {
	return &Conn{Conn: upgraded.Conn, Peer: address, Region: upgraded.Region, reader: upgraded.Reader}
}

// maxIdentifier bounds the identifier of a request that is sent to a peer, in bytes.
const maxIdentifier = 256

// Begin announces an exchange with the runner; the announcement goes out with the first bytes.
func (c *Conn) Begin(request string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.begin = appendFrame(nil, frameBegin, []byte(request[:min(len(request), maxIdentifier)]))
}

// Done announces that the exchange is complete.
func (c *Conn) Done() error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	_, err := c.Conn.Write(appendFrame(nil, frameDone, nil))
	return err
}

// Write sends bytes to the runner.
func (c *Conn) Write(content []byte) (int, error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	written := 0
	for written < len(content) {
		part := content[written:min(written+maxContent, len(content))]
		c.buffer = appendFrame(append(c.buffer[:0], c.begin...), frameData, part)
		c.begin = nil
		if _, err := c.Conn.Write(c.buffer); err != nil {
			return written, err
		}
		written += len(part)
	}
	return written, nil
}

// Read reads what the runner sent. io.EOF means that the runner closed the connection.
func (c *Conn) Read(buffer []byte) (int, error) {
	for c.unread == 0 {
		if c.err == nil {
			c.err = c.next()
		}
		if c.err != nil {
			return 0, c.err
		}
	}
	count, err := c.reader.Read(buffer[:min(len(buffer), c.unread)])
	c.unread -= count
	if err == io.EOF {
		// Only a frame ends the answer of a runner.
		err = io.ErrUnexpectedEOF
	}
	return count, err
}

// next reads the header of the next frame.
func (c *Conn) next() error {
	kind, length, err := readFrame(c.reader)
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	if err != nil {
		return err
	}
	switch kind {
	case frameData:
		c.unread = length
		return nil
	case frameEnd:
		return io.EOF
	case frameReset:
		return ErrBroken
	case frameRefused:
		return ErrRefused
	case frameClosing:
		c.closing = true
		return nil
	default:
		return errFrame
	}
}

// Closing reports whether the peer announced that it accepts no further exchange.
func (c *Conn) Closing() bool { return c.closing }

// Buffered returns how many bytes were received and not read.
func (c *Conn) Buffered() int { return c.unread + c.reader.Buffered() }

// SyscallConn returns the raw connection to the peer.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNoRaw
	}
	return raw.SyscallConn()
}
