package node

import (
	"time"

	"lilacvane/internal/feed"
	"lilacvane/internal/metrics"
	"lilacvane/internal/table"
)

// recordNews records the maximum age of a change that this node has just applied: the time since the
// follower's previous answer, which did not have it yet. The margin is what is left of the time
// within which a change must be in effect.
func (n *Node) recordNews(kind metrics.News, follower *feed.Follower) {
	previous := follower.AsOf()
	if previous.IsZero() {
		return
	}
	age := time.Since(previous)
	margin := n.settings.Load().Configuration.Within - age
	n.metrics.ObserveNews(kind, age)
	n.log.Info("news applied", "kind", string(kind), "maxAgeMs", age.Milliseconds(), "marginMs", margin.Milliseconds(), "upstream", n.relay.Upstream().String())
}

// logEpoch logs that the store answers in another epoch than before.
func (n *Node) logEpoch(previous, current table.Epoch) {
	n.log.Info("store epoch changed", "epoch", current, "before", previous)
}
