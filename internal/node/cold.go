package node

import (
	"context"
	"time"

	"lilacvane/internal/coldstart"
)

// coldLook is the longest time between two looks at which runners are cold: what changes
// without a row, as a configuration, is noticed by then.
const coldLook = 5 * time.Second

// coldTerms are what holds for a service's cold runners, by the configuration and the
// settings in force. Permits are lent where the service's runners have a control lease.
func (n *Node) coldTerms(service string) coldstart.Terms {
	configuration := n.configuration.Load()
	if configuration == nil || configuration.Services[service] == nil {
		return coldstart.Terms{}
	}
	s, described := n.settings.Load(), configuration.Services[service]
	var way coldstart.Way = coldstart.Lent{}
	if described.Engine == nil {
		way = coldstart.Drawn{Node: s.Node, Nodes: int(n.nodes.Load())}
	}
	return coldstart.NewTerms(described.ColdRate, s.ColdStart.Share, s.ColdStart.Slack, described.ColdStart, way)
}

// limitTerms are what holds for a runner that takes rate requests a second. Its permits are lent where
// the holder of a control lease is heard; else each node has turns of its own.
func (n *Node) limitTerms(rate float64, lent bool) coldstart.Terms {
	if lent {
		return coldstart.NewLimit(rate, coldstart.Lent{})
	}
	return coldstart.NewLimit(rate, coldstart.Shared{Node: n.settings.Load().Node, Nodes: int(n.nodes.Load())})
}

// coldWatch logs which runners become cold and warm, and lets what waits look again when
// one became warm.
type coldWatch struct {
	node *Node
	// listed is signalled when the list of runners changed.
	listed chan struct{}
}

func newColdWatch(n *Node) *coldWatch { return &coldWatch{node: n, listed: make(chan struct{}, 1)} }

// look asks for a look soon.
func (c *coldWatch) look() {
	select {
	case c.listed <- struct{}{}:
	default:
	}
}

// run looks whenever the list changed or a runner becomes warm, until ctx ends.
func (c *coldWatch) run(ctx context.Context) {
	timer := time.NewTimer(coldLook)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		case <-c.listed:
		}
		timer.Reset(c.tell())
	}
}

// tell logs the news, one line a batch as each of hundreds of nodes tells of hundreds of
// runners, and returns the time until the next look.
func (c *coldWatch) tell() time.Duration {
	news, next := c.node.fleet.TakeColdNews()
	var cold, supposed, warm []string
	var longest time.Duration
	var terms coldstart.Terms
	for _, runner := range news {
		terms = runner.Terms
		longest = max(longest, runner.For)
		switch {
		case !runner.Cold:
			warm = append(warm, runner.Runner)
		case runner.Said:
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
		return coldLook
	}
	return min(next+time.Millisecond, coldLook)
}
