package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"lilacvane/internal/table"
	"lilacvane/internal/tenant"
)

// Record is the stored row that describes how limits are divided.
type Record struct {
	// Version is one more than that of the row it replaced.
	Version Version                   `cbor:"2,keyasint"`
	Tenants map[tenant.Name]*Division `cbor:"1,keyasint"`
	// FilledAt is when a divider last granted initial tokens, on the clock of the row's table.
	FilledAt time.Duration `cbor:"4,keyasint,omitempty"`
	// Reserve is how the reserve of each tenant is divided; the same for all tenants.
	Reserve Pool `cbor:"3,keyasint,omitempty"`
	// Epoch is the epoch of the store in which the record was written; zero if not known.
	Epoch table.Epoch `cbor:"5,keyasint,omitempty"`
	// unreadable is set if the row of the record could not be read.
	unreadable bool
}

// Division describes how one tenant's limit is divided.
type Division struct {
	// Lenders are the nodes that spend on behalf of others. LendersSince is the version from
	// which on they apply.
	Lenders      []Lender `cbor:"1,keyasint"`
	LendersSince Version  `cbor:"3,keyasint,omitempty"`
	// Nodes is how the bucket is divided.
	Nodes Pool `cbor:"2,keyasint"`
}

// Lender is a node that spends on behalf of others.
type Lender struct {
	Node string `cbor:"1,keyasint"`
	// Address is where peers reach the lender (ip:port).
	Address string `cbor:"2,keyasint"`
	// Region is the lender's region; empty if unknown.
	Region string `cbor:"3,keyasint,omitempty"`
}

// nearFirst lists the lenders' addresses, those in the given region first, and how many these
// are.
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

// NewRecord returns an empty record.
func NewRecord() *Record {
	return &Record{Tenants: make(map[tenant.Name]*Division), Reserve: make(Pool)}
}

// Check reports whether a record that was read is valid: no node is assigned more than its
// bound, the bounds of each pool add up to at most the whole, and later versions are greater.
func (r *Record) Check() bool {
	if r.Version > math.MaxInt64 {
		return false
	}
	for _, division := range r.Tenants {
		if division == nil || !division.Nodes.check() {
			return false
		}
	}
	return r.Tenants != nil && r.Reserve.check()
}

func (r *Record) clone() *Record {
	copied := &Record{Version: r.Version, Epoch: r.Epoch, FilledAt: r.FilledAt, Tenants: make(map[tenant.Name]*Division, len(r.Tenants)), Reserve: r.Reserve.clone()}
	for name, division := range r.Tenants {
		copied.Tenants[name] = &Division{Lenders: division.Lenders, LendersSince: division.LendersSince, Nodes: division.Nodes.clone()}
	}
	return copied
}

// division returns a tenant's division, creating it if needed.
func (r *Record) division(name tenant.Name) *Division {
	division := r.Tenants[name]
	if division == nil {
		division = &Division{Nodes: make(Pool)}
		r.Tenants[name] = division
	}
	return division
}

// changed returns the version that last changed any of a node's shares.
func (r *Record) changed(node string) Version {
	last := r.Reserve.at(node).Since
	for _, division := range r.Tenants {
		last = max(last, division.LendersSince, division.Nodes.at(node).Since)
	}
	return last
}

// shares lists the shares of a node in a region, sorted by tenant.
func (r *Record) shares(node, region string) []Share {
	shares := make([]Share, 0, len(r.Tenants))
	for name, division := range r.Tenants {
		share := Share{Tenant: name, Part: division.Nodes.at(node).Assigned}
		share.Lenders, share.Near = division.nearFirst(region)
		shares = append(shares, share)
	}
	slices.SortFunc(shares, func(a, b Share) int {
		return cmp.Compare(a.Tenant, b.Tenant)
	})
	return shares
}
