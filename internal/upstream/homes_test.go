package upstream

import (
	"context"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/peer"
	"lilacvane/internal/place"
	"lilacvane/internal/reach"
	"lilacvane/internal/tunnel"
)

var north = place.NewHomes([]place.Region{"north"})

// startRegionPeers starts a pathWorld whose peers are in the given regions, one each; an empty one is not
// stated. The pool is told them only if told is set.
func startRegionPeers(t *testing.T, told bool, regions ...place.Region) *pathWorld {
	t.Helper()
	w := startPathWorld(t)
	var peers []tunnel.Peer
	var addresses []string
	for _, region := range regions {
		address := w.startPeer(t, region)
		peers, addresses = append(peers, tunnel.Peer{Address: address, Region: region}), append(addresses, address)
	}
	w.pool.Tunnels = tunnel.NewDialer(peer.NewClient("self", nil).Upgrade, func() []string { return addresses }, logr.Discard())
	if told {
		w.pool.Tunnels.SetPeers(peers)
	}
	return w
}

// atHome returns a call that may be passed on in the north only.
func (s *scriptedRunner) atHome(id string) Call {
	call := s.call(id)
	call.Homes = north
	return call
}

// via returns the region of the peer through which the pool keeps a connection to the runner; false if it
// keeps none through a peer.
func via(pool *Pool) (place.Region, bool) {
	for _, conn := range idleOf(pool, "r") {
		if conn.tunnel != nil {
			return conn.tunnel.Region, true
		}
	}
	return "", false
}

// breakPath makes the pool know that only peers reach the runner.
func (w *pathWorld) breakPath(t *testing.T, s *scriptedRunner, cause error) {
	t.Helper()
	lose(&w.lost, cause)
	call := s.call("break")
	call.Fresh = true
	_, err := exchange(w.pool, call)
	assert.NilError(t, err)
	for w.pool.Reach.Figures().Broken == 0 {
		time.Sleep(10 * time.Millisecond)
	}
}

// TestCallLeftItsHomesOnEachWay: a call went through a peer outside its homes, whichever way to the runner
// was expected to work. Peers are told or not, and state a region or none.
func TestCallLeftItsHomesOnEachWay(t *testing.T) {
	for name, cause := range map[string]error{"hangs": os.ErrDeadlineExceeded, "refused": syscall.ECONNREFUSED} {
		for _, told := range []bool{true, false} {
			for _, region := range []place.Region{"south", ""} {
				t.Run(name+" "+string(region), func(t *testing.T) {
					t.Parallel()
					s := serveAll(t, "whole")
					w := startRegionPeers(t, told, region)
					lose(&w.lost, cause)
					for range 8 {
						_, err := exchange(w.pool, s.atHome("a"))
						assert.Equal(t, fault.OutcomeOf(err), fault.NotDone, "%v", err)
					}
					assert.Equal(t, s.requests.Load(), int32(0))
					_, err := exchange(w.pool, s.call("b"))
					assert.NilError(t, err, "a call without homes is served")
				})
			}
		}
	}
}

// TestCallStaysHomeThroughAPeer: a call reaches its runner through a peer in its homes while other peers
// are asked as well.
func TestCallStaysHomeThroughAPeer(t *testing.T) {
	for _, told := range []bool{true, false} {
		s := serveAll(t, "whole")
		w := startRegionPeers(t, told, "south", "north", "south")
		lose(&w.lost, os.ErrDeadlineExceeded)
		for range 8 {
			call := s.atHome("a")
			call.Fresh = true
			answer, err := w.pool.Do(t.Context(), call)
			assert.NilError(t, err)
			assert.Equal(t, answer.conn.tunnel.Region, place.Region("north"))
			answer.Close()
		}
	}
}

// TestKeptConnectionLeftTheHomes: a connection through a peer that was opened for a call without homes
// carried one whose homes the peer is not in.
func TestKeptConnectionLeftTheHomes(t *testing.T) {
	s := serveAll(t, "whole")
	w := startRegionPeers(t, true, "south")
	w.breakPath(t, s, syscall.ECONNREFUSED)
	region, kept := via(w.pool)
	assert.Assert(t, kept)
	assert.Equal(t, region, place.Region("south"))
	before := s.requests.Load()
	_, err := exchange(w.pool, s.atHome("a"))
	assert.Assert(t, fault.IsCode(err, fault.CodeNoPathInHomes), "%v", err)
	assert.Equal(t, s.requests.Load(), before)
	_, err = exchange(w.pool, s.call("b"))
	assert.NilError(t, err)
	assert.Equal(t, w.carried.Load(), int32(1), "the kept connection is used")
}

// TestLostAttemptLeftTheHomes: the connection through a peer of an attempt that came too late was kept for
// the next call, whose homes the peer is not in.
func TestLostAttemptLeftTheHomes(t *testing.T) {
	s := serveAll(t, "whole")
	w := startRegionPeers(t, true, "south")
	runner := reach.Runner{Name: "r", Address: s.call("a").Address}
	late := make(chan dialing, 1)
	w.breakPath(t, s, syscall.ECONNREFUSED)
	conn, err := w.pool.dialPeer(t.Context(), runner, place.Homes{})
	late <- dialing{conn: conn, err: err}
	w.pool.keep(runner, late)
	for len(idleOf(w.pool, "r")) < 2 {
		time.Sleep(10 * time.Millisecond)
	}
	before := s.requests.Load()
	_, err = exchange(w.pool, s.atHome("c"))
	assert.Assert(t, fault.IsCode(err, fault.CodeNoPathInHomes), "%v", err)
	assert.Equal(t, s.requests.Load(), before)
}

// TestCallWithoutPathInItsHomesEndsAtOnce: while the node's own path is known to be broken and no peer in
// the homes is known, a call fails without an attempt to connect, and is sent once the path works again.
func TestCallWithoutPathInItsHomesEndsAtOnce(t *testing.T) {
	s := serveAll(t, "whole")
	w := startRegionPeers(t, true, "south")
	var attempts int
	dial := w.pool.Dial
	w.breakPath(t, s, syscall.ECONNREFUSED)
	w.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		attempts++
		return dial(ctx, network, address)
	}
	for range 5 {
		_, err := exchange(w.pool, s.atHome("a"))
		assert.Assert(t, fault.IsCode(err, fault.CodeNoPathInHomes), "%v", err)
	}
	assert.Equal(t, attempts, 0)
	w.pool.Dial = dial
	w.lost.Store(nil)
	runner := reach.Runner{Name: "r", Address: s.call("a").Address}
	w.pool.keep(runner, w.pool.dialAside(t.Context(), runner))
	for !w.keepsDirect() {
		time.Sleep(10 * time.Millisecond)
	}
	_, err := exchange(w.pool, s.atHome("b"))
	assert.NilError(t, err)
}

// TestPeersOutsideTheHomesSayNothingOfOthers: that the peers in the homes of a call do not reach a runner
// does not keep other calls from the peers that do.
func TestPeersOutsideTheHomesSayNothingOfOthers(t *testing.T) {
	s := serveAll(t, "whole")
	w := startRegionPeers(t, true, "south")
	w.breakPath(t, s, syscall.ECONNREFUSED)
	_, err := exchange(w.pool, s.atHome("a"))
	assert.Assert(t, err != nil)
	assert.Equal(t, w.pool.Reach.Way(reach.Runner{Name: "r"}), reach.ViaPeer)
}
