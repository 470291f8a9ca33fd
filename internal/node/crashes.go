package node

import (
	"context"
	"slices"

	"lilacvane/internal/backend"
	"lilacvane/internal/crash"
	"lilacvane/internal/peer"
	"lilacvane/internal/poison"
	"lilacvane/internal/quarantine"
	"lilacvane/internal/wire"
)

// crashed is told of a runner that ended under requests of this node. The holder is told
// too, so that what it held is loaded elsewhere before the platform's list drops it.
func (n *Node) crashed(c crash.Crash) {
	n.figures.CountCrash()
	n.quarantine.Crashed(c)
	if runner, known := n.fleet.Find(c.Runner); known && n.fleet.Suspect(c.Runner) {
		n.demand.Nudge(runner.Service)
	}
}

// noteNewLives tells of runners that started anew under their name. Connections to the
// earlier incarnation are of no use.
func (h *runnerHandler) noteNewLives(listed []backend.Runner) {
	var anew []string
	for _, runner := range listed {
		before, known := h.fleet.Listed(runner.Name())
		if known && before.EndedBy(runner.Born) {
			anew = append(anew, runner.Name())
			h.crashes.Gone(before, crash.HowBorn)
		}
	}
	if len(anew) > 0 {
		h.log.Info("runners started anew", "runners", anew)
		h.pool.Forget(func(name string) bool { return !slices.Contains(anew, name) })
	}
}

// noteGone tells of runners that left the list.
func (h *runnerHandler) noteGone(removed []string) {
	for _, id := range removed {
		if before, known := h.fleet.Find(id); known {
			h.crashes.Gone(before, crash.HowGone)
		}
	}
}

// newQuarantine returns the node's part in keeping requests from runners that end under them.
func newQuarantine(n *Node) *quarantine.Quarantine {
	q := quarantine.New(quarantine.Options{
		Rows: n.platform.Poison, Wake: n.fleet.Wake, Nudge: n.demand.Nudge, Decide: n.decide, Log: n.log.Logger,
		Self: func() string { return n.settings.Load().Listen.PeerAddress() },
		Tell: func(ctx context.Context, address string, report wire.PoisonReport) error {
			return n.client.Call(ctx, address, wire.MethodPoison, report, &wire.Empty{})
		},
		Holds: func(service string) bool { return n.controls.holds(service) },
	})
	peer.Handle(n.peers, wire.MethodPoison, func(_ context.Context, report wire.PoisonReport) (wire.Empty, error) {
		q.Count(report)
		return wire.Empty{}, nil
	})
	return q
}

// Quarantine lists the requests under which runners ended.
func (n *Node) Quarantine() []wire.PoisonStatus { return n.quarantine.List() }

// LiftQuarantine lets a request run again.
func (n *Node) LiftQuarantine(ctx context.Context, request poison.Identity) error {
	return n.quarantine.Lift(ctx, request)
}
