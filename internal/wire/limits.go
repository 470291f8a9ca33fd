package wire

import (
	"lilacvane/internal/limit"
	"lilacvane/internal/tenant"
)

// LimitReport is what a node tells with its demand of the limits that all nodes share.
type LimitReport struct {
	// Process tells two processes of the node apart.
	Process string `cbor:"1,keyasint"`
	// Version is that of the shares the node has in force.
	Version limit.Version `cbor:"2,keyasint,omitempty"`
	// Asked is what was asked of each tenant's limit since the last report.
	Asked []limit.Use `cbor:"3,keyasint,omitempty"`
}

// MethodSpend asks a lender of a tenant's limit to spend for a node whose own share does
// not suffice.
const MethodSpend = "limits/spend"

// SpendRequest asks for the cost of one request.
type SpendRequest struct {
	Tenant tenant.Name `cbor:"1,keyasint"`
	Cost   float64     `cbor:"2,keyasint"`
	// Rank is the request's place among those of its tenant, 0 the most urgent.
	Rank int `cbor:"3,keyasint,omitempty"`
	// Probe asks whether it would be spent; nothing is.
	Probe bool `cbor:"4,keyasint,omitempty"`
}

// SpendResponse is the lender's answer.
type SpendResponse struct {
	// Spent is set when the request may run.
	Spent bool `cbor:"1,keyasint,omitempty"`
	// InMs is otherwise the time until the lender's share holds the cost, in
	// milliseconds.
	InMs int64 `cbor:"2,keyasint,omitempty"`
	// Holds is the most that the lender's share ever holds.
	Holds float64 `cbor:"3,keyasint,omitempty"`
}

// MethodDivision asks the holder that divides limits what is asked of them.
const MethodDivision = "limits/division"

// DivisionResponse lists the tenants with a limit.
type DivisionResponse struct {
	Tenants []TenantDivision `cbor:"1,keyasint,omitempty"`
}

// TenantDivision is what is asked of a tenant's limit and who lends it.
type TenantDivision struct {
	Tenant tenant.Name `cbor:"1,keyasint"`
	// AskedPerSecond is in the limit's unit, smoothed over some seconds.
	AskedPerSecond float64  `cbor:"2,keyasint,omitempty"`
	Lenders        []string `cbor:"3,keyasint,omitempty"`
}
