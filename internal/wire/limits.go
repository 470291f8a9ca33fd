package wire

import (
	"lilacvane/internal/limit"
	"lilacvane/internal/tenant"
)

// LimitReport is the part of a node report about the limits that all nodes share.
type LimitReport struct {
	// Process distinguishes successive processes of the node.
	Process string `cbor:"1,keyasint"`
	// Version is the version of the shares that the node has in force.
	Version limit.Version `cbor:"2,keyasint,omitempty"`
	// Asked is the demand on each tenant's limit since the last report.
	Asked []limit.Use `cbor:"3,keyasint,omitempty"`
}

// MethodSpend asks a lender of a tenant's limit to spend for a node whose own share is not
// sufficient.
const MethodSpend = "limits/spend"

// SpendRequest asks to spend the cost of one request.
type SpendRequest struct {
	Tenant tenant.Name `cbor:"1,keyasint"`
	Cost   float64     `cbor:"2,keyasint"`
	// Rank is the position of the request among those of its tenant; 0 is the most urgent.
	Rank int `cbor:"3,keyasint,omitempty"`
	// Probe asks whether the cost would be spent, without spending it.
	Probe bool `cbor:"4,keyasint,omitempty"`
}

// SpendResponse is the response of a lender.
type SpendResponse struct {
	// Spent is set when the request may run.
	Spent bool `cbor:"1,keyasint,omitempty"`
	// InMs is otherwise the time, in milliseconds, until the share of the lender holds the cost.
	InMs int64 `cbor:"2,keyasint,omitempty"`
	// Holds is the capacity of the lender's share: the most that it can ever hold.
	Holds float64 `cbor:"3,keyasint,omitempty"`
}

// MethodDivision asks the holder that divides limits for the demand on them.
const MethodDivision = "limits/division"

// DivisionResponse lists the tenants that have a limit.
type DivisionResponse struct {
	Tenants []TenantDivision `cbor:"1,keyasint,omitempty"`
}

// TenantDivision is the demand on the limit of a tenant and the nodes that lend it.
type TenantDivision struct {
	Tenant tenant.Name `cbor:"1,keyasint"`
	// AskedPerSecond is in the unit of the limit, smoothed over some seconds.
	AskedPerSecond float64  `cbor:"2,keyasint,omitempty"`
	Lenders        []string `cbor:"3,keyasint,omitempty"`
}
