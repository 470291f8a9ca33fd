package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/link"
	"lilacvane/internal/peer"
	"lilacvane/internal/place"
	"lilacvane/internal/reach"
	"lilacvane/internal/tunnel"
	"lilacvane/internal/wire"
)

// pathWorld is a pool whose direct path to all runners can be lost, beside a peer.
type pathWorld struct {
	pool *Pool
	// direct and carried count the connections of the pool itself and through the peer.
	direct, carried atomic.Int32
	// lost is the error of the pool's own connection attempts, peerLost that of the peer's; nil while
	// they work. A timeout takes as long as one.
	lost, peerLost atomic.Pointer[error]
}

func startPathWorld(t *testing.T) *pathWorld {
	t.Helper()
	w := &pathWorld{pool: NewPool(testNames)}
	w.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if err := waitLost(&w.lost); err != nil {
			return nil, err
		}
		w.direct.Add(1)
		return link.Runner.Dial(ctx, network, address)
	}
	address := w.startPeer(t, "")
	w.pool.Reach = reach.New(time.Now, logr.Discard())
	w.pool.Tunnels = tunnel.NewDialer(peer.NewClient("self", nil).Upgrade, func() []string { return []string{address} }, logr.Discard())
	return w
}

// startPeer starts a peer in a region, empty for one that states none, and returns its address.
func (w *pathWorld) startPeer(t *testing.T, region place.Region) string {
	t.Helper()
	server := tunnel.NewServer(tunnel.ServerOptions{
		Connect: func(ctx context.Context, _, address string) (net.Conn, error) {
			if err := waitLost(&w.peerLost); err != nil {
				return nil, err
			}
			w.carried.Add(1)
			return link.Runner.Dial(ctx, "tcp", address)
		},
		Fails: func(string) bool { return false }, ReachesOthers: func(context.Context, string) bool { return true }, AddressOf: func(string) (string, bool) { return "", false }, Begin: func() (func(), bool) { return func() {}, true }, Log: logr.Discard(),
	})
	peers := peer.NewServer("peer", nil)
	peers.SetRegion(region)
	peer.HandleUpgrade(peers, wire.MethodTunnel, server.Open)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = peers.Serve(listener) }()
	t.Cleanup(func() { _ = peers.Close() })
	return listener.Addr().String()
}

// keepsDirect reports whether the pool keeps an idle connection that leads through no peer.
func (w *pathWorld) keepsDirect() bool {
	return slices.ContainsFunc(idleOf(w.pool, "r"), func(conn *connection) bool { return conn.tunnel == nil })
}

// waitLost returns the error of a connection attempt on a path, after the time that it takes.
func waitLost(lost *atomic.Pointer[error]) error {
	cause := lost.Load()
	if cause == nil {
		return nil
	}
	if errors.Is(*cause, os.ErrDeadlineExceeded) {
		time.Sleep(link.Runner.Bounds().ConnectTimeout)
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: *cause}
}

func lose(lost *atomic.Pointer[error], cause error) { lost.Store(&cause) }

// TestRequestsGoThroughAPeerWhileThePathIsBroken: requests are answered while the pool's own path
// hangs or is refused, without another attempt on it for each, and directly once it works again.
func TestRequestsGoThroughAPeerWhileThePathIsBroken(t *testing.T) {
	for name, cause := range map[string]error{"hangs": os.ErrDeadlineExceeded, "refused": syscall.ECONNREFUSED} {
		t.Run(name, func(t *testing.T) {
			s := serveOnce(t)
			w := startPathWorld(t)
			lose(&w.lost, cause)
			for range 5 {
				call := s.call("a")
				call.Fresh = true
				_, err := exchange(w.pool, call)
				assert.NilError(t, err)
			}
			assert.Equal(t, w.direct.Load(), int32(0))
			assert.Equal(t, w.carried.Load(), int32(5))
			assert.Equal(t, w.pool.Reach.Figures().Broken, 1)
			w.lost.Store(nil)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			go w.pool.RetryBrokenPaths(ctx)
			for w.pool.Reach.Figures().Broken > 0 || !w.keepsDirect() {
				time.Sleep(10 * time.Millisecond)
			}
			_, err := exchange(w.pool, s.call("a"))
			assert.NilError(t, err)
			assert.Equal(t, w.carried.Load(), int32(5))
			assert.Equal(t, w.direct.Load(), int32(1), "the connection of the attempt is used")
		})
	}
}

// TestOwnLatenessWasTakenForABrokenPath: the timeout of a node that is late with its own work neither
// counts as a broken path nor makes it ask a peer. A refused connection does.
func TestOwnLatenessWasTakenForABrokenPath(t *testing.T) {
	s := serveOnce(t)
	w := startPathWorld(t)
	w.pool.Allowance = func() time.Duration { return time.Second }
	lose(&w.lost, os.ErrDeadlineExceeded)
	call := s.call("a")
	call.Fresh = true
	for range 2 {
		_, err := exchange(w.pool, call)
		assert.Assert(t, fault.IsCode(err, fault.CodeUnreachable), "%v", err)
	}
	w.pool.Check(reach.Runner{Name: call.Runner, Address: call.Address})
	assert.Equal(t, w.carried.Load(), int32(0))
	assert.Equal(t, w.pool.Reach.Figures(), reach.Figures{})
	lose(&w.lost, syscall.ECONNREFUSED)
	_, err := exchange(w.pool, call)
	assert.NilError(t, err)
	assert.Equal(t, w.carried.Load(), int32(1))
}

// TestOrdersNeverLeadThroughPeers: a call that is not a question is sent on a connection of the node
// itself or not at all, while questions go through a peer.
func TestOrdersNeverLeadThroughPeers(t *testing.T) {
	s := serveOnce(t)
	w := startPathWorld(t)
	lose(&w.lost, syscall.ECONNREFUSED)
	client := &http.Client{Transport: w.pool}
	ask := func(method string) error {
		request, err := http.NewRequestWithContext(t.Context(), method, "http://"+s.call("a").Address+"/", http.NoBody)
		assert.NilError(t, err)
		request.Header.Set(testNames.ExpectRunner, "r")
		response, err := client.Do(request)
		if err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			err = response.Body.Close()
		}
		return err
	}
	for range 3 {
		err := ask(http.MethodPost)
		assert.Equal(t, fault.OutcomeOf(err), fault.NotDone, "%v", err)
	}
	assert.Equal(t, s.requests.Load(), int32(0))
	assert.NilError(t, ask(http.MethodGet))
	assert.Assert(t, w.carried.Load() > 0)
}

// TestRefusalNeedsConfirmation: that a runner's address refuses connections shows its end only if a
// peer is refused as well, or if there is no peer.
func TestRefusalNeedsConfirmation(t *testing.T) {
	s := serveOnce(t)
	address := s.call("a").Address
	w := startPathWorld(t)
	names := 0
	refused := func(pool *Pool) bool {
		// Nothing is known of a new name, whatever was tried before.
		names++
		call := s.call("a")
		call.Runner = strconv.Itoa(names)
		_, err := exchange(pool, call)
		assert.Assert(t, err != nil)
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	lose(&w.lost, syscall.ECONNREFUSED)
	assert.NilError(t, w.pool.Connect(t.Context(), address), "the peer connects")
	lose(&w.peerLost, os.ErrDeadlineExceeded)
	assert.Assert(t, !refused(w.pool))
	err := w.pool.Connect(t.Context(), address)
	assert.Assert(t, err != nil && !errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	lose(&w.peerLost, syscall.ECONNREFUSED)
	assert.Assert(t, refused(w.pool))
	assert.Assert(t, errors.Is(w.pool.Connect(t.Context(), address), syscall.ECONNREFUSED))
	alone := NewPool(testNames)
	alone.Dial, alone.Reach = w.pool.Dial, reach.New(time.Now, logr.Discard())
	alone.Tunnels = tunnel.NewDialer(nil, func() []string { return nil }, logr.Discard())
	assert.Assert(t, refused(alone))
}

// TestCrashWasNotSeenWhilePeersWereGone: a refused connection did not count while the peers that were
// to confirm it had ended themselves. It counts if this node reaches other runners.
func TestCrashWasNotSeenWhilePeersWereGone(t *testing.T) {
	s := serveOnce(t)
	address := s.call("a").Address
	other := reach.Runner{Name: "other", Address: address}
	w := startPathWorld(t)
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, gone.Close())
	w.pool.Tunnels = tunnel.NewDialer(peer.NewClient("self", nil).Upgrade, func() []string { return []string{gone.Addr().String()} }, logr.Discard())
	w.pool.Others = func(string) []reach.Runner { return []reach.Runner{other} }
	ended, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, ended.Close())
	assert.Assert(t, errors.Is(w.pool.Connect(t.Context(), ended.Addr().String()), syscall.ECONNREFUSED))
	lose(&w.lost, syscall.ECONNREFUSED)
	assert.Assert(t, !errors.Is(w.pool.Connect(t.Context(), ended.Addr().String()), syscall.ECONNREFUSED), "all paths are broken")
}

// TestCrashWasNotSeenAsRunnerWasBack: a runner that refused a connection was back by the time that a peer
// had connected to it, and counted as one that never ended.
func TestCrashWasNotSeenAsRunnerWasBack(t *testing.T) {
	s := serveOnce(t)
	w := startPathWorld(t)
	dial, refusals := w.pool.Dial, 1
	w.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		if refusals > 0 {
			refusals--
			return nil, syscall.ECONNREFUSED
		}
		return dial(ctx, network, address)
	}
	err := w.pool.Connect(t.Context(), s.call("a").Address)
	assert.Assert(t, errors.Is(err, syscall.ECONNREFUSED), "%v", err)
	assert.NilError(t, w.pool.Connect(t.Context(), s.call("a").Address))
}

// TestRunnerThatEndedHadAcceptedAConnection: a process that ended accepted a connection before it closed
// its listener, and counted as one that goes on.
func TestRunnerThatEndedHadAcceptedAConnection(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, _ net.Conn) { _ = s.listener.Close() })
	pool := NewPool(testNames)
	pool.presenceSettle = 200 * time.Millisecond
	assert.Assert(t, pool.Connect(t.Context(), s.call("a").Address) != nil)
	assert.Assert(t, errors.Is(pool.Connect(t.Context(), s.call("a").Address), syscall.ECONNREFUSED))
}

// TestRunnerThatEndedIsNotWaitedFor: where nobody reaches a runner, a call fails soon after the
// direct attempt, and peers are not asked for each further call.
func TestRunnerThatEndedIsNotWaitedFor(t *testing.T) {
	s := serveOnce(t)
	w := startPathWorld(t)
	lose(&w.lost, os.ErrDeadlineExceeded)
	lose(&w.peerLost, os.ErrDeadlineExceeded)
	start := time.Now()
	_, err := exchange(w.pool, s.call("a"))
	assert.Equal(t, fault.OutcomeOf(err), fault.NotDone, "%v", err)
	assert.Assert(t, time.Since(start) < tunnel.OpenTimeout)
	for w.pool.Reach.Way(reach.Runner{Name: "r"}) != reach.Alone {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, w.pool.Reach.Figures().Broken, 0)
}

// TestOldConnectionsAreUsedIfTheyAnswered: while new connections are refused, an open one that
// answered since is used again, and one that did not is not.
func TestOldConnectionsAreUsedIfTheyAnswered(t *testing.T) {
	s := serveAll(t, "whole")
	w := startPathWorld(t)
	_, err := exchange(w.pool, s.call("a"))
	assert.NilError(t, err)
	lose(&w.lost, syscall.ECONNREFUSED)
	fresh := s.call("b")
	fresh.Fresh = true
	inUse, err := w.pool.Do(t.Context(), s.call("c"))
	assert.NilError(t, err)
	_, err = exchange(w.pool, fresh)
	assert.NilError(t, err)
	assert.Equal(t, w.carried.Load(), int32(1))
	_, err = io.Copy(io.Discard, inUse)
	assert.NilError(t, err)
	answer, err := w.pool.Do(t.Context(), s.call("d"))
	assert.NilError(t, err)
	assert.Equal(t, answer.Via, "")
	answer.Close()
	assert.Equal(t, w.direct.Load(), int32(1))
}

// TestDeadlineEndsCallsThroughAPeer: the deadline of a request ends its exchange while the answer is
// read from a peer.
func TestDeadlineEndsCallsThroughAPeer(t *testing.T) {
	s := serveScript(t, func(s *scriptedRunner, _ int, conn net.Conn) {
		reader := bufio.NewReader(conn)
		for _, err := s.next(reader); err == nil; _, err = s.next(reader) {
			_, _ = io.WriteString(conn, "HTTP/1.1 102 Processing\r\n\r\n")
		}
	})
	w := startPathWorld(t)
	lose(&w.lost, syscall.ECONNREFUSED)
	for range 10 {
		ctx, cancel := context.WithTimeoutCause(t.Context(), 50*time.Millisecond, errDeadline)
		_, err := w.pool.Do(ctx, s.call("a"))
		cancel()
		assert.Equal(t, fault.OutcomeOf(err), fault.Unknown, "%v", err)
	}
}
