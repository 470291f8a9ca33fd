package node

import (
	"context"
	"math"
	"strings"
	"time"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/tenant"
	"lilacvane/internal/wire"
)

const (
	// spendTimeout bounds a spend request to a lender. A lender in another zone answers within
	// 5 ms, and takes longer only when its machine is at its limit.
	spendTimeout = 250 * time.Millisecond
	// lenderBackoff is how long a lender that did not answer is skipped. Network partitions last
	// for seconds, and each attempt would delay a request by spendTimeout.
	lenderBackoff = time.Second
	// maxLenderBackoff is the longest backoff. A machine that was killed or cut off is back within
	// some seconds or not at all.
	maxLenderBackoff = 8 * time.Second
)

// handleSpend spends on behalf of a node whose own share of a tenant's limit is too small.
func (l *limits) handleSpend(_ context.Context, request wire.SpendRequest) (wire.SpendResponse, error) {
	configuration := l.node.configuration.Load()
	if configuration == nil {
		return wire.SpendResponse{}, fault.New(fault.CodeNotReady, wire.MethodSpend, "no configuration is known yet")
	}
	t, known := configuration.Tenants.Find(request.Tenant)
	if !known || !(request.Cost >= 0) || math.IsInf(request.Cost, 1) {
		return wire.SpendResponse{}, fault.New(fault.CodeInvalid, wire.MethodSpend, "tenant %q, cost %g", request.Tenant, request.Cost)
	}
	return l.spendLocally(t, request), nil
}

// spendLocally spends from this node's share. For a probe, it only reports whether it could.
func (l *limits) spendLocally(t *tenant.Tenant, request wire.SpendRequest) wire.SpendResponse {
	if request.Probe {
		retryAfter := l.keeper.UntilEnough(t, request.Cost, request.Rank)
		return wire.SpendResponse{Spent: retryAfter == 0, InMs: retryAfter.Milliseconds(), Holds: l.keeper.Capacity(t)}
	}
	ok, retryAfter := l.keeper.Spend(t, request.Cost, request.Rank)
	return wire.SpendResponse{Spent: ok, InMs: retryAfter.Milliseconds(), Holds: l.keeper.Capacity(t)}
}

// RecordDemand records that a request of this cost was received.
func (l *limits) RecordDemand(t *tenant.Tenant, cost float64) {
	if t.Limit.Limited() {
		l.keeper.RecordDemand(t, cost)
	}
}

// Admit decides whether a request is within its tenant's limit. It spends from this node's share
// first and then asks the lenders.
func (l *limits) Admit(ctx context.Context, t *tenant.Tenant, cost float64, rank int) dispatch.Admission {
	if !t.Limit.Limited() || *l.service.Load() == "" {
		return dispatch.Admission{Verdict: dispatch.WithinLimit}
	}
	self := l.node.settings.Load().Node
	if l.keeper.SpendSmall(t, cost) {
		return dispatch.Admission{Verdict: dispatch.WithinLimit, By: self}
	}
	ok, retryAfter := l.keeper.Spend(t, cost, rank)
	if ok {
		return dispatch.Admission{Verdict: dispatch.WithinLimit, By: self}
	}
	admission := l.spendFromLenders(ctx, t, wire.SpendRequest{Tenant: t.Name, Cost: cost, Rank: rank}, retryAfter)
	if admission.Verdict == dispatch.WithinLimit || ctx.Err() != nil {
		// Spend nothing more for a client that has disconnected.
		return admission
	}
	ok, retryAfter = l.keeper.SpendReserve(t, cost)
	switch {
	case ok:
		return dispatch.Admission{Verdict: dispatch.WithinLimit, By: self}
	case !l.keeper.Fits(t, cost):
		return dispatch.Admission{Verdict: dispatch.TooLarge}
	case admission.Verdict == dispatch.LimitUnknown && retryAfter < limit.Never:
		return dispatch.Admission{Verdict: dispatch.OverLimit, RetryAfter: retryAfter}
	default:
		return admission
	}
}

// spendFromLenders lets another node spend. retryAfter is the time until this node's own share
// suffices.
func (l *limits) spendFromLenders(ctx context.Context, t *tenant.Tenant, request wire.SpendRequest, retryAfter time.Duration) dispatch.Admission {
	lenders, refusedFor := l.keeper.Lenders(t, request.Cost, request.Rank)
	if refusedFor > 0 {
		return dispatch.Admission{Verdict: dispatch.OverLimit, RetryAfter: min(retryAfter, refusedFor)}
	}
	var answered []answeredLender
	for _, lender := range lenders {
		response, ok := l.spendFromLender(ctx, t, lender, request)
		if !ok && ctx.Err() != nil {
			return dispatch.Admission{Verdict: dispatch.LimitUnknown}
		}
		if !ok {
			continue
		}
		if response.Spent {
			return dispatch.Admission{Verdict: dispatch.WithinLimit, By: lender}
		}
		answered = append(answered, answeredLender{address: lender, holds: response.Holds})
		retryAfter = min(retryAfter, time.Duration(response.InMs)*time.Millisecond)
	}
	switch {
	case len(answered) == 0:
		return dispatch.Admission{Verdict: dispatch.LimitUnknown}
	case retryAfter >= limit.Never:
		return l.spendAcrossLenders(ctx, t, answered, request)
	}
	l.keeper.Refused(t, request.Cost, request.Rank, retryAfter)
	return dispatch.Admission{Verdict: dispatch.OverLimit, RetryAfter: retryAfter}
}

// answeredLender is a lender that cannot spend now. holds is the most that it can ever spend at
// once.
type answeredLender struct {
	address string
	holds   float64
}

// spendAcrossLenders splits a cost that no single lender can ever cover, in proportion to what each
// lender holds, after a probe has shown that all of them can spend their part. If a later lender
// can no longer spend, what the earlier ones spent is lost.
func (l *limits) spendAcrossLenders(ctx context.Context, t *tenant.Tenant, lenders []answeredLender, request wire.SpendRequest) dispatch.Admission {
	total, sum := request.Cost, 0.0
	var addresses []string
	for _, lender := range lenders {
		sum += lender.holds
		addresses = append(addresses, lender.address)
	}
	if sum < total {
		// A lender is unreachable, or shares are being moved.
		return dispatch.Admission{Verdict: dispatch.LimitUnknown}
	}
	for _, probe := range []bool{true, false} {
		request.Probe = probe
		for _, lender := range lenders {
			request.Cost = total * lender.holds / sum
			response, ok := l.spendFromLender(ctx, t, lender.address, request)
			switch {
			case !ok:
				return dispatch.Admission{Verdict: dispatch.LimitUnknown}
			case !response.Spent:
				return dispatch.Admission{Verdict: dispatch.OverLimit, RetryAfter: min(time.Duration(response.InMs)*time.Millisecond, divideInterval)}
			}
		}
	}
	return dispatch.Admission{Verdict: dispatch.WithinLimit, By: strings.Join(addresses, ",")}
}

// spendFromLender sends a request to one lender, which may be this node. It returns false if the
// lender does not answer.
func (l *limits) spendFromLender(ctx context.Context, t *tenant.Tenant, lender string, request wire.SpendRequest) (response wire.SpendResponse, ok bool) {
	if lender == l.node.settings.Load().Listen.PeerAddress() {
		return l.spendLocally(t, request), true
	}
	if l.backoff.blocked(lender) {
		return response, false
	}
	callCtx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	if err := l.node.client.Call(callCtx, lender, wire.MethodSpend, request, &response); err != nil {
		if ctx.Err() != nil {
			// The client disconnected, which says nothing about the lender.
			l.log.V(1).Info("lender request canceled", "tenant", string(t.Name), "peer", lender, "error", err.Error())
			return response, false
		}
		l.backoff.recordFailure(lender)
		l.log.Info("lender did not answer", "tenant", string(t.Name), "peer", lender, "error", err.Error())
		return response, false
	}
	l.backoff.clear(lender)
	return response, true
}
