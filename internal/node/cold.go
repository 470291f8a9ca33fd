package node

import (
	"context"
	"time"

	"lilacvane/internal/coldstart"
)

// maxColdCheckInterval is the longest time between two checks for cold runners. It bounds how late
// changes that come without a table row, such as a new configuration, are noticed.
const maxColdCheckInterval = 5 * time.Second

// coldTerms returns the cold-start rules of a service under the current configuration and settings.
// Permits are lent if the service's runners are controlled by a lease holder.
func (n *Node) coldTerms(service string) coldstart.Terms {
	configuration := n.configuration.Load()
	if configuration == nil || configuration.Services[service] == nil {
		return coldstart.Terms{}
	}
	s, definition := n.settings.Load(), configuration.Services[service]
	var strategy coldstart.Strategy = coldstart.Lent{}
	if definition.Engine == nil {
		strategy = coldstart.Randomized{Node: s.Node, Nodes: int(n.nodes.Load())}
	}
	return coldstart.NewTerms(definition.ColdRate, s.ColdStart.Share, s.ColdStart.Slack, definition.ColdStart, strategy)
}

// limitTerms returns the rules for a runner that limits itself to rate requests per second. Permits
// are lent if the holder of a control lease is reachable; otherwise each node has its own time
// slices.
func (n *Node) limitTerms(rate float64, lent bool) coldstart.Terms {
	if lent {
		return coldstart.NewLimit(rate, coldstart.Lent{})
	}
	return coldstart.NewLimit(rate, coldstart.TimeSliced{Node: n.settings.Load().Node, Nodes: int(n.nodes.Load())})
}

// coldMonitor logs which runners become cold and warm, and wakes waiting requests when one became
// warm.
type coldMonitor struct {
	node *Node
	// listChanged is signaled when the list of runners changed.
	listChanged chan struct{}
}

func newColdMonitor(n *Node) *coldMonitor {
	return &coldMonitor{node: n, listChanged: make(chan struct{}, 1)}
}

// checkSoon triggers a check without blocking.
func (c *coldMonitor) checkSoon() {
	select {
	case c.listChanged <- struct{}{}:
	default:
	}
}

// run checks whenever the list changed or a runner becomes warm, until ctx ends.
func (c *coldMonitor) run(ctx context.Context) {
	timer := time.NewTimer(maxColdCheckInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.listChanged:
		}
		timer.Reset(c.logChanges())
	}
}

// logChanges logs one line per batch of changes, as each of hundreds of nodes reports hundreds of
// runners. It returns the time until the next check.
func (c *coldMonitor) logChanges() time.Duration {
	changes, next := c.node.fleet.TakeColdChanges()
	var cold, supposed, warm []string
	var longest time.Duration
	var terms coldstart.Terms
	for _, runner := range changes {
		terms = runner.Terms
		longest = max(longest, runner.For)
		switch {
		case !runner.Cold:
			warm = append(warm, runner.Runner)
		case runner.Reported:
			cold = append(cold, runner.Runner)
		default:
			supposed = append(supposed, runner.Runner)
		}
	}
	if len(cold)+len(supposed) > 0 {
		c.node.log.Info("runners cold", "said", cold, "supposed", supposed, "forMs", longest.Milliseconds(), "rate", terms.Rate,
			"bound", int(terms.Bound), "startMs", terms.Start.Milliseconds())
	}
	if len(warm) > 0 {
		figures := c.node.fleet.ColdFigures()
		c.node.log.Info("runners warm", "runners", warm, "rate", terms.Rate, "bound", int(terms.Bound),
			"permitsLent", figures.Lent, "permitsSpent", figures.Spent, "permitsRefused", figures.Refused)
	}
	if next == 0 {
		return maxColdCheckInterval
	}
	return min(next+time.Millisecond, maxColdCheckInterval)
}
