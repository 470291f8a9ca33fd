package test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
	"lilacvane/platform/protocol"
)

// setZoneOut takes a zone out, or back in, as the platform's operator does.
func setZoneOut(t *testing.T, w *world.World, zone string, back bool) {
	t.Helper()
	assert.NilError(t, w.PutRows(protocol.Row{
		Table: protocol.OperatorTable, Key: protocol.EvacuationPrefix + zone, Value: []byte("{}"), Deleted: back,
	}))
}

// waitZone waits until the last state of a zone that each node has logged is state.
func waitZone(t *testing.T, w *world.World, zone, state string, nodes ...*world.Node) {
	t.Helper()
	for _, node := range nodes {
		waitUntil(t, node.Name+" knows that "+zone+" is "+state, func() error {
			if last := lastLineWith(readLog(t, w, node), "zone's state changed", `"zone":"`+zone+`"`); !hasLineWith(last, `"state":"`+state+`"`) {
				return fmt.Errorf("its last logged state is %q", last)
			}
			return nil
		})
	}
}

// assertNothingNewIn checks that nothing was started or unloaded in a zone between two
// instants.
func assertNothingNewIn(t *testing.T, h history, zone string, from, until time.Time) {
	t.Helper()
	for _, record := range h.records {
		if zoneOf(record.Runner) != zone || record.Time.Before(from) || record.Time.After(until) {
			continue
		}
		switch record.Event {
		case journal.EventRun, journal.EventLoad, journal.EventUnloaded:
			t.Errorf("in %s, which is out: %+v", zone, record)
		}
	}
}

// zoneOf returns the zone in which startRunners places a runner.
func zoneOf(runner string) string {
	var number int
	if _, err := fmt.Sscanf(runner, "runner-%d", &number); err != nil {
		return ""
	}
	return zones[(number-1)%len(zones)]
}

// runnerOfPrompt waits until a prompt runs and returns the runner.
func runnerOfPrompt(t *testing.T, w *world.World, prompt string) (runner string) {
	t.Helper()
	waitUntil(t, prompt+" runs", func() error {
		for _, record := range readHistory(t, w).records {
			if record.Event == journal.EventRun && record.Prompt == prompt {
				runner = record.Runner
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
	return runner
}

// TestZoneOutGetsNothingNew: a zone is taken out under load, while a stream runs there and
// a request waits for a model that no runner holds. The stream completes, and the waiting
// request and all others are served elsewhere. Nothing is run, loaded or unloaded in the
// zone, not even for a model whose only permitted replica is there. After its return the
// zone serves again.
func TestZoneOutGetsNothingNew(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 3, 3, append(model("alpha", 3), readyPolicy("alpha", 3))...)
	apply(t, nodes[0], append(model("beta", 3), model("only", 1)...)...)
	waitKnown(t, "beta", nodes...)
	waitKnown(t, "only", nodes...)
	long := call{Model: "only", Prompt: "long", Tokens: 600, Deadline: 50 * time.Second}
	stream := sendInBackground(t.Context(), nodes[0], long, nil)
	zone := zoneOf(runnerOfPrompt(t, w, "long"))
	load := startLoad(t, 3, func(who, number int) (*world.Node, call) {
		return nodes[who], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 5)
	setZoneOut(t, w, zone, false)
	waitZone(t, w, zone, "out", nodes...)
	learned := time.Now()
	waits := call{Model: "beta", Prompt: "waits", Tokens: 4, Deadline: 20 * time.Second}
	assertServed(t, waits, awaitOutcome(t, sendInBackground(t.Context(), nodes[1], waits, nil)))
	unserved := call{Model: "only", Prompt: "unserved", Tokens: 4, Deadline: 2 * time.Second}
	got := awaitOutcome(t, sendInBackground(t.Context(), nodes[1], unserved, nil))
	assert.Assert(t, !got.Served && got.Ran == "no", "%+v", got)
	load.waitServed(t, 10)
	assertServed(t, long, awaitOutcome(t, stream))
	assert.Assert(t, zoneOf(runnerOfPrompt(t, w, "waits")) != zone)
	assertNothingNewIn(t, readHistory(t, w), zone, learned, time.Now())
	setZoneOut(t, w, zone, true)
	waitZone(t, w, zone, "in", nodes...)
	returned := call{Model: "only", Prompt: "returned", Tokens: 4, Deadline: 20 * time.Second}
	assertServed(t, returned, ask(t.Context(), nodes[2], returned, nil))
	load.finish()
	load.assertTruthful(t, readHistory(t, w))
}

// TestZoneOutThroughFaults: the zone is taken out while the store rejects one node, another
// one is frozen, a third is killed right after and restarted, and the history is dropped.
// No node that has read the change sends anything new there, and every node reads it
// eventually and does not return to the older state. Then a second zone is taken out, and
// the first is taken back in and out again immediately.
func TestZoneOutThroughFaults(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 6, 4, append(model("alpha", 6), readyPolicy("alpha", 3))...)
	load := startLoad(t, 4, func(who, number int) (*world.Node, call) {
		return nodes[who], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 4, Deadline: 10 * time.Second}
	})
	load.waitServed(t, 5)
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: storestub.Busy, Only: []string{nodes[3].StoreHost()}}))
	assert.NilError(t, nodes[2].Freeze())
	setZoneOut(t, w, zones[0], false)
	nodes[1].Kill()
	assert.NilError(t, w.RestartNode(nodes[1]))
	assert.NilError(t, w.ForgetHistory())
	assert.NilError(t, nodes[2].Thaw())
	waitZone(t, w, zones[0], "out", nodes...)
	first := time.Now()
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	load.waitServed(t, 10)
	setZoneOut(t, w, zones[1], false)
	waitZone(t, w, zones[1], "out", nodes...)
	second := time.Now()
	load.waitServed(t, 10)
	again := time.Now()
	h := readHistory(t, w)
	assertNothingNewIn(t, h, zones[0], first, again)
	assertNothingNewIn(t, h, zones[1], second, again)
	setZoneOut(t, w, zones[0], true)
	setZoneOut(t, w, zones[0], false)
	// A node may not have read the change yet, so that its last logged state is from the
	// first time.
	third := time.Now().Add(settings.Default().Evacuation.Within)
	waitUntil(t, "the zone must be out", func() error {
		if left := time.Until(third); left > 0 {
			return fmt.Errorf("%v left", left)
		}
		return nil
	})
	waitZone(t, w, zones[0], "out", nodes...)
	load.waitServed(t, 10)
	load.finish()
	h = readHistory(t, w)
	assertNothingNewIn(t, h, zones[0], third, time.Now())
	load.assertTruthful(t, h)
}

// TestAllZonesOut: with all zones out, requests are refused at once, as not run and with a
// time to retry, and are served again when a zone is back. Nodes that are all killed right
// after the zones went out know that they are out when they serve again.
func TestAllZonesOut(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 3)
	nodes := startNodes(t, w, 3)
	read := clientRequest{Path: "/read/x"}
	for _, zone := range zones {
		setZoneOut(t, w, zone, false)
	}
	setZoneOut(t, w, "zone-nobody-knows", false)
	var restarts sync.WaitGroup
	for _, node := range nodes {
		node.Kill()
	}
	for _, node := range nodes {
		restarts.Go(func() { assert.Check(t, w.RestartNode(node)) })
	}
	restarts.Wait()
	for _, node := range nodes {
		assert.NilError(t, node.WaitReady())
		got := send(t.Context(), node, read)
		assert.Equal(t, got.Status, 503)
		assert.Assert(t, got.RetryAfter != "", "%+v", got)
	}
	ran := len(readHistory(t, w).records)
	setZoneOut(t, w, zones[0], true)
	for _, node := range nodes {
		waitUntil(t, "requests are served again", func() error {
			if got := send(t.Context(), node, read); got.Status != 200 {
				return fmt.Errorf("%+v", got)
			}
			return nil
		})
	}
	for _, record := range readHistory(t, w).records[ran:] {
		assert.Assert(t, record.Event != journal.EventRun || record.Runner == "mailer-1", "%+v", record)
	}
}
