package test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/runnerstub"
)

// Connections to a runner that was silent for 1.5 s gave up after 1.2 s without an
// acknowledgement, with the requests that were being sent.

const (
	// momentOfSilence is how long a sound runner is silent at a time.
	momentOfSilence = 1500 * time.Millisecond
	// silentTimes is how often the runners are silent, one after the other.
	silentTimes = 4
)

// TestRunnerSilentForAMomentLosesNothing: runners fall silent for a moment in turn, to all nodes.
// Requests that may not be repeated are served all the same, and no node takes itself for cut
// off.
func TestRunnerSilentForAMomentLosesNothing(t *testing.T) {
	t.Parallel()
	w := startCutWorld(t)
	for _, name := range []string{"mailer-1", "mailer-2", "mailer-3", "mailer-4"} {
		assert.NilError(t, w.world.SetRunnerFaults(name, runnerstub.Faults{SlowFactor: 15}))
	}
	holder := leaseHolder(t, w.world, w.nodes[0])
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { w.send(ctx) })
	for number := range silentTimes {
		time.Sleep(time.Second)
		var addresses []string
		for _, service := range []string{"runner", "mailer"} {
			addresses = append(addresses, w.world.Runners[service+"-"+string(rune('1'+number))].Proxy.Address())
		}
		w.setAllLinks(t, linkfault.Fault{Mode: linkfault.Hang, Addresses: addresses})
		time.Sleep(momentOfSilence)
		w.setAllLinks(t, linkfault.Fault{})
	}
	time.Sleep(time.Second)
	end()
	senders.Wait()
	w.checkRuns(t)
	lost := make(map[string]int)
	for id, exchange := range w.exchanges {
		if exchange.answer.Status != http.StatusOK || !exchange.answer.Complete {
			lost[exchange.request.Path]++
			t.Logf("%s at %s: %d after %s", id, exchange.request.Path, exchange.answer.Status, exchange.end.Sub(exchange.sent))
		}
	}
	assert.Equal(t, lost["/send/x"], 0, "%v of %d requests", lost, len(w.exchanges))
	assert.Equal(t, leaseHolder(t, w.world, w.nodes[0]), holder, "the lease was handed over")
	for _, node := range w.nodes {
		assert.Equal(t, len(linesContaining(readFile(t, w.world.LogPath(node)), `"cutOff":true`)), 0, "%s took itself for cut off", node.Name)
	}
}

// setAllLinks sets the fault on the paths of all nodes.
func (w *cutWorld) setAllLinks(t *testing.T, fault linkfault.Fault) {
	t.Helper()
	for _, node := range w.nodes {
		assert.NilError(t, w.world.SetLinks(node, fault))
	}
}
