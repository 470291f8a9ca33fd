package node

import (
	"lilacvane/internal/backend"
	"lilacvane/internal/crash"
)

// crashed is told of a runner that ended under requests of this node.
func (n *Node) crashed(_ crash.Crash) { n.figures.crashes.Inc() }

// noteNewLives tells of runners that started anew under their identifier.
func (h *runnerHandler) noteNewLives(listed []backend.Runner) {
	for _, runner := range listed {
		before, known := h.fleet.Listed(runner.ID)
		if known && before.Life().EndedBy(runner.Born) {
			h.log.Info("runner started anew", "runner", runner.ID, "born", runner.Born, "before", before.Born)
			h.crashes.Gone(before, crash.HowBorn)
		}
	}
}

// noteGone tells of runners that left the list.
func (h *runnerHandler) noteGone(removed []string) {
	for _, id := range removed {
		if before, known := h.fleet.Listed(id); known {
			h.crashes.Gone(before, crash.HowGone)
		}
	}
}
