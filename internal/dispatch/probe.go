package dispatch

import (
	"context"
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/fleet"
)

const (
	// probedRunners is how many runners are asked for their load before a request is sent. Choosing
	// between two at random does nearly as well as knowing all (the power of two choices).
	probedRunners = 2
	// probeTimeout bounds the probes: a runner in another zone answers within about 5 ms, including
	// a new connection. One in another region is allowed the round trip on top.
	probeTimeout = 30 * time.Millisecond
)

// choose picks the runner for a request. Each of many nodes sends only a small part of the requests
// and knows next to nothing of what the others send, so where there is a choice, runners are asked
// for their queues first. Probing ends when ctx does.
func (j *job) choose(ctx context.Context) (fleet.Choice, bool) {
	if !j.engine || j.dispatcher.Report == nil {
		return j.dispatcher.Fleet.Choose(j.query)
	}
	candidates := j.dispatcher.Fleet.Candidates(j.query, probedRunners)
	if len(candidates) == 0 {
		return j.dispatcher.Fleet.Choose(j.query)
	}
	query := j.query
	query.Among = j.probe(ctx, candidates)
	if choice, ok := j.dispatcher.Fleet.Choose(query); ok {
		return choice, true
	}
	return j.dispatcher.Fleet.Choose(j.query)
}

// probe reads the reports of runners and returns the IDs of those that answered in time. If none
// did, the result is empty and does not restrict the choice, as the fault is then more likely on
// this side.
func (j *job) probe(ctx context.Context, runners []backend.Runner) []string {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout+j.dispatcher.Fleet.ExtraLatency(runners))
	defer cancel()
	answered := make([]string, len(runners))
	var probes sync.WaitGroup
	for i, runner := range runners {
		probes.Go(func() {
			start := time.Now()
			report, err := j.dispatcher.Report(ctx, runner)
			if err != nil {
				j.log.V(1).Info("runner did not report its load", "runner", runner.ID, "error", err.Error())
				return
			}
			j.dispatcher.Fleet.ObserveLatency(runner.ID, time.Since(start))
			j.dispatcher.Fleet.ObserveReport(runner.ID, report)
			answered[i] = runner.ID
		})
	}
	probes.Wait()
	var responsive []string
	for _, id := range answered {
		if id != "" {
			responsive = append(responsive, id)
		}
	}
	return responsive
}

// learnLoads asks brittle runners, which the request may only be sent to if they have room, for their
// load. It reports whether any answered.
func (j *job) learnLoads(ctx context.Context) bool {
	if !j.engine || j.dispatcher.Report == nil {
		return false
	}
	unknown := j.dispatcher.Fleet.TakeUnknownLoads(j.query)
	return len(unknown) > 0 && len(j.probe(ctx, unknown)) > 0
}
