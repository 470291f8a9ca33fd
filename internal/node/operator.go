package node

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commit"
	"lilacvane/internal/config"
	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
	"lilacvane/internal/operator"
	"lilacvane/internal/peer"
	"lilacvane/internal/stop"
	"lilacvane/internal/wire"
)

const (
	// queryTimeout bounds a query to another node.
	queryTimeout = 2 * time.Second
	// trimTimeout bounds trimming the object log after a change.
	trimTimeout = 2 * time.Second
	// claimSweepInterval is how often a lease holder looks for old claims.
	claimSweepInterval = 10 * time.Minute
	sweepTimeout       = 2 * time.Second
)

func (n *Node) registerHandlers() {
	peer.Handle(n.peers, wire.MethodExplain, func(_ context.Context, request wire.ExplainRequest) (wire.ExplainResponse, error) {
		return wire.ExplainResponse{Decisions: n.decisions.Find(request.Subject, request.Limit)}, nil
	})
}

// recordDecision keeps a decision for operators' queries.
func (n *Node) recordDecision(subject, step, reason string) {
	n.decisions.Add(wire.Decision{Subject: subject, Step: step, Reason: reason, Revision: n.catalog.Revision()})
}

// observe counts a completed request and records its outcome.
func (n *Node) observe(id string, o dispatch.Outcome) {
	n.metrics.Observe(o)
	if o.Stop != nil && o.Stop.Cut {
		n.cut.Add(1)
	}
	n.load.ObserveEnd(o.Result == dispatch.ResultServed, o.First)
	n.denials.observe(o, time.Now())
	ended := wire.Decision{Subject: "request/" + id, Step: "end request", Reason: describeOutcome(o), Revision: n.catalog.Revision()}
	if o.Unplaced != nil {
		ended.Obstacles = o.Unplaced.Obstacles.Wire()
	}
	n.decisions.Add(ended)
}

// describeOutcome describes the outcome of a request, its tenant, and whose share of the limit
// admitted it.
func describeOutcome(o dispatch.Outcome) string {
	text := describeResult(o)
	if o.Unplaced != nil {
		text += "; no runner could take it after " + o.Unplaced.At.Round(time.Millisecond).String() + ": " + o.Unplaced.Obstacles.String()
	}
	if o.Tenant == "" {
		return text
	}
	text += "; tenant " + string(o.Tenant)
	if o.Cost > 0 {
		text += ", cost " + strconv.FormatFloat(o.Cost, 'f', -1, 64)
	}
	if o.AdmittedBy != "" {
		text += ", admitted by " + o.AdmittedBy
	}
	return text
}

func describeResult(o dispatch.Outcome) string {
	switch o.Result {
	case dispatch.ResultServed, dispatch.ResultPassed:
		return o.Result + " by runner " + o.Runner + describeVia(o) + ", waited " + o.Waited.Round(time.Millisecond).String() + ", first part after " + o.First.Round(time.Millisecond).String()
	default:
		return o.Result + ": " + o.Reason
	}
}

// describeVia names the peer through which a request's runner was reached.
func describeVia(o dispatch.Outcome) string {
	if o.Via == "" {
		return ""
	}
	return " through node " + o.Via
}

// beginChange returns the context of an operator's change that takes no longer than a time. A node that
// stops refuses a change that it might not finish, and ends those under way when its last answers are due.
func (n *Node) beginChange(ctx context.Context, longest time.Duration) (context.Context, context.CancelFunc, error) {
	now := time.Now()
	schedule, stopping := n.dispatcher.Stop.Schedule()
	if stopping && !schedule.Accepts(now, stop.Work{Read: now, Due: now.Add(longest)}) {
		return nil, nil, fault.New(fault.CodeDraining, "accept change", "the node is leaving").WithRetryAfter(dispatch.RetryElsewhere)
	}
	ctx, cancel := context.WithCancel(ctx)
	release := context.AfterFunc(n.closing, cancel)
	return ctx, func() { release(); cancel() }, nil
}

// Commit commits an operation and applies it to this node.
func (n *Node) Commit(ctx context.Context, operation commit.Operation) (commit.Result, error) {
	ctx, end, err := n.beginChange(ctx, commit.ApplyTimeout)
	if err != nil {
		return commit.Result{}, err
	}
	defer end()
	result, err := n.committer.Apply(ctx, operation)
	if err != nil {
		return result, err
	}
	if result.Entry != nil {
		n.catalog.Apply([]wire.Entry{*result.Entry})
		n.objectsChanged()
		go n.trim(result.Revision)
	}
	return result, nil
}

func (n *Node) trim(revision uint64) {
	ctx, cancel := context.WithTimeout(context.Background(), trimTimeout)
	defer cancel()
	if err := n.committer.Trim(ctx, revision); err != nil {
		n.log.Info("trimming object log failed", "revision", revision, "error", err.Error())
	}
}

// Operation returns the result of an earlier operation.
func (n *Node) Operation(ctx context.Context, id string) (commit.Result, bool, error) {
	return n.committer.Find(ctx, id)
}

// Ready returns nil if the node is ready to serve.
func (n *Node) Ready() error {
	switch {
	case n.dispatcher.Stop.Stopping():
		return fault.New(fault.CodeDraining, "ready", "the node is leaving")
	case n.activeConfiguration() == nil || !n.zones.table.Load().Read():
		return fault.New(fault.CodeNotReady, "ready", "no configuration is known yet")
	case !n.runnersListed.Load():
		return fault.New(fault.CodeNotReady, "ready", "the runners are not known yet")
	case n.configuration.Load().Drains[api.Drain{Target: api.DrainNode, Name: n.settings.Load().Node}]:
		return fault.New(fault.CodeDraining, "ready", "a planned stop of the node is in force")
	default:
		return nil
	}
}

// accept returns an error while the node takes no new calls. A stopping node takes calls until the
// load balancer had time to notice.
func (n *Node) accept() error {
	if n.dispatcher.Stop.InNotice(time.Now()) {
		return nil
	}
	return n.Ready()
}

// Explain collects decisions about a subject from all nodes, newest first.
func (n *Node) Explain(ctx context.Context, subject string, limit int) []wire.Decision {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	found := n.decisions.Find(subject, limit)
	for _, member := range n.members(ctx) {
		if member.Node == n.settings.Load().Node {
			continue
		}
		var response wire.ExplainResponse
		err := n.client.Call(ctx, member.Address, wire.MethodExplain, wire.ExplainRequest{Subject: subject, Limit: limit}, &response)
		if err != nil {
			n.log.V(1).Info("querying node failed", "node", member.Node, "error", err.Error())
			continue
		}
		found = append(found, response.Decisions...)
	}
	slices.SortFunc(found, func(a, b wire.Decision) int { return b.Time.Compare(a.Time) })
	return found[:min(len(found), limit)]
}

// members lists the nodes that report to any lease holder.
func (n *Node) members(ctx context.Context) []wire.Member {
	byName := make(map[string]wire.Member)
	for service := range n.controls.all() {
		response, err := n.controls.describeFleet(ctx, service)
		if err != nil {
			n.log.V(1).Info("querying lease holder failed", "service", service, "error", err.Error())
			continue
		}
		for _, member := range response.Members {
			member.Holds = append(member.Holds, byName[member.Node].Holds...)
			byName[member.Node] = member
		}
	}
	members := make([]wire.Member, 0, len(byName))
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		members = append(members, byName[name])
	}
	return members
}

// Runners describes the runners of all services, or those with one name.
func (n *Node) Runners(ctx context.Context, name string) []wire.RunnerStatus {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	runners := []wire.RunnerStatus{}
	cold := n.fleet.Cold()
	for service := range n.controls.all() {
		response, err := n.controls.describeFleet(ctx, service)
		if err != nil {
			n.log.V(1).Info("querying lease holder failed", "service", service, "error", err.Error())
			continue
		}
		for _, runner := range response.Runners {
			if name == "" || runner.Runner == name {
				runner.ColdMs = cold[runner.Runner].Milliseconds()
				runner.RestMs = n.restRemaining(runner.Runner).Milliseconds()
				runners = append(runners, runner)
			}
		}
	}
	slices.SortFunc(runners, func(a, b wire.RunnerStatus) int { return strings.Compare(a.Runner, b.Runner) })
	return runners
}

// Status describes the fleet as seen by this node.
func (n *Node) Status(ctx context.Context) operator.Status {
	ctx, cancel := context.WithTimeout(ctx, queryTimeout)
	defer cancel()
	status := operator.Status{
		Node: n.settings.Load().Node, Ready: "ready", Revision: n.catalog.Revision(), Members: n.members(ctx), Tables: n.relay.Upstream().String(),
		Models: []operator.ModelStatus{}, Waiting: make(map[string]int), Policies: []operator.PolicyFailure{}, Problems: []string{},
		Stores: n.stores(ctx),
	}
	if err := n.Ready(); err != nil {
		status.Ready = err.Error()
	}
	for _, waiting := range n.demand.Waiting() {
		status.Waiting[waiting.Unit.String()] += waiting.Count
	}
	failures := n.policies.Failures()
	for _, name := range slices.Sorted(maps.Keys(failures)) {
		status.Policies = append(status.Policies, operator.PolicyFailure{Name: name, Reason: failures[name]})
	}
	if configuration := n.configuration.Load(); configuration != nil {
		status.Configuration = configuration.Revision
		status.Models = modelStatus(configuration, n.Runners(ctx, ""))
	}
	_, problems := config.Compose(nil, 0, n.catalog.List)
	for _, problem := range problems {
		status.Problems = append(status.Problems, problem.Error())
	}
	return status
}

// stores queries the lease holders for the status of their weight stores.
func (n *Node) stores(ctx context.Context) []wire.StoreStatus {
	stores := []wire.StoreStatus{}
	for _, service := range slices.Sorted(maps.Keys(n.controls.all())) {
		response, err := n.controls.describeFleet(ctx, service)
		if err == nil && response.Store != nil {
			stores = append(stores, *response.Store)
		}
	}
	return stores
}

// modelStatus counts the replicas of each name that callers can use.
func modelStatus(configuration *config.Configuration, runners []wire.RunnerStatus) []operator.ModelStatus {
	loaded := make(map[string]int)
	ready := make(map[string]int)
	for _, runner := range runners {
		for _, unit := range runner.Units {
			loaded[runner.Service+" "+unit.Unit]++
			if unit.State == "ready" {
				ready[runner.Service+" "+unit.Unit]++
			}
		}
	}
	models := make([]operator.ModelStatus, 0, len(configuration.Names))
	for _, name := range slices.Sorted(maps.Keys(configuration.Names)) {
		served := configuration.Names[name]
		key := served.Service + " " + served.Unit.String()
		models = append(models, operator.ModelStatus{
			Name: name, Service: served.Service, Weights: served.Unit.String(), Decided: served.Replicas, Loaded: loaded[key], Ready: ready[key],
		})
	}
	return models
}

// DrainProgress reports what is left of a drain.
func (n *Node) DrainProgress(ctx context.Context, drain api.Drain) operator.Progress {
	progress := operator.Progress{Target: drain.Target, Name: drain.Name, State: "draining"}
	if drain.Target == api.DrainNode {
		return n.nodeProgress(ctx, progress)
	}
	seen := 0
	for _, runner := range n.Runners(ctx, "") {
		if (drain.Target == api.DrainRunner && runner.Runner == drain.Name) || (drain.Target == api.DrainZone && runner.Zone == drain.Name) {
			seen++
			progress.Running += runner.Running
			progress.Replicas += len(runner.Units)
		}
	}
	progress.Finished = progress.Running == 0 && progress.Replicas == 0
	if seen == 0 {
		progress.State = "not known"
	}
	return progress
}

// nodeProgress reports whether a drained node still sends reports.
func (n *Node) nodeProgress(ctx context.Context, progress operator.Progress) operator.Progress {
	progress.State = "gone"
	progress.Finished = true
	for _, member := range n.members(ctx) {
		if member.Node == progress.Name {
			progress.State = "takes no new requests"
		}
	}
	return progress
}

// sweepClaims deletes old claims while this node holds any lease, so that one node does it for the
// fleet.
func (n *Node) sweepClaims(ctx context.Context) {
	ticker := time.NewTicker(claimSweepInterval)
	defer ticker.Stop()
	after := ""
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for n.holdsAny() {
			callCtx, cancel := context.WithTimeout(ctx, sweepTimeout)
			next, err := n.claims.Sweep(callCtx, after, time.Now())
			cancel()
			if err != nil {
				n.log.Info("sweeping claims failed", "error", err.Error())
				break
			}
			if after = next; after == "" {
				break
			}
		}
	}
}

func (n *Node) holdsAny() bool {
	for _, s := range n.controls.all() {
		if s.elector.Holds() {
			return true
		}
	}
	return false
}
