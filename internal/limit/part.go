// Package limit keeps limits that all nodes share: what a tenant may use over the whole
// fleet. It is pure: time is passed in, and messages and rows are carried by others.
//
// What a limit lets through in a window is divided in two (tenant.Limit.Budget). A token
// bucket is divided among nodes: each has a part of it, with that part of the rate and of
// the capacity, and spends from it without a word to anybody (Keeper). One node, the
// divider, moves parts to where requests arrive (Divider). What no node has so many
// requests for that a part of its own would be of use lies with a few nodes, the limit's
// lenders, which spend from it for the others. A reserve is divided evenly among all
// nodes, for small requests and for when a node reaches no lender: of its part a node
// spends, in any window, no more than the part.
//
// The parts of a limit that are in force never add up to more than the whole, so all
// nodes together spend, in any window, no more than the undivided bucket lets through:
// whoever is cut off, frozen, killed or started again, and whatever message or row is
// lost, late or told twice. For that, what a node may have in force is written to a
// row before the node is told; it is taken as less only when the node said that it
// has less, or has heard nothing for so long that it uses none (Lifetime). A process
// begins with no part and an empty bucket; a new divider may have the buckets of processes
// without a share begin with something, at most once in a window by the clock of the row's
// table (Record.StartedAt).
package limit

import (
	"time"

	"lilacvane/internal/tenant"
)

// Part is a part of a limit, of Whole.
type Part uint32

// Whole is all of a limit.
const Whole Part = 1 << 20

// Lifetime is how long a node uses its parts without a word of a divider. It outlasts an
// outage of the store of some seconds and the change of divider after it; for as long
// the part of a node that is gone for good is out of use.
const Lifetime = 20 * time.Second

// Version orders what dividers tell: it grows with each row that is written.
type Version uint64

// Share is a node's part of a tenant's limit.
type Share struct {
	Tenant tenant.Name `cbor:"1,keyasint"`
	Part   Part        `cbor:"2,keyasint,omitempty"`
	// Lenders are the addresses (ip:port for peers) of the nodes that spend for others.
	Lenders []string `cbor:"3,keyasint,omitempty"`
	// Near is how many of them lie in the node's region; these are the first.
	Near int `cbor:"4,keyasint,omitempty"`
}

// Grant is what a divider tells a node.
type Grant struct {
	Version Version `cbor:"1,keyasint"`
	// Shares are all of the node's; not set when Same is.
	Shares []Share `cbor:"2,keyasint,omitempty"`
	// Reserve is the node's part of each tenant's reserve.
	Reserve Part `cbor:"4,keyasint,omitempty"`
	// Same is set when the node has the shares of this version in force.
	Same bool `cbor:"3,keyasint,omitempty"`
	// Start is set when the shares' buckets begin with their part of tenant.Budget.Start.
	Start bool `cbor:"5,keyasint,omitempty"`
}

// Use is what was asked of a tenant's limit at a node, by so many requests.
type Use struct {
	Tenant   tenant.Name `cbor:"1,keyasint"`
	Cost     float64     `cbor:"2,keyasint"`
	Requests int         `cbor:"3,keyasint"`
}

// Report is what a node tells a divider.
type Report struct {
	Node string
	// Process tells two processes of one node apart.
	Process string
	// Address is where peers reach the node (ip:port).
	Address string
	// Region is where the node is; empty when it is not known.
	Region string
	// Spare is the part, 0 to 1, that the node's machine has of what one should have that
	// works for others.
	Spare float64
	// Version is that of the shares the node has in force.
	Version Version
	// Asked is what was asked since the node's last report.
	Asked []Use
}
