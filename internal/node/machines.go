package node

import (
	"context"

	"lilacvane/internal/machines"
	"lilacvane/internal/wire"
)

// machineSource reads the machine list for this node: from the platform if the
// node is one of its zone's feeders, else from a feeder, so that the platform's
// load does not grow with the fleet.
type machineSource struct {
	node     *Node
	platform machines.Source
}

// ChangesSince returns what changed after a version.
func (s *machineSource) ChangesSince(ctx context.Context, version uint64) (machines.Changes, error) {
	self := s.node.membership.Self().Node
	for _, feeder := range s.node.spread.Feeders() {
		if feeder == self {
			break
		}
		changes, err := s.ask(ctx, feeder, version)
		if err == nil {
			return changes, nil
		}
	}
	return s.platform.ChangesSince(ctx, version)
}

func (s *machineSource) ask(ctx context.Context, feeder string, version uint64) (machines.Changes, error) {
	member, _ := s.node.membership.Get(feeder)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var response wire.MachinesResponse
	err := s.node.client.Call(ctx, member.Address, methodMachines, wire.MachinesRequest{Since: version}, &response)
	return response.Changes, err
}
