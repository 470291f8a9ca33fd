package node

import (
	"context"
	"strings"
	"time"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/tenant"
	"lilacvane/internal/wire"
)

const (
	// spendTimeout bounds the question to a lender: it answers within 5 ms in another
	// zone, and later only when its machine is at its limit.
	spendTimeout = 250 * time.Millisecond
	// mutePause is how long a lender that did not answer is not asked: a cut lasts for
	// seconds, and each question would hold a request for spendTimeout.
	mutePause = time.Second
	// longestMute is the longest such pause: a machine that was killed or cut off is back
	// within some seconds, or not at all.
	longestMute = 8 * time.Second
)

// spend answers a node whose own share does not suffice.
func (l *limits) spend(_ context.Context, request wire.SpendRequest) (wire.SpendResponse, error) {
	configuration := l.node.configuration.Load()
	if configuration == nil {
		return wire.SpendResponse{}, fault.New(fault.CodeNotReady, wire.MethodSpend, "no configuration is known yet")
	}
	t, known := configuration.Tenants.Find(request.Tenant)
	if !known || request.Cost < 0 {
		return wire.SpendResponse{}, fault.New(fault.CodeInvalid, wire.MethodSpend, "tenant %q, cost %g", request.Tenant, request.Cost)
	}
	return l.spendHere(t, request), nil
}

// spendHere spends from this node's share, or tells whether it would.
func (l *limits) spendHere(t *tenant.Tenant, request wire.SpendRequest) wire.SpendResponse {
	if request.Probe {
		in := l.keeper.UntilEnough(t, request.Cost, request.Rank)
		return wire.SpendResponse{Spent: in == 0, InMs: in.Milliseconds(), Holds: l.keeper.Holds(t)}
	}
	ok, in := l.keeper.Spend(t, request.Cost, request.Rank)
	return wire.SpendResponse{Spent: ok, InMs: in.Milliseconds(), Holds: l.keeper.Holds(t)}
}

// Ask notes that a request of the cost was asked for.
func (l *limits) Ask(t *tenant.Tenant, cost float64) {
	if t.Limit.Limited() {
		l.keeper.Ask(t, cost)
	}
}

// Admit decides whether a request is within its tenant's limit: by this node's share, or
// else by the lender's.
func (l *limits) Admit(ctx context.Context, t *tenant.Tenant, cost float64, rank int) dispatch.Admission {
	if !t.Limit.Limited() || *l.service.Load() == "" {
		return dispatch.Admission{Verdict: dispatch.Within}
	}
	self := l.node.settings.Load().Node
	if l.keeper.SpendSmall(t, cost) {
		return dispatch.Admission{Verdict: dispatch.Within, By: self}
	}
	ok, in := l.keeper.Spend(t, cost, rank)
	if ok {
		return dispatch.Admission{Verdict: dispatch.Within, By: self}
	}
	admission := l.askLenders(ctx, t, wire.SpendRequest{Tenant: t.Name, Cost: cost, Rank: rank}, in)
	if admission.Verdict == dispatch.Within || ctx.Err() != nil {
		// For a client that left nothing more is spent.
		return admission
	}
	ok, in = l.keeper.SpendReserve(t, cost)
	switch {
	case ok:
		return dispatch.Admission{Verdict: dispatch.Within, By: self}
	case !l.keeper.Fits(t, cost):
		return dispatch.Admission{Verdict: dispatch.TooLarge}
	case admission.Verdict == dispatch.NotKnown && in < limit.Never:
		return dispatch.Admission{Verdict: dispatch.Over, In: in}
	default:
		return admission
	}
}

// askLenders lets another node spend; in is when this node's own share would suffice.
func (l *limits) askLenders(ctx context.Context, t *tenant.Tenant, request wire.SpendRequest, in time.Duration) dispatch.Admission {
	lenders, dry := l.keeper.Lenders(t, request.Cost, request.Rank)
	if dry > 0 {
		return dispatch.Admission{Verdict: dispatch.Over, In: min(in, dry)}
	}
	var answered []answeredLender
	for _, lender := range lenders {
		response, ok := l.askLender(ctx, t, lender, request)
		if !ok && ctx.Err() != nil {
			return dispatch.Admission{Verdict: dispatch.NotKnown}
		}
		if !ok {
			continue
		}
		if response.Spent {
			return dispatch.Admission{Verdict: dispatch.Within, By: lender}
		}
		answered = append(answered, answeredLender{address: lender, holds: response.Holds})
		in = min(in, time.Duration(response.InMs)*time.Millisecond)
	}
	switch {
	case len(answered) == 0:
		return dispatch.Admission{Verdict: dispatch.NotKnown}
	case in >= limit.Never:
		return l.askTogether(ctx, t, answered, request)
	}
	l.keeper.Refused(t, request.Cost, request.Rank, in)
	return dispatch.Admission{Verdict: dispatch.Over, In: in}
}

// answeredLender is a lender that cannot spend now, and the most it ever can at once.
type answeredLender struct {
	address string
	holds   float64
}

// askTogether lets several lenders spend what none of them can ever spend alone, each by
// what it holds, once all say that they can. What the first ones spent is lost when a later
// one cannot any more.
func (l *limits) askTogether(ctx context.Context, t *tenant.Tenant, lenders []answeredLender, request wire.SpendRequest) dispatch.Admission {
	whole, sum := request.Cost, 0.0
	var addresses []string
	for _, lender := range lenders {
		sum += lender.holds
		addresses = append(addresses, lender.address)
	}
	if sum < whole {
		// A lender is not heard, or parts are being moved.
		return dispatch.Admission{Verdict: dispatch.NotKnown}
	}
	for _, probe := range []bool{true, false} {
		request.Probe = probe
		for _, lender := range lenders {
			request.Cost = whole * lender.holds / sum
			response, ok := l.askLender(ctx, t, lender.address, request)
			switch {
			case !ok:
				return dispatch.Admission{Verdict: dispatch.NotKnown}
			case !response.Spent:
				return dispatch.Admission{Verdict: dispatch.Over, In: min(time.Duration(response.InMs)*time.Millisecond, divideInterval)}
			}
		}
	}
	return dispatch.Admission{Verdict: dispatch.Within, By: strings.Join(addresses, ",")}
}

// askLender asks one lender, which may be this node; false when it does not answer.
func (l *limits) askLender(ctx context.Context, t *tenant.Tenant, lender string, request wire.SpendRequest) (response wire.SpendResponse, ok bool) {
	if lender == l.node.settings.Load().Listen.PeerAddress() {
		return l.spendHere(t, request), true
	}
	if l.mute.holds(lender) {
		return response, false
	}
	asking, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	if err := l.node.client.Call(asking, lender, wire.MethodSpend, request, &response); err != nil {
		if ctx.Err() != nil {
			// The client left, which says nothing about the lender.
			l.log.V(1).Info("question to a lender ended", "tenant", string(t.Name), "peer", lender, "error", err.Error())
			return response, false
		}
		l.mute.add(lender)
		l.log.Info("lender did not answer", "tenant", string(t.Name), "peer", lender, "error", err.Error())
		return response, false
	}
	l.mute.clear(lender)
	return response, true
}
