package node

import (
	"context"
	"slices"

	"lilacvane/internal/backend"
	"lilacvane/internal/crash"
	"lilacvane/internal/peer"
	"lilacvane/internal/poison"
	"lilacvane/internal/quarantine"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// recordCrash handles a runner that ended under requests of this node. The lease holder is notified
// too, so that the runner's models are loaded elsewhere before the platform's list drops it.
func (n *Node) recordCrash(c crash.Crash) {
	n.metrics.CountCrash()
	n.quarantine.Crashed(c)
	if runner, known := n.fleet.Find(c.Runner); known && n.fleet.Suspect(c.Runner) {
		n.demand.RequestReport(runner.Service)
	}
}

// recordRestarts handles runners that restarted under the same name. Connections to the earlier
// incarnation are useless.
func (h *runnerHandler) recordRestarts(listed []backend.Runner) {
	var restarted []string
	for _, runner := range listed {
		before, known := h.fleet.Listed(runner.Name())
		if known && before.SupersededBy(runner.Born) {
			restarted = append(restarted, runner.Name())
			h.crashes.Gone(before, crash.HowRestarted)
		}
	}
	if len(restarted) > 0 {
		h.log.Info("runners started anew", "runners", restarted)
		h.pool.Forget(func(name string) bool { return !slices.Contains(restarted, name) })
	}
}

// recordRemovals handles runners that left the list.
func (h *runnerHandler) recordRemovals(removed []string) {
	for _, id := range removed {
		if before, known := h.fleet.Find(id); known {
			h.crashes.Gone(before, crash.HowUnlisted)
		}
	}
}

// newQuarantine returns this node's part of the quarantine, which holds back requests that crash
// runners.
func newQuarantine(n *Node) *quarantine.Quarantine {
	q := quarantine.New(quarantine.Options{
		Rows: table.NewFenced(n.platform.Poison, n.platform.Epochs), Wake: n.fleet.Wake, ReportNow: n.demand.RequestReport, RecordDecision: n.recordDecision, Log: n.log.Logger,
		Self: func() string { return n.settings.Load().Listen.PeerAddress() },
		SendReport: func(ctx context.Context, address string, report wire.PoisonReport) (answer wire.PoisonAnswer, err error) {
			err = n.client.Call(ctx, address, wire.MethodPoison, report, &answer)
			return answer, err
		},
		AskTrial: func(ctx context.Context, address string, request wire.TrialRequest) (answer wire.TrialAnswer, err error) {
			err = n.client.Call(ctx, address, wire.MethodTrial, request, &answer)
			return answer, err
		},
		Holds:            func(service string) bool { return n.controls.holds(service) },
		CountRunners:     n.fleet.CountService,
		CountUndelivered: n.metrics.CountUndeliveredCrashReport,
		Unreadable:       n.reportRow(tablePoison),
	})
	peer.Handle(n.peers, wire.MethodPoison, func(_ context.Context, report wire.PoisonReport) (wire.PoisonAnswer, error) {
		return q.Answer(report), nil
	})
	peer.Handle(n.peers, wire.MethodTrial, func(_ context.Context, request wire.TrialRequest) (wire.TrialAnswer, error) {
		return q.GrantTrial(request), nil
	})
	return q
}

// Quarantine lists the requests under which runners crashed.
func (n *Node) Quarantine() []wire.PoisonStatus { return n.quarantine.List() }

// LiftQuarantine allows a quarantined request to run again.
func (n *Node) LiftQuarantine(ctx context.Context, request poison.Identity) error {
	ctx, end, err := n.beginChange(ctx, quarantine.WriteTimeout)
	if err != nil {
		return err
	}
	defer end()
	return n.quarantine.Lift(ctx, request)
}
