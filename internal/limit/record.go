package limit

import (
	"cmp"
	"slices"
	"time"

	"lilacvane/internal/tenant"
)

// Record is the row that holds how limits are divided.
type Record struct {
	// Version is one more than that of the row it replaced.
	Version Version                   `cbor:"2,keyasint"`
	Tenants map[tenant.Name]*Division `cbor:"1,keyasint"`
	// StartedAt is when a divider last let buckets begin with something, on the clock of the
	// row's table.
	StartedAt time.Duration `cbor:"4,keyasint,omitempty"`
	// Reserve is how the reserves of all tenants are divided.
	Reserve Pool `cbor:"3,keyasint,omitempty"`
}

// Division is how one tenant's limit is divided.
type Division struct {
	// Lenders are the nodes that spend for others, LendersSince the version from which on
	// nodes are told so.
	Lenders      []Lender `cbor:"1,keyasint"`
	LendersSince Version  `cbor:"3,keyasint,omitempty"`
	// Nodes is how the bucket is divided.
	Nodes Pool `cbor:"2,keyasint"`
}

// Lender is a node that spends for others.
type Lender struct {
	Node string `cbor:"1,keyasint"`
	// Address is where peers reach it (ip:port).
	Address string `cbor:"2,keyasint"`
	// Region is where it is; empty when it is not known.
	Region string `cbor:"3,keyasint,omitempty"`
}

// nearFirst lists the addresses of the lenders, those in a region first, and how many
// these are.
func (d *Division) nearFirst(region string) (addresses []string, near int) {
	var others []string
	for _, lender := range d.Lenders {
		if region == "" || lender.Region != region {
			others = append(others, lender.Address)
			continue
		}
		addresses = append(addresses, lender.Address)
	}
	return append(addresses, others...), len(addresses)
}

// lends reports whether a node is one of the lenders.
func (d *Division) lends(node string) bool {
	return slices.ContainsFunc(d.Lenders, func(l Lender) bool { return l.Node == node })
}

// NewRecord returns a record of nothing.
func NewRecord() *Record {
	return &Record{Tenants: make(map[tenant.Name]*Division), Reserve: make(Pool)}
}

// Check reports whether a record that was read keeps what it must: parts that do not
// add up to more than the whole.
func (r *Record) Check() bool {
	for _, division := range r.Tenants {
		if division == nil || !division.Nodes.check() {
			return false
		}
	}
	return r.Tenants != nil && r.Reserve.check()
}

func (r *Record) clone() *Record {
	copied := &Record{Version: r.Version, StartedAt: r.StartedAt, Tenants: make(map[tenant.Name]*Division, len(r.Tenants)), Reserve: r.Reserve.clone()}
	for name, division := range r.Tenants {
		copied.Tenants[name] = &Division{Lenders: division.Lenders, LendersSince: division.LendersSince, Nodes: division.Nodes.clone()}
	}
	return copied
}

// division returns a tenant's division.
func (r *Record) division(name tenant.Name) *Division {
	division := r.Tenants[name]
	if division == nil {
		division = &Division{Nodes: make(Pool)}
		r.Tenants[name] = division
	}
	return division
}

// changed is the version from which on a node's shares are what they are.
func (r *Record) changed(node string) Version {
	last := r.Reserve.at(node).Since
	for _, division := range r.Tenants {
		last = max(last, division.LendersSince, division.Nodes.at(node).Since)
	}
	return last
}

// shares lists what a node in a region is to have, by tenant.
func (r *Record) shares(node, region string) []Share {
	shares := make([]Share, 0, len(r.Tenants))
	for name, division := range r.Tenants {
		share := Share{Tenant: name, Part: division.Nodes.at(node).Told}
		share.Lenders, share.Near = division.nearFirst(region)
		shares = append(shares, share)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Compare(a.Tenant, b.Tenant)
	})
	return shares
}
