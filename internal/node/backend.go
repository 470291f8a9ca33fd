package node

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/commit"
	"lilacvane/internal/fault"
	"lilacvane/internal/operator"
	"lilacvane/internal/runner"
	"lilacvane/internal/wire"
)

const (
	askTimeout   = 2 * time.Second
	maximumAsked = 64
)

// backend answers the operators' interface from the node's parts.
type backend struct {
	node *Node
}

// Commit commits an operation and takes it into force at this node at once; the
// others hear of it by the announcement that follows.
func (b *backend) Commit(ctx context.Context, operation commit.Operation) (commit.Result, error) {
	result, err := b.node.committing.Apply(ctx, operation)
	if err != nil {
		return result, err
	}
	waitContext, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	b.node.spread.WaitFor(waitContext, result.Revision)
	b.node.refresh()
	return result, nil
}

// Operation returns the result of an earlier operation.
func (b *backend) Operation(ctx context.Context, id string) (commit.Result, bool, error) {
	return b.node.committer.Find(ctx, id)
}

// Ready returns nil when the node serves.
func (b *backend) Ready() error {
	if b.node.leaving.Load() != 0 {
		return fault.New(fault.CodeDraining, "ready", "the node is leaving")
	}
	return b.node.accept()
}

// Explain collects decisions: about a request from the node that held it, about
// a replica from its runner's owner, about a model from its coordinator and the
// owners of its runners.
func (b *backend) Explain(ctx context.Context, subject string, limit int) []wire.Decision {
	members := b.concerned(subject)
	var mutex sync.Mutex
	var decisions []wire.Decision
	var group sync.WaitGroup
	for _, member := range members {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			var response wire.ExplainResponse
			request := wire.ExplainRequest{Subject: subject, Limit: limit}
			if b.node.client.Call(ctx, member.Address, methodExplain, request, &response) != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			decisions = append(decisions, response.Decisions...)
		})
	}
	group.Wait()
	sort.Slice(decisions, func(i, j int) bool { return decisions[i].Time.After(decisions[j].Time) })
	return decisions[:min(limit, len(decisions))]
}

func (b *backend) concerned(subject string) []wire.Member {
	kind, name, _ := strings.Cut(subject, "/")
	members := make(map[string]wire.Member)
	add := func(member wire.Member, found bool) {
		if found && len(members) < maximumAsked {
			members[member.Node] = member
		}
	}
	switch kind {
	case "request":
		separator := strings.LastIndex(name, "-")
		if separator > 0 {
			add(b.node.membership.Get(name[:separator]))
		}
	case "replica":
		if machine, listed := b.node.machines.Get(name); listed {
			add(b.node.manager.OwnerOf(machine.Name, machine.Zone, machine.Region))
		}
	default:
		add(b.node.coordinator.Of(name))
		unit, _ := b.node.catalog.Unit(name)
		for _, item := range unit.Grant.Items {
			add(b.node.manager.OwnerOf(item.Runner, item.Zone, item.Region))
		}
	}
	list := make([]wire.Member, 0, len(members))
	for _, member := range members {
		list = append(list, member)
	}
	return list
}

// Status describes the fleet as this node sees it.
func (b *backend) Status(context.Context) operator.Status {
	n := b.node
	status := operator.Status{
		Node: n.settings.Node, Ready: "ready", Revision: n.catalog.Revision(), Members: n.membership.All(),
		Waiting: make(map[string]int), LostClaims: len(n.claims.Lost()),
	}
	if err := b.Ready(); err != nil {
		status.Ready = err.Error()
	}
	for _, unit := range n.catalog.Units() {
		status.Models = append(status.Models, operator.ModelStatus{Name: unit.Name, Decided: unit.Replicas, Granted: len(unit.Grant.Items), Version: unit.Version})
	}
	sort.Slice(status.Models, func(i, j int) bool { return status.Models[i].Name < status.Models[j].Name })
	for class, count := range n.requests.QueueDepths() {
		status.Waiting[api.Class(class).String()] = count
	}
	for name, reason := range n.policies.Failures() {
		status.Policies = append(status.Policies, operator.PolicyFailure{Name: name, Reason: reason})
	}
	return status
}

// Runners asks the owners of a runner, or of all runners of this node's region.
func (b *backend) Runners(ctx context.Context, name string) []wire.RunnerStatus {
	n := b.node
	owners := make(map[string]wire.Member)
	for _, machine := range n.machines.All() {
		asked := name == machine.Name || name == "" && machine.Region == n.settings.Region
		if !asked {
			continue
		}
		if owner, found := n.manager.OwnerOf(machine.Name, machine.Zone, machine.Region); found {
			owners[owner.Node] = owner
		}
	}
	var mutex sync.Mutex
	runners := []wire.RunnerStatus{}
	var group sync.WaitGroup
	for _, owner := range owners {
		group.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			var response wire.RunnersResponse
			if n.client.Call(ctx, owner.Address, runner.MethodRunners, wire.RunnersRequest{Runner: name}, &response) != nil {
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			runners = append(runners, response.Runners...)
		})
	}
	group.Wait()
	sort.Slice(runners, func(i, j int) bool { return runners[i].Runner < runners[j].Runner })
	return runners
}

// DrainProgress tells what is left of a planned stop.
func (b *backend) DrainProgress(ctx context.Context, drain api.Drain) operator.Progress {
	progress := operator.Progress{Target: drain.Target, Name: drain.Name}
	if drain.Target == api.DrainNode {
		member, known := b.node.membership.Get(drain.Name)
		progress.State = member.State.String()
		progress.Finished = !known || member.State == wire.MemberDead
		return progress
	}
	for _, status := range b.Runners(ctx, "") {
		concerned := drain.Target == api.DrainRunner && status.Runner == drain.Name || drain.Target == api.DrainZone && status.Zone == drain.Name
		if !concerned {
			continue
		}
		progress.State = status.State
		progress.Replicas += len(status.Replicas)
		if status.ReservedMiB > 0 {
			progress.Running++
		}
	}
	progress.Finished = progress.State != "" && progress.Replicas == 0 && progress.Running == 0
	return progress
}

// ResetClaims gives lost claim groups new, empty ones.
func (b *backend) ResetClaims(ctx context.Context) (int, error) {
	return b.node.claims.Reset(ctx, b.node.settings.Node)
}
