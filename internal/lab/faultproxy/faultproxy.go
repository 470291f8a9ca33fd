// Package faultproxy stands in front of one process's TCP address and harms the
// connections to it: cut, silenced in one or both ways or for good, reset, or
// delayed.
package faultproxy

import (
	"io"
	"net"
	"sync"
	"time"
)

const chunkSize = 16 << 10

// Mode is what a proxy does to connections.
type Mode uint8

// The modes.
const (
	// Pass forwards everything.
	Pass Mode = iota
	// Refuse closes new connections at once; open ones stay until Reset.
	Refuse
	// Silence holds back the bytes of both ways; connections stay open.
	Silence
	// Deaf holds back what the target answers: requests arrive, answers do not.
	Deaf
)

// Proxy forwards what arrives at its address to a target. It is safe for
// concurrent use.
type Proxy struct {
	target   string
	listener net.Listener

	mutex       sync.Mutex
	mode        Mode
	delay       time.Duration
	changed     chan struct{}
	closed      bool
	connections map[net.Conn]*state
}

// state is one connection's, read and set under the proxy's lock.
type state struct {
	// silent is set when nothing goes on from it any more, whatever the mode.
	silent bool
}

// New listens on address and forwards to target (both ip:port).
func New(address, target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{target: target, listener: listener, changed: make(chan struct{}), connections: make(map[net.Conn]*state)}
	go p.accept()
	return p, nil
}

// Address is the proxy's own address.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Block refuses connections and closes the open ones.
func (p *Proxy) Block() {
	p.Set(Refuse)
	p.Reset()
}

// Heal forwards everything again.
func (p *Proxy) Heal() { p.Set(Pass) }

// Set changes the mode.
func (p *Proxy) Set(mode Mode) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.mode = mode
	close(p.changed)
	p.changed = make(chan struct{})
}

// Delay holds each piece of bytes back for a time.
func (p *Proxy) Delay(delay time.Duration) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.delay = delay
}

// SilenceOpen silences the open connections for good and returns how many they
// are. New ones work. Neither end is told when the other closes.
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

// Close ends the proxy and its connections.
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
	refused := p.mode == Refuse
	s := &state{}
	if !refused {
		p.connections[connection] = s
	}
	p.mutex.Unlock()
	if refused {
		return
	}
	defer p.forget(connection)
	onward, err := p.dial()
	if err != nil {
		return
	}
	defer onward.Close()
	done := make(chan struct{}, 2)
	go p.copy(onward, connection, s, false, done)
	go p.copy(connection, onward, s, true, done)
	<-done
}

// dial connects to the target from the proxy's own host, so that the target can
// tell whom it serves.
func (p *Proxy) dial() (net.Conn, error) {
	dialer := net.Dialer{}
	if own, ok := p.listener.Addr().(*net.TCPAddr); ok {
		dialer.LocalAddr = &net.TCPAddr{IP: own.IP}
	}
	return dialer.Dial("tcp", p.target)
}

func (p *Proxy) forget(connection net.Conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.connections, connection)
}

// copy forwards one way; answers tells whether it is the target's.
func (p *Proxy) copy(destination io.Writer, origin io.Reader, s *state, answers bool, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, chunkSize)
	for {
		count, err := origin.Read(buffer)
		if count > 0 {
			if !p.hold(s, answers) {
				return
			}
			if _, err := destination.Write(buffer[:count]); err != nil {
				return
			}
		}
		if err != nil {
			p.keepFromEnd(s)
			return
		}
	}
}

// keepFromEnd holds the end of a connection that was silenced for good until the
// proxy ends.
func (p *Proxy) keepFromEnd(s *state) {
	p.mutex.Lock()
	silent := s.silent
	p.mutex.Unlock()
	if silent {
		p.hold(s, false)
	}
}

// hold waits until bytes may go on; false when the proxy ended.
func (p *Proxy) hold(s *state, answers bool) bool {
	for {
		p.mutex.Lock()
		held := s.silent || p.mode == Silence || (p.mode == Deaf && answers)
		delay, changed, closed := p.delay, p.changed, p.closed
		p.mutex.Unlock()
		if closed {
			return false
		}
		if !held {
			time.Sleep(delay)
			return true
		}
		<-changed
	}
}
