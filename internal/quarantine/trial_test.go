package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/crash"
	"lilacvane/internal/poison"
)

// ended reports the end of a runner at a node, under a request that was sent there a moment before.
func (g *group) ended(node int, runner string, request poison.Identity, trial bool) {
	now := time.Now()
	run := poison.Run{Request: request, Sent: now.Add(-100 * time.Millisecond), Ended: now, Trial: trial}
	g.nodes[g.order[node]].Crashed(crash.Crash{Runner: runner, Requests: []poison.Identity{request}, Contents: []poison.Run{run}})
	synctest.Wait()
}

// tryAll lets each node ask for a trial and returns how many are granted.
func (g *group) tryAll(t *testing.T) (granted int) {
	for _, address := range g.order {
		decision := g.nodes[address].Check(request, nil)
		if decision.Verdict != poison.Held {
			continue
		}
		if ok, _ := g.nodes[address].Trial(t.Context(), decision.Held, "trial at "+address); ok {
			granted++
		}
	}
	return granted
}

// TestOneTrialAtATime checks that a content at two ends is held at all nodes and tried by one of them at a time,
// also where nodes that are asked first are gone, and what the outcomes of a trial lead to.
func TestOneTrialAtATime(t *testing.T) {
	for _, gone := range []int{0, 3} {
		t.Run(fmt.Sprintf("%d gone", gone), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := newGroup(t, 12)
				for number := range gone {
					g.gone[g.order[number]] = true
				}
				g.ended(5, "r1", request, false)
				time.Sleep(time.Second)
				g.ended(6, "r2", request, false)
				assert.Equal(t, g.tryAll(t), 0, "attempts under way may show as much")
				time.Sleep(trialDelay + trialPause)
				assert.Equal(t, g.tryAll(t), 1)
				time.Sleep(trialPause)
				assert.Equal(t, g.tryAll(t), 0)
				g.nodes[g.order[7]].TrialEnded([]poison.Identity{request}, "any")
				synctest.Wait()
				time.Sleep(trialPause)
				assert.Equal(t, g.tryAll(t), 1, "a trial that showed nothing")
				g.ended(7, "r3", request, true)
				assert.Equal(t, len(g.unaware(request)), 0)
				time.Sleep(trialPeriod)
				assert.Equal(t, g.tryAll(t), 0, "refused")
			})
		})
	}
}

// TestTrialClearsAContent checks that a trial that succeeds clears a content at all nodes, that it must fail two
// trials from then on, and that the end of a trial counts although an attempt that was under way overlaps it.
func TestTrialClearsAContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		g.ended(5, "r1", request, false)
		g.ended(6, "r2", request, false)
		for _, address := range g.order {
			assert.Equal(t, g.nodes[address].Check(request, nil).Verdict, poison.Held, "two ends at once")
		}
		time.Sleep(trialDelay)
		assert.Equal(t, g.tryAll(t), 1)
		assert.Assert(t, g.nodes[g.order[8]].Succeeded(request))
		synctest.Wait()
		for _, address := range g.order {
			assert.Equal(t, g.nodes[address].Check(request, nil).Verdict, poison.Allowed, address)
		}
		for number := range 2 {
			time.Sleep(time.Second)
			g.ended(number, fmt.Sprint("again ", number), request, false)
		}
		assert.Equal(t, g.nodes[g.order[9]].Check(request, nil).Verdict, poison.Allowed, "held at three ends")
		time.Sleep(time.Second)
		g.ended(3, "again 2", request, false)
		assert.Equal(t, g.nodes[g.order[9]].Check(request, nil).Verdict, poison.Held)
		// An attempt that was under way before the trial overlaps it.
		time.Sleep(60 * time.Millisecond)
		g.ended(4, "again 3", request, true)
		assert.Equal(t, g.nodes[g.order[9]].Check(request, nil).Verdict, poison.Held, "one trial failed")
		time.Sleep(time.Second)
		g.ended(5, "again 4", request, true)
		assert.Equal(t, g.nodes[g.order[9]].Check(request, nil).Verdict, poison.Refused)
	})
}

// TestTrialsAtOneRunnerWereAllBlamed: two contents were tried at the same runner at the same time, which one of them
// crashed, and both were refused. One trial at a runner may be under way.
func TestTrialsAtOneRunnerWereAllBlamed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		other := poison.Content{Path: "/other"}.Identity()
		first, second := g.nodes[g.order[5]], g.nodes[g.order[6]]
		ask := func(q *Quarantine, request poison.Identity, runner string) bool {
			time.Sleep(trialPause)
			granted, _ := q.Trial(t.Context(), []poison.Identity{request}, runner)
			return granted
		}
		assert.Assert(t, ask(first, request, "r1"))
		assert.Assert(t, !ask(second, other, "r1"))
		assert.Assert(t, ask(second, other, "r2"))
		first.TrialEnded([]poison.Identity{request}, "r1")
		synctest.Wait()
		assert.Assert(t, ask(first, request, "r1"))
	})
}
