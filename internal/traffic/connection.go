package traffic

import (
	"errors"
	"net"
	"syscall"
)

// countedConn is a connection to a runner in another region that counts its bytes.
type countedConn struct {
	net.Conn
	count Count
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	c.count(Requests, Received, read)
	return read, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(content []byte) (int, error) {
	written, err := c.Conn.Write(content)
	c.count(Requests, Sent, written)
	return written, err
}

var errNotRaw = errors.New("the connection has no descriptor")

// SyscallConn returns the raw connection, with which the connection pool checks that no data
// is pending.
func (c *countedConn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotRaw
	}
	return raw.SyscallConn()
}
