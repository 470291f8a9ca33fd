package upstream

import (
	"context"
	"time"

	"lilacvane/internal/place"
	"lilacvane/internal/reach"
)

const (
	// retriesPerRound bounds the attempts on broken paths that begin together, retryRound is the
	// time between two rounds.
	retriesPerRound = 8
	retryRound      = 100 * time.Millisecond
	// checkTimeout bounds the check of a path.
	checkTimeout = 2 * time.Second
)

// Check finds out whether the path to a runner works, unless that is known.
func (p *Pool) Check(runner reach.Runner) {
	if p.Tunnels == nil || p.Allowance.Get() > 0 || !p.Reach.BeginCheck(runner) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	conn, err := p.connectAnyWay(ctx, runner, place.Homes{})
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
