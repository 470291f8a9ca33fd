// Package faultproxy is a TCP proxy that injects faults into the connections to one
// process: it refuses, resets, delays or stalls them, in one or both directions, for a
// time or for good.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

const chunkSize = 16 << 10

// Mode determines what a proxy does with connections.
type Mode uint8

// The modes.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Refuse closes new connections immediately; open ones stay until Reset.
	Refuse
	// Silence holds back the bytes of both directions; connections stay open.
	Silence
	// SilenceResponses holds back what the target sends: requests arrive, responses do not.
	SilenceResponses
)

// Proxy forwards the connections to its address to a target. It is safe for concurrent
// use.
type Proxy struct {
	target   string
	listener net.Listener

	mutex       sync.Mutex
	mode        Mode
	delay       time.Duration
	changed     chan struct{}
	closed      bool
	connections map[net.Conn]*connectionState
}

// connectionState is the state of one connection, guarded by the proxy's mutex.
type connectionState struct {
	// silent connections forward nothing any more, whatever the mode.
	silent bool
}

// New starts a proxy that listens on address and forwards to target (both ip:port).
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, changed: make(chan struct{}), connections: make(map[net.Conn]*connectionState)}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Block refuses new connections and closes the open ones.
func (p *Proxy) Block() {
	p.Set(Refuse)
	p.Reset()
}

// Heal makes the proxy forward everything again.
func (p *Proxy) Heal() { p.Set(Pass) }

// Set changes the mode, also for connections that are open.
func (p *Proxy) Set(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// Delay sets the time by which each chunk of bytes is delayed.
func (p *Proxy) Delay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = delay
}

// SilenceOpen stalls the open connections for good and returns their number. New
// connections work. Neither end of a stalled connection sees the other one close.
func (p *Proxy) SilenceOpen() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, s := range p.connections {
		s.silent = true
	}
	return len(p.connections)
}

// Reset closes the open connections.
func (p *Proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for connection := range p.connections {
		_ = connection.Close()
	}
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.mutex.Lock()
	p.closed = true
	p.mutex.Unlock()
	_ = p.listener.Close()
	p.Set(Refuse)
	p.Reset()
}

func (p *Proxy) accept() {
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
	p.mutex.Lock()
	refuse := p.mode == Refuse
	s := &connectionState{}
	if !refuse {
		p.connections[connection] = s
	}
	p.mutex.Unlock()
	if refuse {
		return
	}
	defer p.remove(connection)
	upstream, err := p.dial()
	if err != nil {
		return
	}
	defer upstream.Close()
	done := make(chan struct{}, 2)
	go p.copy(upstream, connection, s, false, done)
	go p.copy(connection, upstream, s, true, done)
	<-done
}

// dial connects to the target from the proxy's own IP address, so that the target can
// distinguish its clients.
func (p *Proxy) dial() (net.Conn, error) {
	dialer := net.Dialer{}
	if listenAddress, ok := p.listener.Addr().(*net.TCPAddr); ok {
		dialer.LocalAddr = &net.TCPAddr{IP: listenAddress.IP}
	}
	return dialer.Dial("tcp", p.target)
}

func (p *Proxy) remove(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, connection)
}

// copy forwards one direction; fromTarget is set for that from the target to the client.
func (p *Proxy) copy(destination io.Writer, origin io.Reader, s *connectionState, fromTarget bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, chunkSize)
	for {
		count, err := origin.Read(buffer)
		if count > 0 {
			if !p.waitToForward(s, fromTarget) {
				return
			}
			if _, err := destination.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			p.holdClose(s)
			return
		}
	}
}

// holdClose delays the close of a connection that was silenced for good until the proxy
// is closed.
func (p *Proxy) holdClose(s *connectionState) {
	p.mutex.Lock()
	silent := s.silent
	p.mutex.Unlock()
	if silent {
		p.waitToForward(s, false)
	}
}

// waitToForward waits until bytes may be forwarded. It returns false when the proxy was
// closed.
func (p *Proxy) waitToForward(s *connectionState, fromTarget bool) bool {
	for {
		p.mutex.Lock()
		blocked := s.silent || p.mode == Silence || (p.mode == SilenceResponses && fromTarget)
		delay, changed, closed := p.delay, p.changed, p.closed
		p.mutex.Unlock()
		if closed {
			return false
		}
		if !blocked {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}
