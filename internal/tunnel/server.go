package tunnel

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/go-logr/logr"

	"lilacvane/internal/fault"
	"lilacvane/internal/peer"
	"lilacvane/internal/wire"
)

// maxCarried bounds the tunnels that a node carries for others: with two goroutines and two
// buffers each, they take some 16 MB at most.
const maxCarried = 256

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
	// Begin admits a connection to be opened for a peer; it returns false if this node has no room for
	// it. end is called once it is open or failed.
	Begin func() (end func(), ok bool)
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
	end, ok := s.options.Begin()
	if !ok {
		return nil, wire.TunnelResponse{}, fault.New(fault.CodeOverloaded, wire.MethodTunnel, "this node has no room for connections of others")
	}
	defer end()
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
