package node

import (
	"syscall"

	"lilacvane/internal/inbound"
	"lilacvane/internal/link"
	"lilacvane/internal/memory"
	"lilacvane/internal/settings"
)

const (
	// peerShare is the part of the memory for requests that is kept for the messages of other nodes, so that
	// clients cannot keep them out.
	peerShare = 0.25
	// connectionCost is the memory of an open connection and its buffers, requestCost that of a request that is
	// processed, without its head and body.
	connectionCost memory.Bytes = 8 << 10
	requestCost    memory.Bytes = 24 << 10
	// bytesPerMB converts megabytes.
	bytesPerMB = 1e6
)

// initMemory divides the machine's memory.
func (n *Node) initMemory(capacity settings.Capacity) {
	total := settings.RequestMB(memoryMB(capacity)) * bytesPerMB
	costs := inbound.Costs{Connection: connectionCost, Request: requestCost, Unread: link.ClientReceiveBuffer}
	n.guard = inbound.NewGuard(memory.NewBudget(memory.Bytes(total*(1-peerShare))), costs, n.log.Logger)
	// The connections and calls of other nodes grow with the fleet, and are a part of what a node needs for itself.
	n.peerGuard = inbound.NewGuard(memory.NewBudget(memory.Bytes(total*peerShare)), inbound.Costs{}, n.log.Logger)
}

// HeapLimit returns the size of the heap, in bytes, beyond which the collector is to run more often.
func HeapLimit(capacity settings.Capacity) int64 {
	return int64(settings.HeapMB(memoryMB(capacity)) * bytesPerMB)
}

// memoryMB returns the memory that the process may take, in megabytes: that of the machine if the settings do not
// name any.
func memoryMB(capacity settings.Capacity) float64 {
	if capacity.MemoryMB > 0 {
		return capacity.MemoryMB
	}
	var machine syscall.Sysinfo_t
	if syscall.Sysinfo(&machine) != nil {
		return settings.MinMemoryMB
	}
	return float64(machine.Totalram) * float64(machine.Unit) / bytesPerMB
}
