// Package limit enforces limits that all nodes share: what a tenant may use across the whole
// fleet. It does no I/O: the caller passes in the time and carries messages and rows.
//
// What a limit admits in a window has two components (tenant.Limit.Budget). The first is a token
// bucket that is divided among nodes: each has a part of it, with that fraction of the rate and
// of the capacity, and spends from it without communication (Keeper). One node, the divider,
// moves parts to where requests arrive (Divider). What remains, because no node has enough
// requests to make use of a part of its own, is held by a few nodes, the limit's lenders, which
// spend from it on behalf of the others. The second is a reserve that is divided evenly among
// all nodes, for small requests and for when a node reaches no lender. In any window a node
// spends at most its part of the reserve.
//
// The parts of a limit that are in force never add up to more than the whole, so all nodes
// together spend, in any window, no more than the undivided bucket would admit. This holds
// whichever nodes are cut off, paused, killed or restarted, and whichever messages or rows are
// lost, delayed or duplicated. To ensure it, what a node may have in force is written to a row
// before it is granted to the node. It is reduced only once the node confirmed that it has less,
// or once no divider has answered the node for so long that its parts have expired (Lifetime). A
// process starts with no parts and empty buckets. A new divider may grant initial tokens to the
// buckets of processes without shares, at most once per window by the clock of the row's table
// (Record.FilledAt).
package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

// Part is a fraction of a limit, in units of 1/Whole.
type Part uint32

// Whole is the entire limit.
const Whole Part = 1 << 20

// Lifetime is how long a node uses its parts without an answer from a divider. It outlasts a
// store outage of some seconds and the change of divider that follows. For as long, the part of
// a node that is gone for good stays unused.
const Lifetime = 20 * time.Second

// Version orders the rows that dividers write and the grants that follow from them: it grows
// with each row.
type Version uint64

// Share is a node's part of a tenant's limit.
type Share struct {
	Tenant tenant.Name `cbor:"1,keyasint"`
	Part   Part        `cbor:"2,keyasint,omitempty"`
	// Lenders are the addresses (ip:port for peers) of the nodes that spend on behalf of others.
	Lenders []string `cbor:"3,keyasint,omitempty"`
	// Near is how many of the lenders are in the node's region; they come first.
	Near int `cbor:"4,keyasint,omitempty"`
}

// Grant is a divider's answer to a node's report.
type Grant struct {
	Version Version `cbor:"1,keyasint"`
	// Shares are all of the node's shares; not set if Unchanged is set.
	Shares []Share `cbor:"2,keyasint,omitempty"`
	// Reserve is the node's part of each tenant's reserve.
	Reserve Part `cbor:"4,keyasint,omitempty"`
	// Unchanged is set if the node already has the shares of this version in force.
	Unchanged bool `cbor:"3,keyasint,omitempty"`
	// FillInitially is set if the buckets of the shares get their part of the initial tokens
	// (tenant.Budget.Start).
	FillInitially bool `cbor:"5,keyasint,omitempty"`
}

// Use is the demand for a tenant's limit at a node: the total cost and the number of requests.
type Use struct {
	Tenant   tenant.Name `cbor:"1,keyasint"`
	Cost     float64     `cbor:"2,keyasint"`
	Requests int         `cbor:"3,keyasint"`
}

// Report is what a node sends to the divider.
type Report struct {
	Node string
	// Process distinguishes successive processes of one node.
	Process string
	// Address is where peers reach the node (ip:port).
	Address string
	// Region is the node's region; empty if unknown.
	Region string
	// Spare is the node's spare capacity, 0 to 1, relative to what a machine that serves other
	// nodes should have.
	Spare float64
	// Version is the version of the shares that the node has in force.
	Version Version
	// Asked is the demand since the node's last report.
	Asked []Use
}
