package test

import (
	"context"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

// Runners that said in all answers that they are brittle rejected more requests within a second
// than they stated, and ended. Nodes did not read the statement, and each sent until it was
// rejected itself.

const (
	// statedBefore is how long runners state that they are brittle before they reject more.
	statedBefore = 3 * time.Second
	// brittleRoom is how many requests a brittle runner admits at once: none waits for a slot.
	brittleRoom = 8
	// brittlePeriod is how long runners are brittle.
	brittlePeriod = 6 * time.Second
)

// maxFalls is how often the runners of a service may fall in one brittle period.
func maxFalls(runners int) int { return 2 + runners/10 }

// TestBrittleRunnersStay: all runners state that they are brittle and then admit fewer requests,
// while requests of all kinds arrive, in crowds as well. They fall over no more often than
// allowed, and requests that could be served are.
func TestBrittleRunnersStay(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		brittle string
		crowd   int
	}{
		"few at a time":             {brittle: "8"},
		"crowds":                    {brittle: "8", crowd: 40},
		"crowds, less than a node":  {brittle: "2", crowd: 40},
		"crowds, not even one":      {brittle: "0", crowd: 20},
		"crowds, a number for many": {brittle: "20", crowd: 40},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := startStatementWorldWith(t, statementTest{all: true, crowd: test.crowd}, world.RestartPolicy{After: 700 * time.Millisecond}, nil)
			ctx, end := context.WithCancel(t.Context())
			defer end()
			var senders sync.WaitGroup
			senders.Go(func() { s.send(ctx) })
			s.setAll(t, runnerstub.Faults{Brittle: test.brittle})
			time.Sleep(statedBefore)
			begun := time.Now()
			s.setAll(t, runnerstub.Faults{Brittle: test.brittle, Room: brittleRoom})
			s.sendCrowds(ctx, &senders)
			time.Sleep(brittlePeriod)
			ended := time.Now()
			s.setAll(t, runnerstub.Faults{})
			end()
			senders.Wait()
			s.checkFalls(t)
			s.logServed(t, begun, ended)
		})
	}
}

// setAll sets the faults of all runners.
func (s *statementWorld) setAll(t *testing.T, faults runnerstub.Faults) {
	t.Helper()
	for _, name := range s.statingRunners() {
		assert.NilError(t, s.world.SetRunnerFaults(name, faults))
	}
}

// checkFalls checks that the runners of each service fell over no more often than allowed.
func (s *statementWorld) checkFalls(t *testing.T) {
	t.Helper()
	falls := make(map[string]int)
	for _, record := range readHistory(t, s.world).records {
		if record.Event == journal.EventFall {
			service, _, _ := strings.Cut(record.Runner, "-")
			falls[service]++
		}
	}
	t.Logf("falls by service: %v", falls)
	for service, count := range falls {
		assert.Check(t, count <= maxFalls(runnersPerService), "%s: %d falls", service, count)
	}
}

// logServed logs how many requests sent between two times were served, by route.
func (s *statementWorld) logServed(t *testing.T, from, to time.Time) {
	t.Helper()
	counts := make(map[string]*served)
	for _, exchange := range s.exchanges {
		if exchange.sent.Before(from) || exchange.sent.After(to) {
			continue
		}
		if counts[exchange.request.Path] == nil {
			counts[exchange.request.Path] = &served{}
		}
		counts[exchange.request.Path].add(exchange)
	}
	for path, count := range counts {
		t.Logf("%s: %d of %d served", path, count.served, count.all)
	}
}
