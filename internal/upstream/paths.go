package upstream

import (
	"context"
	"time"

	"lilacvane/internal/reach"
)

const (
	// retriesPerRound bounds the attempts on broken paths that begin together, retryRound is the
	// time between two rounds.
	retriesPerRound = 8
	retryRound      = 100 * time.Millisecond
	// checkDelay is how long a request on a connection that had been idle may go without an answer
	// until the path to its runner is checked, checkTimeout bounds the check.
	checkDelay   = 250 * time.Millisecond
	checkTimeout = 2 * time.Second
)

// checkLater returns a timer that, unless it is stopped, checks the path to the runner of a request
// that was sent on a connection that had been idle: that it had answered before says nothing of the
// path now.
func (p *Pool) checkLater(call Call) *time.Timer {
	return time.AfterFunc(checkDelay, func() { p.Check(reach.Runner{Name: call.Runner, Address: call.Address}) })
}

// Check finds out whether the path to a runner works, unless that is known.
func (p *Pool) Check(runner reach.Runner) {
	if p.Tunnels == nil || !p.Reach.BeginCheck(runner) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := p.connectAnyWay(ctx, runner)
	if err == nil {
		p.returnUnused(runner.Name, conn)
	}
}

// RetryBrokenPaths tries broken paths to runners again until ctx ends.
func (p *Pool) RetryBrokenPaths(ctx context.Context) {
	ticker := time.NewTicker(retryRound)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for _, runner := range p.Reach.TakeDue(retriesPerRound) {
			p.keep(runner, p.dialAside(ctx, runner))
		}
	}
}
