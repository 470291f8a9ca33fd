// Package ledger accounts for the memory of one runner. Memory is reserved
// before a load is ordered and released only when the runner confirmed that the
// unit is gone, never because time passed.
package ledger

import (
	"lilacvane/internal/fault"
)

// Ledger is the account of one runner. It is not safe for concurrent use; the
// runner's owner holds its lock around it.
type Ledger struct {
	capacity int64
	reserved map[string]int64
}

// New returns an empty ledger for a runner with capacity MiB.
func New(capacityMiB int64) *Ledger {
	return &Ledger{capacity: capacityMiB, reserved: make(map[string]int64)}
}

// Reserve sets memory aside for a unit. Reserving again for the same unit keeps
// the larger amount.
func (l *Ledger) Reserve(unit string, memoryMiB int64) error {
	additional := memoryMiB - l.reserved[unit]
	if additional <= 0 {
		return nil
	}
	if additional > l.Free() {
		return fault.New(fault.CodeMemory, "reserve memory", "%s needs %d MiB more, %d MiB are free", unit, additional, l.Free())
	}
	l.reserved[unit] = memoryMiB
	return nil
}

// Confirm sets the account to what the runner reported after a barrier: amounts
// by unit for everything that takes memory.
func (l *Ledger) Confirm(reported map[string]int64) {
	l.reserved = make(map[string]int64, len(reported))
	for unit, memory := range reported {
		l.reserved[unit] = memory
	}
}

// Release frees a unit's memory after the runner confirmed that it is gone.
func (l *Ledger) Release(unit string) { delete(l.reserved, unit) }

// Holds reports whether memory is set aside for the unit.
func (l *Ledger) Holds(unit string) bool {
	_, held := l.reserved[unit]
	return held
}

// Reserved returns the memory set aside in MiB.
func (l *Ledger) Reserved() int64 {
	var total int64
	for _, memory := range l.reserved {
		total += memory
	}
	return total
}

// Free returns the memory left in MiB. It may be negative when a runner reports
// more than its size.
func (l *Ledger) Free() int64 { return l.capacity - l.Reserved() }

// Capacity returns the runner's memory in MiB.
func (l *Ledger) Capacity() int64 { return l.capacity }
