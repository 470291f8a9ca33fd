package tunnel

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
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
	"lilacvane/internal/wire"
)

// testTimeout bounds each wait of these tests.
const testTimeout = 10 * time.Second

// carrier is a node that carries connections for others, with a runner behind it.
type carrier struct {
	*Server
	// full is set while the node has no room.
	full     atomic.Bool
	peers    *peer.Server
	address  string
	runner   net.Listener
	requests chan string
}

// startCarrier starts a node that reaches a runner; the test accepts the connections to it.
func startCarrier(t *testing.T) *carrier {
	t.Helper()
	runner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &carrier{peers: peer.NewServer("carrier", nil), runner: runner, requests: make(chan string, 10)}
	c.Server = NewServer(ServerOptions{
		Connect: func(ctx context.Context, _, address string) (net.Conn, error) {
			return link.Runner.Dial(ctx, "tcp", address)
		},
		Begin:         c.begin,
		Fails:         func(string) bool { return false },
		ReachesOthers: func(context.Context, string) bool { return true },
		AddressOf:     func(string) (string, bool) { return "", false },
		Carried:       func(request, _ string, _ peer.Caller) { c.requests <- request },
		Log:           logr.Discard(),
	})
	peer.HandleUpgrade(c.peers, wire.MethodTunnel, c.Open)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c.address = listener.Addr().String()
	go func() { _ = c.peers.Serve(listener) }()
	t.Cleanup(func() {
		_ = c.peers.Close()
		_ = runner.Close()
	})
	return c
}

func testDialer(peers ...string) *Dialer {
	return NewDialer(peer.NewClient("caller", nil).Upgrade, func() []string { return peers }, logr.Discard())
}

// begin admits a connection.
func (c *carrier) begin() (end func(), ok bool) { return func() {}, !c.full.Load() }

// connect returns both ends of a connection to the carrier's runner.
func (c *carrier) connect(t *testing.T) (near *Conn, far net.Conn) {
	t.Helper()
	near, err := testDialer(c.address).Dial(t.Context(), "r1", c.runner.Addr().String(), place.Homes{})
	assert.NilError(t, err)
	assert.Equal(t, near.Peer, c.address)
	far, err = c.runner.Accept()
	assert.NilError(t, err)
	for _, end := range []net.Conn{near, far} {
		assert.NilError(t, end.SetDeadline(time.Now().Add(testTimeout)))
	}
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// TestBytesArriveWhole: requests and answers larger than a frame arrive unchanged, the carrier
// learns the request's identifier, and the runner's close ends the answer.
func TestBytesArriveWhole(t *testing.T) {
	near, far := startAndConnect(t)
	request, answer := strings.Repeat("request ", 10_000), strings.Repeat("answer ", 10_000)
	go func() {
		near.Begin("id-1")
		_, _ = io.WriteString(near, request)
	}()
	received := make([]byte, len(request))
	_, err := io.ReadFull(far, received)
	assert.NilError(t, err)
	assert.Assert(t, string(received) == request)
	go func() {
		_, _ = io.WriteString(far, answer)
		_ = far.Close()
	}()
	content, err := io.ReadAll(near)
	assert.NilError(t, err)
	assert.Assert(t, string(content) == answer)
}

func startAndConnect(t *testing.T) (near *Conn, far net.Conn) {
	t.Helper()
	return startCarrier(t).connect(t)
}

// TestBrokenAnswerIsNotComplete: an answer without a length whose runner resets the connection,
// or whose carrier is gone, does not end like a complete one.
func TestBrokenAnswerIsNotComplete(t *testing.T) {
	for name, breakOff := range map[string]func(c *carrier, near *Conn, far net.Conn){
		"runner resets": func(_ *carrier, _ *Conn, far net.Conn) {
			_ = far.(*net.TCPConn).SetLinger(0)
			_ = far.Close()
		},
		"carrier is gone": func(c *carrier, _ *Conn, _ net.Conn) {
			c.mutex.Lock()
			defer c.mutex.Unlock()
			for open := range c.tunnels {
				_ = open.peer.Close()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := startCarrier(t)
			near, far := c.connect(t)
			near.Begin("id-1")
			_, err := io.WriteString(near, "request")
			assert.NilError(t, err)
			_, err = io.ReadFull(far, make([]byte, len("request")))
			assert.NilError(t, err)
			_, err = io.WriteString(far, "part")
			assert.NilError(t, err)
			_, err = io.ReadFull(near, make([]byte, len("part")))
			assert.NilError(t, err)
			breakOff(c, near, far)
			_, err = io.ReadAll(near)
			assert.Assert(t, err != nil, "the answer ended as if it were complete")
		})
	}
}

// TestLeavingReachesTheRunner: the runner sees its connection end as soon as the caller closes.
func TestLeavingReachesTheRunner(t *testing.T) {
	near, far := startAndConnect(t)
	near.Begin("id-1")
	_, err := io.WriteString(near, "request")
	assert.NilError(t, err)
	_, err = io.ReadFull(far, make([]byte, len("request")))
	assert.NilError(t, err)
	assert.NilError(t, near.Close())
	_, err = far.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
}

// TestStoppingCarrierFinishesExchanges: a carrier that stops waits for the exchange under way,
// accepts no connection, and refuses what begins afterwards, of which nothing reaches the runner.
func TestStoppingCarrierFinishesExchanges(t *testing.T) {
	c := startCarrier(t)
	near, far := c.connect(t)
	idle, idleFar := c.connect(t)
	near.Begin("id-1")
	_, err := io.WriteString(near, "request")
	assert.NilError(t, err)
	assert.Equal(t, <-c.requests, "id-1")
	stopped := make(chan struct{})
	go func() {
		c.Shutdown(t.Context())
		close(stopped)
	}()
	idle.Begin("id-2")
	for idle.Buffered() == 0 {
		_, err := idle.reader.Peek(1)
		assert.NilError(t, err)
	}
	_, err = io.WriteString(idle, "request")
	assert.NilError(t, err)
	_, err = idle.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, ErrRefused), "%v", err)
	assert.Assert(t, idle.Closing())
	assert.NilError(t, idle.Close())
	content, _ := io.ReadAll(idleFar)
	assert.Equal(t, len(content), 0)
	_, err = testDialer(c.address).Dial(t.Context(), "r1", c.runner.Addr().String(), place.Homes{})
	assert.Assert(t, fault.IsCode(err, fault.CodeDraining), "%v", err)
	select {
	case <-stopped:
		t.Fatal("stopped during an exchange")
	default:
	}
	_, err = io.WriteString(far, "answer")
	assert.NilError(t, err)
	_, err = io.ReadFull(near, make([]byte, len("answer")))
	assert.NilError(t, err)
	assert.NilError(t, near.Done())
	<-stopped
}

// TestUnreachedRunners: peers that answer that they do not reach a runner are believed, also
// that its address refuses connections; without an answer, nothing is known.
func TestUnreachedRunners(t *testing.T) {
	first, second := startCarrier(t), startCarrier(t)
	refusing := first.runner.Addr().String()
	assert.NilError(t, first.runner.Close())
	var unreached *UnreachedError
	_, err := testDialer(first.address, second.address).Dial(t.Context(), "r1", refusing, place.Homes{})
	assert.Assert(t, errors.As(err, &unreached), "%v", err)
	assert.Assert(t, unreached.Refused)
	first.options.ReachesOthers = func(context.Context, string) bool { return false }
	_, err = testDialer(first.address).Dial(t.Context(), "r1", refusing, place.Homes{})
	assert.Assert(t, errors.As(err, &unreached) && !unreached.Refused, "the peer may be cut off: %v", err)
	first.options.Fails = func(string) bool { return true }
	_, err = testDialer(first.address).Dial(t.Context(), "r1", refusing, place.Homes{})
	assert.Assert(t, errors.As(err, &unreached), "%v", err)
	assert.Assert(t, !unreached.Refused)
	_, err = testDialer(refusing).Dial(t.Context(), "r1", refusing, place.Homes{})
	assert.Assert(t, err != nil && !errors.As(err, &unreached), "%v", err)
	_, err = testDialer().Dial(t.Context(), "r1", refusing, place.Homes{})
	assert.Assert(t, errors.Is(err, ErrNoPeer), "%v", err)
}

// TestNodeEndedByConnectionThatNoPeerOpened: a context that had ended before a peer was asked gave neither
// a connection nor an error, and the node ended on its first write.
func TestNodeEndedByConnectionThatNoPeerOpened(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	conn, err := testDialer("127.0.0.1:1").Dial(ctx, "r1", "127.0.0.1:1", place.Homes{})
	assert.ErrorIs(t, err, context.Canceled)
	assert.Assert(t, conn == nil)
}

// TestOneWorkingPeerIsEnough: a peer that is gone, one of an older build, one that does not answer
// and one that does not reach the runner do not keep another one from being used.
func TestOneWorkingPeerIsEnough(t *testing.T) {
	working, cut := startCarrier(t), startCarrier(t)
	cut.options.Fails = func(string) bool { return true }
	older := peer.NewServer("older", nil)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = older.Serve(listener) }()
	defer older.Close()
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer mute.Close()
	gone, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, gone.Close())
	for name, other := range map[string]string{"older": listener.Addr().String(), "mute": mute.Addr().String(), "gone": gone.Addr().String(), "cut off": cut.address} {
		t.Run(name, func(t *testing.T) {
			dialer := testDialer(other, working.address)
			for number := range 10 {
				conn, err := dialer.Dial(t.Context(), strconv.Itoa(number), working.runner.Addr().String(), place.Homes{})
				assert.NilError(t, err)
				assert.NilError(t, conn.Close())
			}
			if name == "older" || name == "gone" {
				assert.Equal(t, dialer.order("new", place.Homes{})[0], working.address)
			}
		})
	}
}

// TestPeerThatReachedTheRunnerIsAskedFirst: each runner may be reached by other peers.
func TestPeerThatReachedTheRunnerIsAskedFirst(t *testing.T) {
	dialer := testDialer("a", "b", "c", "d")
	dialer.remember("r1", "c")
	dialer.avoid("r2", "c")
	dialer.avoid("r2", "d")
	for range 20 {
		assert.Equal(t, dialer.order("r1", place.Homes{})[0], "c")
		assert.Equal(t, dialer.order("r3", place.Homes{})[0], "c", "it reached another one")
		order := dialer.order("r2", place.Homes{})
		assert.Assert(t, order[0] != "c" && order[0] != "d", "%v", order)
	}
	dialer.avoid("r1", "c")
	assert.Equal(t, dialer.order("r1", place.Homes{})[3], "c")
	for number := range 2 * maxRemembered {
		dialer.remember(strconv.Itoa(number), "a")
		assert.Assert(t, len(dialer.reached) <= maxRemembered)
	}
}

// TestCarriedConnectionsAreBounded: beyond maxCarried connections, a peer is told so.
func TestCarriedConnectionsAreBounded(t *testing.T) {
	c := startCarrier(t)
	c.mutex.Lock()
	c.opening = maxCarried
	c.mutex.Unlock()
	_, err := testDialer(c.address).Dial(t.Context(), "r1", c.runner.Addr().String(), place.Homes{})
	assert.Assert(t, fault.IsCode(err, fault.CodeOverloaded), "%v", err)
}

// TestBusyNodeCarriedForAllOthers: a node without room opens no connection for a peer, and says so.
func TestBusyNodeCarriedForAllOthers(t *testing.T) {
	c := startCarrier(t)
	c.full.Store(true)
	_, err := testDialer(c.address).Dial(t.Context(), "r1", c.runner.Addr().String(), place.Homes{})
	assert.Assert(t, fault.IsCode(err, fault.CodeOverloaded), "%v", err)
	c.full.Store(false)
	c.connect(t)
}

// TestPeersThatEndedWereAskedByEveryRequest: a peer that refuses connections is asked once in a while.
func TestPeersThatEndedWereAskedByEveryRequest(t *testing.T) {
	asked := make(map[string]int)
	refuse := func(_ context.Context, address, _ string, _, _ any) (*peer.Upgraded, error) {
		asked[address]++
		return nil, fault.At(fault.CodeNotReady, wire.MethodTunnel, address, fault.NotDone, syscall.ECONNREFUSED)
	}
	d := NewDialer(refuse, func() []string { return []string{"1.1.1.1:1", "1.1.1.2:1"} }, logr.Discard())
	for range 3 {
		_, err := d.Dial(t.Context(), "r1", "1.1.1.9:1", place.Homes{})
		assert.Assert(t, err != nil)
	}
	assert.DeepEqual(t, asked, map[string]int{"1.1.1.1:1": 1, "1.1.1.2:1": 1})
}

// TestPeersOfOtherZonesAreAskedToo: of the peers that are asked, one is not among the nearest.
func TestPeersOfOtherZonesAreAskedToo(t *testing.T) {
	dialer := testDialer("near-1", "near-2", "near-3", "far-1", "far-2")
	for range 50 {
		order := dialer.order("r1", place.Homes{})
		assert.Equal(t, len(order), maxPeers)
		assert.Assert(t, strings.HasPrefix(order[0], "near"), "%v", order)
		assert.Assert(t, strings.HasPrefix(order[1], "far"), "%v", order)
	}
}

// TestLostPathGivesNoRefusal: a connection that times out is not told as a refused one.
func TestLostPathGivesNoRefusal(t *testing.T) {
	c := startCarrier(t)
	c.options.Connect = func(context.Context, string, string) (net.Conn, error) {
		return nil, &net.OpError{Op: "dial", Err: syscall.ETIMEDOUT}
	}
	var unreached *UnreachedError
	_, err := testDialer(c.address).Dial(t.Context(), "r1", c.runner.Addr().String(), place.Homes{})
	assert.Assert(t, errors.As(err, &unreached) && !unreached.Refused, "%v", err)
}

// FuzzReadFrame: whatever a peer sends, frames are read or rejected.
func FuzzReadFrame(f *testing.F) {
	f.Add(appendFrame(appendFrame(nil, frameBegin, []byte("id")), frameData, []byte("content")))
	f.Add([]byte{0, 0, 0})
	f.Add([]byte{byte(frameData), 255, 255, 1})
	f.Fuzz(func(t *testing.T, content []byte) {
		conn := newConn(&peer.Upgraded{Reader: bufio.NewReader(bytes.NewReader(content))}, "peer")
		read, err := io.Copy(io.Discard, conn)
		if read > int64(len(content)) {
			t.Fatalf("%d bytes read of %d", read, len(content))
		}
		if err == nil && !bytes.Contains(content, []byte{byte(frameEnd)}) {
			t.Fatal("ended without the frame for it")
		}
	})
}

// TestCutFrameEndedAnAnswer: a peer stops after any byte of its frames. Only a whole frame for the end of the runner's
// connection is that end, and bytes of an unfinished data frame are followed by an error.
func TestCutFrameEndedAnAnswer(t *testing.T) {
	whole := appendFrame(nil, frameData, []byte("HTTP/1.1 200 OK\r\n"))
	whole = appendFrame(whole, frameData, []byte("\r\nbody"))
	whole = appendFrame(whole, frameEnd, nil)
	for cut := range len(whole) {
		conn := newConn(&peer.Upgraded{Reader: bufio.NewReader(bytes.NewReader(whole[:cut]))}, "peer")
		_, err := io.ReadAll(conn)
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%d bytes of %d: %v", cut, len(whole), err)
		_, err = conn.Read(make([]byte, 1))
		assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%d bytes of %d, read again: %v", cut, len(whole), err)
	}
	content, err := io.ReadAll(newConn(&peer.Upgraded{Reader: bufio.NewReader(bytes.NewReader(whole))}, "peer"))
	assert.NilError(t, err)
	assert.Equal(t, string(content), "HTTP/1.1 200 OK\r\n\r\nbody")
}

// TestOddFramesEndedAnAnswer: frames that only clients send, of unknown types, or with content where there is none do not
// end the answer of a runner.
func TestOddFramesEndedAnAnswer(t *testing.T) {
	data := appendFrame(nil, frameData, []byte("part"))
	for name, frame := range map[string][]byte{
		"begin":            appendFrame(nil, frameBegin, []byte("id")),
		"done":             appendFrame(nil, frameDone, nil),
		"type 0":           {0, 0, 0},
		"type 255":         {255, 0, 0},
		"reset":            appendFrame(nil, frameReset, nil),
		"refused":          appendFrame(nil, frameRefused, nil),
		"end with content": appendFrame(nil, frameEnd, []byte("more")),
		"closing, cut":     appendFrame(nil, frameClosing, nil),
		"closing, content": appendFrame(appendFrame(nil, frameClosing, []byte{byte(frameEnd), 0, 0}), frameEnd, nil),
	} {
		t.Run(name, func(t *testing.T) {
			_, err := io.ReadAll(newConn(&peer.Upgraded{Reader: bufio.NewReader(bytes.NewReader(append(bytes.Clone(data), frame...)))}, "peer"))
			assert.Assert(t, err != nil)
		})
	}
}
