package node

import (
	"context"
	"time"

	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/operator"
	"lilacvane/internal/tenant"
	"lilacvane/internal/wire"
)

// handleDivision describes the division of limits to another node.
func (l *limits) handleDivision(context.Context, wire.Empty) (wire.DivisionResponse, error) {
	configuration := l.node.configuration.Load()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.divider == nil || configuration == nil {
		return wire.DivisionResponse{}, fault.New(fault.CodeNotHolder, wire.MethodDivision, "this node does not divide limits")
	}
	var response wire.DivisionResponse
	for _, t := range limitedTenants(configuration) {
		response.Tenants = append(response.Tenants, wire.TenantDivision{
			Tenant: t.Name, AskedPerSecond: l.divider.DemandRate(t.Name, time.Now()), Lenders: l.divider.Lenders(t.Name),
		})
	}
	return response, nil
}

// queryDivision queries the lease holder that divides limits.
func (l *limits) queryDivision(ctx context.Context) (wire.DivisionResponse, error) {
	control := l.node.controls.get(*l.service.Load())
	if control == nil {
		return wire.DivisionResponse{}, nil
	}
	if control.elector.Holds() {
		return l.handleDivision(ctx, wire.Empty{})
	}
	holder, known := control.elector.Holder()
	if !known {
		return wire.DivisionResponse{}, fault.New(fault.CodeNotHolder, wire.MethodDivision, "no holder is known")
	}
	var response wire.DivisionResponse
	err := l.node.client.Call(ctx, holder.Address, wire.MethodDivision, wire.Empty{}, &response)
	return response, err
}

// Tenants describes the active tenants, with this node's shares of their limits.
func (n *Node) Tenants(ctx context.Context) []operator.TenantStatus {
	list := []operator.TenantStatus{}
	configuration := n.configuration.Load()
	if configuration == nil {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	divided := make(map[tenant.Name]wire.TenantDivision)
	division, err := n.limits.queryDivision(ctx)
	if err != nil {
		n.log.V(1).Info("querying limit division failed", "error", err.Error())
	}
	for _, t := range division.Tenants {
		divided[t.Tenant] = t
	}
	shares := make(map[tenant.Name]limit.Status)
	for _, status := range n.limits.keeper.Statuses() {
		shares[status.Tenant] = status
	}
	for _, name := range configuration.Tenants.Names() {
		t, _ := configuration.Tenants.Find(name)
		list = append(list, operator.TenantStatus{
			Name: string(name), Priority: t.Priority, Keys: len(t.Keys), Unit: t.Limit.Unit.String(), Rate: t.Limit.Rate, Burst: t.Limit.Burst,
			AskedPerSecond: divided[name].AskedPerSecond, Lenders: divided[name].Lenders, Part: shares[name].Part, Level: shares[name].Level,
		})
	}
	return list
}
