package test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

const (
	// spreadNodes is more nodes than count crashes.
	spreadNodes = 12
	// spreadRunners is how many runners the requests reach at most while the store is away: those
	// that start again are not listed.
	spreadRunners = 24
	// spreadBound is how long after the first undisturbed node knows that a request is refused no
	// undisturbed node may send it.
	spreadBound = 500 * time.Millisecond
	// spreadPause is the time between requests that crash runners, spreadObserved how long they go
	// on after the first node refuses them.
	spreadPause    = 60 * time.Millisecond
	spreadObserved = 4 * time.Second
	// seldomPause and seldomObserved are the same for requests that each node gets seldom, so that
	// few nodes learn from crashes of their own.
	seldomPause    = 200 * time.Millisecond
	seldomObserved = 9 * time.Second
)

// startSpreadWorld starts a poisonWorld with more nodes than count crashes.
func startSpreadWorld(t *testing.T, pause time.Duration) *poisonWorld {
	t.Helper()
	return startPoisonWorld(t, poisonTest{
		renamed: true, proxiedNodes: true, nodes: spreadNodes, mailers: spreadRunners, downtime: 300 * time.Millisecond, poisonPause: pause,
		request: clientRequest{Path: "/send/x"},
	})
}

// refusedSince returns when a node first logged that it refuses a request; false if it did not.
func refusedSince(t *testing.T, w *world.World, node *world.Node) (time.Time, bool) {
	t.Helper()
	for _, line := range linesContaining(readFile(t, w.LogPath(node)), "request refused as runners end under it") {
		var entry struct{ Time time.Time }
		if json.Unmarshal([]byte(line), &entry) == nil {
			return entry.Time, true
		}
	}
	return time.Time{}, false
}

// waitRefused waits until a node refuses the request, and returns since when the first does.
func (p *poisonWorld) waitRefused(t *testing.T) (known time.Time) {
	t.Helper()
	waitUntil(t, "a node refuses the request", func() error {
		for _, node := range p.nodes {
			if since, refused := refusedSince(t, p.world, node); refused && (known.IsZero() || since.Before(known)) {
				known = since
			}
		}
		if known.IsZero() {
			return errNoNodeRefuses
		}
		return nil
	})
	return known
}

// checkSpread sends a request that crashes runners to the nodes in turn for a while after the first
// of them refuses it, and checks that none is sent later than spreadBound.
func (p *poisonWorld) checkSpread(t *testing.T, observed time.Duration) {
	t.Helper()
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { p.sendPoison(ctx) })
	known := p.waitRefused(t)
	time.Sleep(time.Until(known.Add(observed)))
	end()
	senders.Wait()
	sends := eventTimes(readHistory(t, p.world), journal.EventPoison)
	late := countAfter(sends, known.Add(spreadBound))
	t.Logf("refused at nodes %v after the first; %d sends later than %s, %d later than %s", p.refusedAfter(t, known), late, spreadBound,
		countAfter(sends, known.Add(propagationBound)), propagationBound)
	assert.Equal(t, late, 0)
}

// TestRefusedRequestWasSentOnWhileStoreWasAway: nodes that could not read the store did not know
// that others refused a request, and sent it on.
func TestRefusedRequestWasSentOnWhileStoreWasAway(t *testing.T) {
	t.Parallel()
	for name, fault := range map[string]func(p *poisonWorld) storestub.Faults{
		"busy":   func(*poisonWorld) storestub.Faults { return storestub.Faults{Down: storestub.Busy} },
		"silent": func(*poisonWorld) storestub.Faults { return storestub.Faults{Down: storestub.Silent} },
		"slow":   func(*poisonWorld) storestub.Faults { return storestub.Faults{DelayMs: 2500} },
		"for some": func(p *poisonWorld) storestub.Faults {
			faults := storestub.Faults{Down: storestub.Reset}
			for _, node := range p.nodes[:spreadNodes*3/4] {
				faults.Only = append(faults.Only, node.StoreHost())
			}
			return faults
		},
	} {
		// Not in parallel: each case starts some forty processes.
		t.Run(name, func(t *testing.T) {
			p := startSpreadWorld(t, spreadPause)
			assert.NilError(t, p.world.SetStoreFaults(fault(p)))
			p.checkSpread(t, spreadObserved)
		})
	}
}

// TestRefusedRequestWasSentOnWhileTableCallHung: a held call for the table of refused requests hung
// on a connection that had gone silent, long after the store answered other calls again.
func TestRefusedRequestWasSentOnWhileTableCallHung(t *testing.T) {
	t.Parallel()
	p := startSpreadWorld(t, seldomPause)
	// The change ends all held calls, so that new ones have just begun.
	assert.NilError(t, p.world.PutRows(protocol.Row{Table: protocol.PoisonTable, Key: "unrelated", Value: []byte("unreadable")}))
	time.Sleep(contactTime / 4)
	for _, node := range p.nodes {
		node.StoreProxy.SilenceOpen()
	}
	time.Sleep(contactTime)
	p.checkSpread(t, seldomObserved)
}

// TestCrashesWereForgottenWithTheirCounters: the nodes that counted crashes were killed between two
// crashes while the store was away, and the others had not kept what they had told.
func TestCrashesWereForgottenWithTheirCounters(t *testing.T) {
	t.Parallel()
	p := startSpreadWorld(t, spreadPause)
	assert.NilError(t, p.world.SetStoreFaults(storestub.Faults{Down: storestub.Busy}))
	witnesses := p.nodes[:maxCrashes+1]
	for crashes, node := range witnesses[:maxCrashes] {
		waitUntil(t, "the request crashes another runner", func() error {
			if len(eventTimes(readHistory(t, p.world), journal.EventCrash)) > crashes {
				return nil
			}
			_ = p.tryPoison(t.Context(), node)
			return errNoNodeRefuses
		})
		time.Sleep(spreadBound)
		for _, other := range p.nodes {
			if !slices.Contains(witnesses, other) {
				other.Kill()
			}
		}
		p.nodes = witnesses
	}
	before := len(eventTimes(readHistory(t, p.world), journal.EventPoison))
	for range 5 {
		for _, node := range witnesses {
			_ = p.tryPoison(t.Context(), node)
		}
	}
	sent := len(eventTimes(readHistory(t, p.world), journal.EventPoison)) - before
	if sent > 0 {
		p.showCrashes(t)
	}
	assert.Equal(t, sent, 0, "sent on after %d crashes", maxCrashes)
	assert.Assert(t, strings.Contains(readFile(t, p.world.LogPath(witnesses[maxCrashes])), "request refused as runners end under it"))
}

// showCrashes prints what the nodes found out about crashes, and what the runners did.
func (p *poisonWorld) showCrashes(t *testing.T) {
	t.Helper()
	for _, node := range p.nodes {
		for line := range strings.Lines(readFile(t, p.world.LogPath(node))) {
			if strings.Contains(line, "runner ended") || strings.Contains(line, "cannot determine") || strings.Contains(line, "probe of a runner unclear") || strings.Contains(line, "attempt failed") || strings.Contains(line, "crash report") || strings.Contains(line, "as runners end") {
				t.Logf("%s: %s", node.Name, line)
			}
		}
	}
	for _, record := range readHistory(t, p.world).records {
		if record.Event == journal.EventCrash || record.Event == journal.EventPoison {
			t.Logf("%+v", record)
		}
	}
}
