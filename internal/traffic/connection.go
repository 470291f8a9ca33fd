package traffic

import (
	"errors"
	"net"
	"syscall"
)

// counted is a connection to a runner in another region.
type counted struct {
	net.Conn
	count Count
}

// Read reads and counts.
func (c *counted) Read(buffer []byte) (int, error) {
	read, err := c.Conn.Read(buffer)
	c.count(Requests, Received, read)
	return read, err
}

// Write writes and counts.
func (c *counted) Write(content []byte) (int, error) {
	written, err := c.Conn.Write(content)
	c.count(Requests, Sent, written)
	return written, err
}

var errNotRaw = errors.New("the connection has no descriptor")

// SyscallConn gives the connection's descriptor, by which its pool looks whether it is quiet.
func (c *counted) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errNotRaw
	}
	return raw.SyscallConn()
}
