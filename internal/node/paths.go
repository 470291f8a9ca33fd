package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/peer"
	"lilacvane/internal/reach"
	"lilacvane/internal/tunnel"
	"lilacvane/internal/wire"
)

// initPaths makes runners that this node does not reach by itself reachable through peers, and
// carries the connections of peers that do not reach them.
func (n *Node) initPaths() {
	n.tunnels = tunnel.NewServer(tunnel.ServerOptions{
		Connect: n.pool.DialRunner, Fails: n.reach.Fails, ReachesOthers: n.pool.ReachesOthers, AddressOf: n.runnerAddress, Begin: n.beginTunnel, Carried: n.recordCarried, Log: n.log.Logger,
	})
	peer.HandleUpgrade(n.peers, wire.MethodTunnel, n.tunnels.Open)
	n.tunnelDialer = tunnel.NewDialer(n.client.Upgrade, n.relay.Peers, n.log.Logger)
	n.pool.Tunnels, n.pool.Others = n.tunnelDialer, n.otherRunners
}

// beginTunnel admits a connection to a runner that is opened for a peer.
func (n *Node) beginTunnel() (end func(), ok bool) {
	start, ok := n.load.Begin()
	return start.End, ok
}

// checkPath finds out whether this node reaches a runner by itself.
func (n *Node) checkPath(runner backend.Runner) {
	n.pool.Check(reach.Runner{Name: runner.Name(), Address: runner.Address})
}

// comparedRunners is how many other runners are tried to find out whether a refused connection is
// due to the path.
const comparedRunners = 2

// otherRunners returns a few runners other than the named one.
func (n *Node) otherRunners(name string) []reach.Runner {
	return n.fleet.Sample(comparedRunners, name)
}

const (
	// fitnessChecks is how many paths a node tries before it takes a control lease.
	fitnessChecks = 4
	// fitnessTimeout bounds that.
	fitnessTimeout = time.Second
)

// reachesRunners finds out whether this node reaches the runners of a service by itself.
func (n *Node) reachesRunners(ctx context.Context, service string) bool {
	ctx, cancel := context.WithTimeout(ctx, fitnessTimeout)
	defer cancel()
	runners := n.fleet.Runners(service)
	rand.Shuffle(len(runners), func(i, j int) { runners[i], runners[j] = runners[j], runners[i] })
	var checks sync.WaitGroup
	for _, runner := range runners[:min(fitnessChecks, len(runners))] {
		checks.Go(func() { n.checkPath(runner) })
	}
	done := make(chan struct{})
	go func() {
		checks.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	return !n.reach.CutOff()
}

// runnerAddress returns the address of a listed runner.
func (n *Node) runnerAddress(name string) (string, bool) {
	listed, known := n.fleet.Listed(name)
	return listed.Address, known
}

// recordCarried records a request that this node passes on to a runner for a peer.
func (n *Node) recordCarried(request, runner string, caller peer.Caller) {
	n.log.Info("request carried", "request", request, "runner", runner, "peer", string(caller))
	if request != "" {
		n.recordDecision("request/"+request, "carry request", "to runner "+runner+" for node "+string(caller))
	}
}

// setTunnelPeers replaces the nodes through which runners are reached, if any are named.
func (n *Node) setTunnelPeers(peers []tunnel.Peer) {
	if len(peers) > 0 {
		n.tunnelDialer.SetPeers(peers)
	}
}
