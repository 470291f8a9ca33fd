package node

import (
	"math"
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
	// clientFiles is the part of the descriptors that connections of clients may take; the rest is for connections to
	// runners, other nodes and the store.
	clientFiles = 0.75
	// bytesPerMB converts megabytes.
	bytesPerMB = 1e6
)

// initMemory divides the machine's memory.
func (n *Node) initMemory(capacity settings.Capacity) {
	total := settings.RequestMB(memoryMB(capacity)) * bytesPerMB
	costs := inbound.Costs{Connection: connectionCost, Request: requestCost, Unread: link.ClientReceiveBuffer}
	n.guard = inbound.NewGuard(memory.NewBudget(memory.Bytes(total*(1-peerShare)), int(clientFiles*float64(maxFiles(capacity)))), costs, n.log.Logger)
	// The connections and calls of other nodes grow with the fleet, and are a part of what a node needs for itself.
	n.peerGuard = inbound.NewGuard(memory.NewBudget(memory.Bytes(total*peerShare), 0), inbound.Costs{}, n.log.Logger)
}

// HeapLimit returns the size of the heap, in bytes, beyond which the collector is to run more often.
func HeapLimit(capacity settings.Capacity) int64 {
	return int64(settings.HeapMB(memoryMB(capacity)) * bytesPerMB)
}

// maxFiles returns how many descriptors the process may have open: those that its limit allows if the settings name
// no number, and zero if that is not known.
func maxFiles(capacity settings.Capacity) int {
	var limit syscall.Rlimit
	if capacity.Files > 0 {
		return capacity.Files
	}
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return 0
	}
	return int(min(limit.Cur, math.MaxInt32))
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
