package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/poison"
	"lilacvane/internal/wire"
)

// endedTogether returns runs of a part on some runners that ended at one moment.
func endedTogether(part poison.Identity, name string, count int, at time.Time) (runners []string, runs []poison.Run) {
	for number := range count {
		runners = append(runners, fmt.Sprint(name, number))
		runs = append(runs, poison.Run{Request: part, Sent: at.Add(-time.Second), Ended: at})
	}
	return runners, runs
}

// TestPartKnownByMarksWasExcused: a part ends a runner, then six at one moment, twice. A node has the reports of another
// part that ran on these, and knows of the guilty one by marks alone, of which the second lacks the ends that
// do not count. It must not take the ends for an outage, nor tell the other nodes so.
func TestPartKnownByMarksWasExcused(t *testing.T) {
	const together = 6
	synctest.Test(t, func(t *testing.T) {
		g := newGroup(t, 12)
		q := g.nodes[g.order[0]]
		guilty, sound := poison.PartIdentity("s", "guilty"), poison.PartIdentity("s", "sound")
		now := time.Now()
		full := poison.Finding{Request: guilty, Runners: []string{"first"}, Runs: []poison.Run{{Request: guilty, Sent: now.Add(-5 * time.Second), Ended: now.Add(-4 * time.Second)}}, Controlled: true}
		for burst, at := range []time.Time{now.Add(-2 * time.Second), now} {
			runners, runs := endedTogether(guilty, fmt.Sprint("burst", burst, "-"), together, at)
			full.Runners, full.Runs = append(full.Runners, runners[0]), append(full.Runs, runs[0])
			full.Beside, full.BesideRuns = append(full.Beside, runners[1:]...), append(full.BesideRuns, runs[1:]...)
		}
		for i, runner := range full.All() {
			if i > 0 {
				at := append(full.Runs, full.BesideRuns...)[i].Ended
				q.AddReport(wire.PoisonReport{Crashes: []wire.CrashReport{{Runner: runner, Parts: wireRuns([]poison.Run{{Request: sound, Sent: at.Add(-time.Second), Ended: at}}, now)}}})
			}
		}
		counting := full
		counting.Beside, counting.BesideRuns = nil, nil
		for _, finding := range []poison.Finding{full, counting} {
			q.AddReport(wire.PoisonReport{Marks: wireMarks(poison.NewMarks().Put([]poison.Finding{finding}, now))})
		}
		assert.Equal(t, len(q.disputed), 0)
		for range 5 {
			time.Sleep(time.Second)
			q.exchange()
			synctest.Wait()
		}
		for _, address := range g.order {
			assert.Check(t, blamed(g.nodes[address], guilty), "%s", address)
		}
	})
}
