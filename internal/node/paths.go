package node

import (
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
		Connect: n.pool.DialRunner, Broken: n.pathBroken, AddressOf: n.runnerAddress, Carried: n.recordCarried, Log: n.log.Logger,
	})
	peer.HandleUpgrade(n.peers, wire.MethodTunnel, n.tunnels.Open)
	n.tunnelDialer = tunnel.NewDialer(n.client.Upgrade, n.relay.Peers, n.log.Logger)
	n.pool.Tunnels = n.tunnelDialer
}

// pathBroken reports whether this node is known not to reach a runner by itself.
func (n *Node) pathBroken(runner string) bool {
	_, broken := n.reach.BrokenSince(runner)
	return broken
}

// checkPath finds out whether this node reaches a runner by itself.
func (n *Node) checkPath(runner backend.Runner) {
	n.pool.Check(reach.Runner{Name: runner.Name(), Address: runner.Address})
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
func (n *Node) setTunnelPeers(addresses []string) {
	if len(addresses) > 0 {
		n.tunnelDialer.SetPeers(addresses)
	}
}
