package node

import (
	"slices"

	"lilacvane/internal/backend"
	"lilacvane/internal/crash"
)

// crashed is told of a runner that ended under requests of this node. The holder is told
// too, so that what it held is loaded elsewhere before the platform's list drops it.
func (n *Node) crashed(c crash.Crash) {
	n.figures.crashes.Inc()
	n.quarantine.crashed(c)
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
