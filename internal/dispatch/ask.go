package dispatch

import (
	"context"
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/fleet"
)

const (
	// askedRunners is how many runners are asked for their load before a request is
	// sent. Two choices by chance do nearly as well as all (the power of two choices).
	askedRunners = 2
	// askTimeout bounds the answers: a runner in another zone answers within some
	// 5 ms, a new connection included. One in another region may take the way there longer.
	askTimeout = 30 * time.Millisecond
)

// choose picks the runner for a request. Each of many nodes sends so few of the
// requests that it knows next to nothing of what the others send, so runners are asked
// for their queues first where there is a choice. asking ends when ctx does.
func (j *job) choose(ctx context.Context) (fleet.Choice, bool) {
	if !j.engine || j.dispatcher.Report == nil {
		return j.dispatcher.Fleet.Choose(j.query)
	}
	candidates := j.dispatcher.Fleet.Candidates(j.query, askedRunners)
	if len(candidates) == 0 {
		return j.dispatcher.Fleet.Choose(j.query)
	}
	query := j.query
	query.Among = j.ask(ctx, candidates)
	if choice, ok := j.dispatcher.Fleet.Choose(query); ok {
		return choice, true
	}
	return j.dispatcher.Fleet.Choose(j.query)
}

// ask reads the reports of runners and returns those that answered in time; all when
// none did, as the fault then is more likely on this side.
func (j *job) ask(ctx context.Context, runners []backend.Runner) []string {
	ctx, cancel := context.WithTimeout(ctx, askTimeout+j.dispatcher.Fleet.Beyond(runners))
	defer cancel()
	answered := make([]string, len(runners))
	var asking sync.WaitGroup
	for i, runner := range runners {
		asking.Go(func() {
			start := time.Now()
			report, err := j.dispatcher.Report(ctx, runner)
			if err != nil {
				j.log.V(1).Info("runner did not tell its load", "runner", runner.ID, "error", err.Error())
				return
			}
			j.dispatcher.Fleet.Answered(runner.ID, time.Since(start))
			j.dispatcher.Fleet.Reported(runner.ID, report)
			answered[i] = runner.ID
		})
	}
	asking.Wait()
	var among []string
	for _, id := range answered {
		if id != "" {
			among = append(among, id)
		}
	}
	return among
}
