package limit

import (
	"cmp"
	"slices"

	"lilacvane/internal/tenant"
)

// Record is the row that holds how limits are divided.
type Record struct {
	// Version is one more than that of the row it replaced.
	Version Version                   `cbor:"2,keyasint"`
	Tenants map[tenant.Name]*Division `cbor:"1,keyasint"`
}

// Division is how one tenant's limit is divided.
type Division struct {
	// Lenders are the nodes that spend for others, LendersSince the version from which on
	// nodes are told so.
	Lenders      []Lender          `cbor:"1,keyasint"`
	LendersSince Version           `cbor:"3,keyasint,omitempty"`
	Nodes        map[string]*Entry `cbor:"2,keyasint"`
}

// Lender is a node that spends for others.
type Lender struct {
	Node string `cbor:"1,keyasint"`
	// Address is where peers reach it (ip:port).
	Address string `cbor:"2,keyasint"`
}

// lends reports whether a node is one of the lenders.
func (d *Division) lends(node string) bool {
	return slices.ContainsFunc(d.Lenders, func(l Lender) bool { return l.Node == node })
}

// Entry is one node's part.
type Entry struct {
	// Bound is the most that the node may have in force, Told what it is to have.
	Bound Part `cbor:"1,keyasint"`
	Told  Part `cbor:"2,keyasint,omitempty"`
	// Since is the version from which on it is told so.
	Since Version `cbor:"3,keyasint,omitempty"`
}

// NewRecord returns a record of nothing.
func NewRecord() *Record { return &Record{Tenants: make(map[tenant.Name]*Division)} }

// Check reports whether a record that was read keeps what it must: parts that do not
// add up to more than the whole.
func (r *Record) Check() bool {
	for _, division := range r.Tenants {
		if division == nil || division.sum() > int64(Whole) {
			return false
		}
		for _, entry := range division.Nodes {
			if entry == nil || entry.Told > entry.Bound {
				return false
			}
		}
	}
	return r.Tenants != nil
}

func (d *Division) sum() int64 {
	sum := int64(0)
	for _, entry := range d.Nodes {
		if entry != nil {
			sum += int64(entry.Bound)
		}
	}
	return sum
}

func (r *Record) clone() *Record {
	copied := NewRecord()
	copied.Version = r.Version
	for name, division := range r.Tenants {
		target := &Division{Lenders: division.Lenders, LendersSince: division.LendersSince, Nodes: make(map[string]*Entry, len(division.Nodes))}
		for node, entry := range division.Nodes {
			own := *entry
			target.Nodes[node] = &own
		}
		copied.Tenants[name] = target
	}
	return copied
}

// division returns a tenant's division.
func (r *Record) division(name tenant.Name) *Division {
	division := r.Tenants[name]
	if division == nil {
		division = &Division{Nodes: make(map[string]*Entry)}
		r.Tenants[name] = division
	}
	return division
}

// node returns a node's entry.
func (d *Division) node(name string) *Entry {
	entry := d.Nodes[name]
	if entry == nil {
		entry = &Entry{}
		d.Nodes[name] = entry
	}
	return entry
}

// changed is the version from which on a node's shares are what they are.
func (r *Record) changed(node string) Version {
	last := Version(0)
	for _, division := range r.Tenants {
		last = max(last, division.LendersSince)
		if entry := division.Nodes[node]; entry != nil {
			last = max(last, entry.Since)
		}
	}
	return last
}

// shares lists what a node is to have, by tenant.
func (r *Record) shares(node string) []Share {
	shares := make([]Share, 0, len(r.Tenants))
	for name, division := range r.Tenants {
		share := Share{Tenant: name}
		for _, lender := range division.Lenders {
			share.Lenders = append(share.Lenders, lender.Address)
		}
		if entry := division.Nodes[node]; entry != nil {
			share.Part = entry.Told
		}
		shares = append(shares, share)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Compare(a.Tenant, b.Tenant)
	})
	return shares
}
