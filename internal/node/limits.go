package node

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/config"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/operator"
	"lilacvane/internal/peer"
	"lilacvane/internal/settings"
	"lilacvane/internal/table"
	"lilacvane/internal/tenant"
	"lilacvane/internal/wait"
	"lilacvane/internal/wire"
)

const (
	// divisionKey is the row that holds how limits are divided.
	divisionKey = "division"
	// divideInterval is how often parts are moved: a tenant that asks at other nodes than
	// before has its parts there within two of these, and goes by its lender till then.
	divideInterval = 700 * time.Millisecond
	// beginInterval is how often a node looks whether it is to divide limits: nobody knows
	// the lenders until it does.
	beginInterval = 100 * time.Millisecond
	// divideTimeout bounds a call to the store.
	divideTimeout = 800 * time.Millisecond
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

// limits are this node's part in the limits that all nodes share. The holder of one
// service's control lease divides them.
type limits struct {
	node    *Node
	keeper  *limit.Keeper
	rows    table.Table
	service atomic.Pointer[string]
	log     logr.Logger
	// mute are lenders that did not answer just now.
	mute *muted

	mutex sync.Mutex
	// divider is set while this node divides limits; revision is that of the row it works
	// on, and used by run alone.
	divider  *limit.Divider
	revision uint64
}

func newLimits(n *Node, s settings.Limits) *limits {
	l := &limits{node: n, keeper: limit.NewKeeper(tolerance(s), time.Now), rows: n.platform.Limits, log: n.log.Logger, mute: newMuted(mutePause, longestMute, time.Now)}
	none := ""
	l.service.Store(&none)
	peer.Handle(n.peers, wire.MethodSpend, l.spend)
	peer.Handle(n.peers, wire.MethodDivision, l.division)
	return l
}

func tolerance(s settings.Limits) tenant.Tolerance {
	return tenant.Tolerance{Window: s.Window, Share: s.Share, Slack: s.Slack}
}

// follow takes over a configuration: the first service of engines, by name, is the one
// whose holder divides limits.
func (l *limits) follow(configuration *config.Configuration) {
	first := ""
	for name, service := range configuration.Services {
		if service.Engine != nil && (first == "" || name < first) {
			first = name
		}
	}
	limited := limitedTenants(configuration)
	if len(limited) == 0 {
		first = ""
	} else if first == "" {
		l.log.Error(fault.New(fault.CodeInvalid, "divide limits", "no service of engines, whose holder would divide them"), "limits are not kept", "tenants", len(limited))
	}
	l.service.Store(&first)
	l.keeper.Forget(func(name tenant.Name) bool {
		_, known := configuration.Tenants.Find(name)
		return known
	})
}

// limitedTenants lists the tenants that have a limit.
func limitedTenants(configuration *config.Configuration) []*tenant.Tenant {
	var limited []*tenant.Tenant
	for _, name := range configuration.Tenants.Names() {
		if t, _ := configuration.Tenants.Find(name); t.Limit.Limited() {
			limited = append(limited, t)
		}
	}
	return limited
}

// of returns the part of the limits that travels with the demand of a service.
func (l *limits) of(service string) serviceLimits { return serviceLimits{limits: l, service: service} }

// serviceLimits are a node's reports on limits to the holder of one service.
type serviceLimits struct {
	limits  *limits
	service string
}

// Report returns what to tell; nil when another service's holder divides limits.
func (s serviceLimits) Report() *wire.LimitReport {
	if *s.limits.service.Load() != s.service {
		return nil
	}
	version, asked := s.limits.keeper.Report()
	return &wire.LimitReport{Process: s.limits.node.process, Version: version, Asked: asked}
}

// Undelivered takes back a report that got no answer.
func (s serviceLimits) Undelivered(report *wire.LimitReport) { s.limits.keeper.Restore(report.Asked) }

// Apply takes over the answer to a report sent then.
func (s serviceLimits) Apply(grant *limit.Grant, sent time.Time) { s.limits.keeper.Apply(*grant, sent) }

// divide answers a node's report; nil while this node does not divide.
func (l *limits) divide(report limit.Report) *limit.Grant {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.divider == nil {
		return nil
	}
	grant := l.divider.Report(report, time.Now())
	return &grant
}

// run divides limits whenever this node holds the lease, until ctx ends.
func (l *limits) run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := divideInterval
		err := l.step(ctx)
		switch {
		case err != nil:
			l.log.Info("limits not divided anew", "error", err.Error())
		case l.soon():
			pause = beginInterval
		}
		wait.For(ctx, pause)
	}
}

// soon reports whether the next step is due soon: nothing is divided yet, or nodes that
// were all started anew may be given something to begin with.
func (l *limits) soon() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.divider == nil || l.divider.Young(time.Now())
}

// step moves parts once.
func (l *limits) step(ctx context.Context) error {
	control := l.node.controls.get(*l.service.Load())
	if control == nil || !control.lessor.Acting() {
		l.mutex.Lock()
		l.divider = nil
		l.mutex.Unlock()
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, divideTimeout)
	defer cancel()
	if l.divider == nil {
		return l.begin(ctx)
	}
	l.mutex.Lock()
	next := l.divider.Next(limitedTenants(l.node.configuration.Load()), time.Now())
	l.mutex.Unlock()
	if next == nil {
		return nil
	}
	err := l.write(ctx, next)
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if err != nil {
		// Whether it was written is not known: the next step begins anew.
		l.divider = nil
		return err
	}
	l.divider.Confirmed()
	return nil
}

// begin reads the row and goes on from it once that was confirmed by a write.
func (l *limits) begin(ctx context.Context) error {
	record, readAt, err := l.read(ctx)
	if err != nil {
		return err
	}
	tolerance := tolerance(l.node.settings.Load().Limits)
	begun := limit.Begin(record)
	if err := l.write(ctx, begun); err != nil {
		return err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.divider = limit.NewDivider(begun, readAt, tolerance, time.Now())
	l.log.Info("division of limits begun", "version", begun.Version, "tenants", len(begun.Tenants))
	return nil
}

// read reads the row, an empty record when there is none, and tells when that was on the
// table's clock.
func (l *limits) read(ctx context.Context) (*limit.Record, time.Duration, error) {
	row, err := l.rows.Get(ctx, divisionKey)
	if err != nil {
		return nil, 0, err
	}
	record := limit.NewRecord()
	l.revision = row.Revision
	if row.Revision == 0 {
		return record, row.ReadAt, nil
	}
	if err := wire.Decode(row.Value, "store", record); err != nil {
		return nil, 0, err
	}
	if !record.Check() {
		return nil, 0, fault.New(fault.CodeInvalid, "read division of limits", "parts add up to more than the whole")
	}
	return record, row.ReadAt, nil
}

// write writes the row on condition that nobody else did.
func (l *limits) write(ctx context.Context, record *limit.Record) error {
	content, err := wire.Encode(record)
	if err != nil {
		return err
	}
	l.revision, err = l.rows.Commit(ctx, table.Transaction{
		Conditions: []table.Condition{{Key: divisionKey, Revision: l.revision}},
		Writes:     []table.Write{{Key: divisionKey, Value: content}},
	})
	return err
}

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
	if admission.Verdict == dispatch.Within {
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
	ctx, cancel := context.WithTimeout(ctx, spendTimeout)
	defer cancel()
	if err := l.node.client.Call(ctx, lender, wire.MethodSpend, request, &response); err != nil {
		l.mute.add(lender)
		l.log.Info("lender did not answer", "tenant", string(t.Name), "peer", lender, "error", err.Error())
		return response, false
	}
	l.mute.clear(lender)
	return response, true
}

// division answers the call of another node.
func (l *limits) division(context.Context, wire.Empty) (wire.DivisionResponse, error) {
	configuration := l.node.configuration.Load()
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.divider == nil || configuration == nil {
		return wire.DivisionResponse{}, fault.New(fault.CodeNotHolder, wire.MethodDivision, "this node does not divide limits")
	}
	var response wire.DivisionResponse
	for _, t := range limitedTenants(configuration) {
		response.Tenants = append(response.Tenants, wire.TenantDivision{
			Tenant: t.Name, AskedPerSecond: l.divider.Asked(t.Name, time.Now()), Lenders: l.divider.Lenders(t.Name),
		})
	}
	return response, nil
}

// askDivision asks the holder that divides limits.
func (l *limits) askDivision(ctx context.Context) (wire.DivisionResponse, error) {
	control := l.node.controls.get(*l.service.Load())
	if control == nil {
		return wire.DivisionResponse{}, nil
	}
	if control.lessor.Holds() {
		return l.division(ctx, wire.Empty{})
	}
	holder, known := control.lessor.Holder()
	if !known {
		return wire.DivisionResponse{}, fault.New(fault.CodeNotHolder, wire.MethodDivision, "no holder is known")
	}
	var response wire.DivisionResponse
	err := l.node.client.Call(ctx, holder.Address, wire.MethodDivision, wire.Empty{}, &response)
	return response, err
}

// Tenants describes the tenants in force, with this node's shares of their limits.
func (n *Node) Tenants(ctx context.Context) []operator.TenantStatus {
	list := []operator.TenantStatus{}
	configuration := n.configuration.Load()
	if configuration == nil {
		return list
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	divided := make(map[tenant.Name]wire.TenantDivision)
	division, err := n.limits.askDivision(ctx)
	if err != nil {
		n.log.V(1).Info("division of limits not asked", "error", err.Error())
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
