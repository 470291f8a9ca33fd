// Package faultproxy stands in front of one process's TCP and UDP address and
// cuts it off from chosen sources. It does what the TCP-only proxy library used
// beside it cannot: datagrams, and rules by who is calling.
package faultproxy

import (
	"io"
	"net"
	"sync"
)

const datagramSize = 64 << 10

// Proxy forwards what arrives at its address to a target on both protocols. It
// is safe for concurrent use.
type Proxy struct {
	target   string
	listener net.Listener
	socket   net.PacketConn

	mutex       sync.Mutex
	blocked     map[string]struct{}
	blockAll    bool
	connections map[net.Conn]string
}

// New listens on address and forwards to target (both ip:port).
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	socket, err := net.ListenPacket("udp", address)
	if err != nil {
		_ = listener.Close()
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, socket: socket, blocked: make(map[string]struct{}), connections: make(map[net.Conn]string)}
	go p.acceptStreams()
	go p.relayDatagrams()
	return p, nil
}

// Address is the proxy's own address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Block cuts the target off from callers at the given IP addresses, at once and
// for open connections too. Without arguments it cuts off everyone.
func (p *Proxy) Block(sources ...string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if len(sources) == 0 {
		p.blockAll = true
	}
	for _, source := range sources {
		p.blocked[source] = struct{}{}
	}
	for connection, source := range p.connections {
		if p.isBlocked(source) {
			_ = connection.Close()
		}
	}
}

// Heal lets everyone through again.
func (p *Proxy) Heal() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.blocked = make(map[string]struct{})
	p.blockAll = false
}

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	_ = p.socket.Close()
	p.Block()
}

// isBlocked is called with the mutex held.
func (p *Proxy) isBlocked(source string) bool {
	_, blocked := p.blocked[source]
	return blocked || p.blockAll
}

func sourceOf(address net.Addr) string {
	host, _, _ := net.SplitHostPort(address.String())
	return host
}

func (p *Proxy) acceptStreams() {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(connection)
	}
}

func (p *Proxy) forward(connection net.Conn) {
	defer connection.Close()
	source := sourceOf(connection.RemoteAddr())
	p.mutex.Lock()
	refused := p.isBlocked(source)
	if !refused {
		p.connections[connection] = source
	}
	p.mutex.Unlock()
	if refused {
		return
	}
	defer p.forget(connection)
	onward, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer onward.Close()
	done := make(chan struct{}, 2)
	copyTo := func(destination, origin net.Conn) {
		_, _ = io.Copy(destination, origin)
		done <- struct{}{}
	}
	go copyTo(onward, connection)
	go copyTo(connection, onward)
	<-done
}

func (p *Proxy) forget(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, connection)
}

func (p *Proxy) relayDatagrams() {
	target, err := net.ResolveUDPAddr("udp", p.target)
	if err != nil {
		return
	}
	buffer := make([]byte, datagramSize)
	for {
		size, from, err := p.socket.ReadFrom(buffer)
		if err != nil {
			return
		}
		p.mutex.Lock()
		refused := p.isBlocked(sourceOf(from))
		p.mutex.Unlock()
		if !refused {
			_, _ = p.socket.WriteTo(buffer[:size], target)
		}
	}
}
