package node

import (
	"context"
	"math/rand/v2"
	"time"

	"lilacvane/internal/feed"
	"lilacvane/internal/metrics"
	"lilacvane/internal/table"
	"lilacvane/internal/wait"
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

// reportUnreadable logs and counts a row that this node cannot read and passes over.
func (n *Node) reportUnreadable(row table.UnreadableRow) {
	n.metrics.CountUnreadable(row.Table)
	n.log.Error(row.Err, "row unreadable", "table", row.Table, "key", shortKey(row.Key), "revision", row.Revision)
}

// maxLoggedKey is the part of a key of an unreadable row that is logged, in bytes.
const maxLoggedKey = 200

func shortKey(key string) string { return key[:min(len(key), maxLoggedKey)] }

// logEpoch logs that the store answers in another epoch than before.
func (n *Node) logEpoch(previous, current table.Epoch) {
	n.log.Info("store epoch changed", "epoch", current, "before", previous)
}

const (
	// learnRetry is the pause between attempts to learn when the store's epoch began. learnTimeout bounds one.
	learnRetry   = 200 * time.Millisecond
	learnTimeout = 800 * time.Millisecond
)

// learnEpoch finds out, for a node that starts, whether the store has returned with an older copy lately. A
// node that cannot find out assumes so for the settling period.
func (n *Node) learnEpoch(ctx context.Context) {
	epochs := n.platform.Epochs
	for epochs.Newest() == 0 && ctx.Err() == nil {
		wait.For(ctx, learnRetry)
	}
	for epochs.SettlingLeft() > 0 && ctx.Err() == nil {
		// Nodes that start together do not read at once.
		wait.For(ctx, rand.N(learnRetry))
		err := n.readBeginning(ctx)
		if err == nil {
			n.log.Info("store epoch known", "epoch", epochs.Newest(), "settlingLeftMs", epochs.SettlingLeft().Milliseconds())
			return
		}
		n.log.Info("beginning of the store's epoch not known", "error", err.Error())
		wait.For(ctx, learnRetry)
	}
}

func (n *Node) readBeginning(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, learnTimeout)
	defer cancel()
	return n.leases.LearnBeginning(ctx)
}
