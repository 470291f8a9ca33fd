package tunnel

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/link"
	"lilacvane/internal/peer"
	"lilacvane/internal/wire"
)

// maxCarried bounds the tunnels that a node carries for others: with two goroutines and two
// buffers each, they take some 16 MB at most.
const maxCarried = 256

// copySize is the size of the buffer for each direction of a tunnel, in bytes.
const copySize = 8 << 10

// Connect connects to a runner directly.
type Connect func(ctx context.Context, runner, address string) (net.Conn, error)

// ServerOptions configures a Server.
type ServerOptions struct {
	// Connect connects to a runner. Fails reports whether that is known to fail.
	Connect Connect
	Fails   func(runner string) bool
	// ReachesOthers reports whether this node connects to other runners than the named one. If not,
	// a refused connection says nothing about the runner.
	ReachesOthers func(ctx context.Context, runner string) bool
	// AddressOf returns the address of a listed runner; false if this node does not know it.
	AddressOf func(runner string) (string, bool)
	// Carried is called with each request that this node passes on; it may be nil.
	Carried func(request, runner string, caller peer.Caller)
	Log     logr.Logger
}

// Server carries the connections of other nodes to runners.
type Server struct {
	options ServerOptions

	mutex   sync.Mutex
	tunnels map[*tunnel]bool
	// opening counts the tunnels that are being opened.
	opening  int
	stopping bool
	// idle is signalled when an exchange ends.
	idle chan struct{}
}

// NewServer returns a server that carries nothing yet.
func NewServer(options ServerOptions) *Server {
	return &Server{options: options, tunnels: make(map[*tunnel]bool), idle: make(chan struct{}, 1)}
}

// Open connects a caller to a runner. It is the handler of wire.MethodTunnel. No Takeover means
// that this node does not reach the runner.
func (s *Server) Open(ctx context.Context, caller peer.Caller, request wire.TunnelRequest) (peer.Takeover, wire.TunnelResponse, error) {
	if err := s.reserve(); err != nil {
		return nil, wire.TunnelResponse{}, err
	}
	defer s.release()
	if s.options.Fails(request.Runner) {
		return nil, wire.TunnelResponse{}, nil
	}
	address := request.Address
	if listed, known := s.options.AddressOf(request.Runner); known {
		address = listed
	}
	runner, err := s.options.Connect(ctx, request.Runner, address)
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED) && s.options.ReachesOthers(ctx, request.Runner)
		return nil, wire.TunnelResponse{Refused: refused}, nil
	}
	return func(conn net.Conn, reader *bufio.Reader) {
		t := &tunnel{server: s, name: request.Runner, caller: caller, peer: conn, reader: reader, runner: runner}
		s.add(t)
		t.run()
		t.close()
		s.remove(t)
	}, wire.TunnelResponse{}, nil
}

// reserve takes a place for a tunnel.
func (s *Server) reserve() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	switch {
	case s.stopping:
		return fault.New(fault.CodeDraining, wire.MethodTunnel, "the node is leaving")
	case len(s.tunnels)+s.opening >= maxCarried:
		return fault.New(fault.CodeOverloaded, wire.MethodTunnel, "%d connections are carried for others", maxCarried)
	}
	s.opening++
	return nil
}

func (s *Server) release() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.opening--
}

// add records an open tunnel. If the node stops meanwhile, no exchange may begin on it.
func (s *Server) add(t *tunnel) {
	s.mutex.Lock()
	s.tunnels[t] = true
	stopping := s.stopping
	s.mutex.Unlock()
	if stopping {
		t.announceClosing()
	}
}

func (s *Server) remove(t *tunnel) {
	s.mutex.Lock()
	delete(s.tunnels, t)
	s.mutex.Unlock()
	s.signalIdle()
}

func (s *Server) signalIdle() {
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// Count returns how many connections are carried for others.
func (s *Server) Count() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return len(s.tunnels)
}

// Shutdown announces to the callers that no further exchange may begin, and waits for those
// under way until ctx ends. What begins afterwards is refused as not passed on.
func (s *Server) Shutdown(ctx context.Context) {
	s.mutex.Lock()
	s.stopping = true
	open := make([]*tunnel, 0, len(s.tunnels))
	for t := range s.tunnels {
		open = append(open, t)
	}
	s.mutex.Unlock()
	for _, t := range open {
		t.announceClosing()
	}
	for s.busy() > 0 {
		select {
		case <-ctx.Done():
			s.options.Log.Info("exchanges for other nodes aborted at end of shutdown", "exchanges", s.busy())
			return
		case <-s.idle:
		}
	}
}

// busy returns how many exchanges are under way.
func (s *Server) busy() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for t := range s.tunnels {
		if t.inExchange() {
			count++
		}
	}
	return count
}

// tunnel is a connection of another node to a runner.
type tunnel struct {
	server *Server
	// name is that of the runner.
	name   string
	caller peer.Caller
	peer   net.Conn
	reader *bufio.Reader
	runner net.Conn
	send   link.SendBound

	// writing is held while a frame is written to the caller; buffer is reused for frames.
	writing sync.Mutex
	buffer  []byte

	mutex sync.Mutex
	// closing is set once no exchange may begin, active while one is under way.
	closing bool
	active  bool
}

// run copies in both directions until one connection ends.
func (t *tunnel) run() {
	copied := make(chan struct{})
	go func() {
		defer close(copied)
		t.copyAnswers()
	}()
	t.copyRequests()
	// The caller has closed its connection, so nobody waits for the runner any more.
	_ = t.runner.Close()
	<-copied
}

func (t *tunnel) close() {
	t.send.Stop()
	_ = t.peer.Close()
	_ = t.runner.Close()
}

// copyRequests copies what the caller sends to the runner, until the caller closes or the
// exchange is refused.
func (t *tunnel) copyRequests() {
	for {
		kind, length, err := readFrame(t.reader)
		if err != nil {
			return
		}
		switch kind {
		case frameBegin:
			if !t.begin(length) {
				return
			}
		case frameData:
			if err := t.forward(length); err != nil {
				return
			}
		case frameDone:
			t.done()
		default:
			t.server.options.Log.Info("tunnel closed", "step", "read frame", "peer", string(t.caller), "frame", uint8(kind))
			return
		}
	}
}

// forwardTimeout bounds how long a runner may leave a part of a request unread. Meanwhile the
// end of the caller's connection goes unnoticed.
const forwardTimeout = 10 * time.Second

// forward copies the content of a data frame to the runner.
func (t *tunnel) forward(length int) error {
	if err := t.runner.SetWriteDeadline(time.Now().Add(forwardTimeout)); err != nil {
		return err
	}
	_, err := io.CopyN(t.runner, t.reader, int64(length))
	return err
}

// begin begins an exchange unless the node stops; nothing of it is sent to the runner then.
func (t *tunnel) begin(length int) bool {
	request := make([]byte, length)
	if _, err := io.ReadFull(t.reader, request); err != nil {
		return false
	}
	if !t.setActive() {
		t.write(frameRefused, nil)
		t.awaitClose()
		return false
	}
	t.send.Start(t.runner)
	if carried := t.server.options.Carried; carried != nil {
		carried(string(request), t.name, t.caller)
	}
	return true
}

// refusalTimeout is how long a caller may take to read that its exchange was refused: closing
// with unread bytes would reset the connection.
const refusalTimeout = time.Second

// awaitClose discards what the caller still sends.
func (t *tunnel) awaitClose() {
	_ = t.peer.SetReadDeadline(time.Now().Add(refusalTimeout))
	// The caller closes its connection once it has read the refusal.
	_, _ = io.Copy(io.Discard, t.reader)
}

func (t *tunnel) done() {
	t.send.Stop()
	t.mutex.Lock()
	t.active = false
	closing := t.closing
	t.mutex.Unlock()
	if closing {
		t.write(frameClosing, nil)
	}
	t.server.signalIdle()
}

// setActive begins an exchange; false if none may begin.
func (t *tunnel) setActive() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.active = !t.closing
	return t.active
}

func (t *tunnel) inExchange() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.active
}

// announceClosing tells the caller that no further exchange may begin, at once or when the one
// under way ends: until then, a caller that does not read could hold the announcement up.
func (t *tunnel) announceClosing() {
	t.mutex.Lock()
	t.closing = true
	active := t.active
	t.mutex.Unlock()
	if !active {
		t.write(frameClosing, nil)
	}
}

// copyAnswers copies what the runner sends to the caller and marks how it ended.
func (t *tunnel) copyAnswers() {
	content := make([]byte, copySize)
	for {
		count, err := t.runner.Read(content)
		if count > 0 && !t.write(frameData, content[:count]) {
			_ = t.peer.Close()
			return
		}
		switch {
		case err == nil:
		case err == io.EOF:
			t.write(frameEnd, nil)
			return
		default:
			t.write(frameReset, nil)
			return
		}
	}
}

// write sends a frame to the caller; false if the connection failed.
func (t *tunnel) write(kind frameType, content []byte) bool {
	t.writing.Lock()
	defer t.writing.Unlock()
	t.buffer = appendFrame(t.buffer[:0], kind, content)
	_, err := t.peer.Write(t.buffer)
	return err == nil
}
