package test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/platformstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
)

// waitAsleep waits until no replica is in memory at any runner.
func waitAsleep(t *testing.T, node *world.Node) {
	t.Helper()
	waitUntil(t, "all replicas sleep", func() error {
		runners, err := node.Client().Runners(t.Context(), "")
		if err != nil {
			return err
		}
		for _, runner := range runners {
			if runner.ReservedMiB > 0 || runner.State != "serving" {
				return fmt.Errorf("%s: %s, %d MiB", runner.Runner, runner.State, runner.ReservedMiB)
			}
		}
		if len(runners) == 0 {
			return fmt.Errorf("no runners")
		}
		return nil
	})
}

// assertNotAccepted checks that a change is answered truthfully while the table
// is down.
func assertNotAccepted(t *testing.T, node *world.Node) {
	t.Helper()
	submission := operator.Submission{Operation: "outage-change", Apply: []api.Object{
		api.NewObject(api.KindPolicy, "outage", api.Policy{Models: []string{"*"}, Ready: "1"}),
	}}
	_, err := node.Client().Submit(t.Context(), submission)
	assert.Assert(t, fault.IsCode(err, fault.CodeStoreUnavailable), "%v", err)
	assert.Equal(t, fault.OutcomeOf(err), fault.NotDone)
}

// TestServingWithTableDown: with the platform's table gone, sleeping models that
// hold grants wake, ready ones serve, claims are made, the configuration stays in
// force, changes are refused as not accepted; this goes on after a node is
// killed. The figures are logged against the same load with the table up.
func TestServingWithTableDown(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 2000)
	nodes := startNodes(t, w, 3)
	const models = 4
	for index := range models {
		apply(t, nodes[0], model(fmt.Sprintf("m%d", index), 2, 300)...)
	}
	for index := range models {
		waitGranted(t, fmt.Sprintf("m%d", index), 2, nodes...)
	}
	waitClaims(t, nodes)
	waitAsleep(t, nodes[0])
	wake := func(phase string, from []*world.Node) []time.Duration {
		var took []time.Duration
		for index := range models {
			c := call{Model: fmt.Sprintf("m%d", index), Prompt: phase, Tokens: 2, Key: fmt.Sprintf("%s-%d", phase, index), Deadline: 30 * time.Second}
			began := time.Now()
			assertServed(t, c, ask(t.Context(), from[index%len(from)], c, nil))
			took = append(took, time.Since(began))
		}
		return took
	}
	up := wake("table-up", nodes)
	waitAsleep(t, nodes[0])
	assert.NilError(t, w.SetTableFaults(platformstub.Faults{Down: true}))
	assert.NilError(t, w.SetMachinesDown(true))
	time.Sleep(5 * time.Second) // longer than every interval and expiry of these settings
	down := wake("table-down", nodes)
	assertNotAccepted(t, nodes[1])
	nodes[2].Kill()
	waitAsleep(t, nodes[0])
	killed := wake("table-down-node-killed", nodes[:2])
	t.Logf("cold requests served: table up %v, table down %v, and a node killed %v", up, down, killed)
	h := readHistory(t, w)
	h.assertMemory(t)
	for index := range models {
		assert.Assert(t, h.most(fmt.Sprintf("m%d", index)) <= 2)
	}
}

// TestRunnerReclaimedMidLoad: a runner's machine is reclaimed while it loads and
// the weight store is slow; the request waits and is served by another runner
// once the platform has confirmed the loss.
func TestRunnerReclaimedMidLoad(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 3, 1000)
	nodes := startNodes(t, w, 2)
	stuckModel(t, w, nodes[0], "alpha")
	c := call{Model: "alpha", Prompt: "waits", Tokens: 2, Deadline: time.Hour}
	result := inBackground(t.Context(), nodes[1], c, nil)
	waitWaiting(t, nodes[1], 1)
	grant, err := grantOf(t.Context(), nodes[0], "alpha")
	assert.NilError(t, err)
	gone := killEngine(t, w, grant.Items[0].Runner)
	assert.NilError(t, w.SlowWeights(10))
	assertServed(t, c, await(t, result))
	h := readHistory(t, w, gone)
	assert.Equal(t, h.most("alpha"), 1)
	assert.Equal(t, h.runs("waits"), 1)
}
