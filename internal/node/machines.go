package node

import (
	"context"

	"lilacvane/internal/machines"
	"lilacvane/internal/spread"
	"lilacvane/internal/wire"
)

// exchange is what the membership's probes carry of this node, and hear of
// others: the configuration by the spreader, the machine list by the node.
type exchange struct {
	*spread.Spreader
	node *Node
}

// MachinesVersion is this node's version of the machine list.
func (e *exchange) MachinesVersion() uint64 { return e.node.machines.Version() }

// NewerMachines reads what a peer's machine list has more, one read at a time.
func (e *exchange) NewerMachines(address string) {
	n := e.node
	if !n.pullingMachines.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pullingMachines.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
		defer cancel()
		n.readMachines(ctx, &peerMachines{node: n, address: address})
	}()
}

// peerMachines is another node's copy of the machine list.
type peerMachines struct {
	node    *Node
	address string
}

// ChangesSince asks the peer.
func (p *peerMachines) ChangesSince(ctx context.Context, version uint64) (machines.Changes, error) {
	var response wire.MachinesResponse
	err := p.node.client.Call(ctx, p.address, methodMachines, wire.MachinesRequest{Since: version}, &response)
	return response.Changes, err
}
