package test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
)

const (
	// A cold runner in these tests can serve coldRate requests a second. All nodes together
	// may send it coldShare times that rate plus coldSlack, that is coldMaxPerSecond.
	coldRate         = 4.0
	coldShare        = 1.5
	coldSlack        = 2.0
	coldMaxPerSecond = 8
)

// newColdWorld starts a world whose runners may be cold.
func newColdWorld(t *testing.T) *world.World {
	return newWorld(t, func(o *world.Options) {
		o.ColdStart, o.ColdRate = 2*time.Second, coldRate
		o.Adjust = func(s *settings.Settings) {
			useShortIntervals(s)
			s.ColdStart = settings.ColdStart{Share: coldShare, Slack: coldSlack}
		}
	})
}

// waitCold waits until each node reports this number of cold runners.
func waitCold(t *testing.T, count int, nodes ...*world.Node) {
	t.Helper()
	for _, node := range nodes {
		waitUntil(t, fmt.Sprintf("%s knows %d cold runners", node.Name, count), func() error {
			response, err := http.Get("http://" + node.Metrics + "/metrics")
			if err != nil {
				return err
			}
			defer response.Body.Close()
			text, err := io.ReadAll(response.Body)
			if err != nil {
				return err
			}
			if wanted := fmt.Sprintf("\nlilacvane_runners_cold %d\n", count); !strings.Contains(string(text), wanted) {
				return fmt.Errorf("no line %q", wanted)
			}
			return nil
		})
	}
}

// sendTimes returns when each request was last sent to a runner, according to the nodes'
// logs.
func sendTimes(t *testing.T, w *world.World, runner string) map[string]time.Time {
	t.Helper()
	sent := make(map[string]time.Time)
	for _, node := range w.Nodes {
		maps.Copy(sent, sendTimesFrom(t, w, node, runner))
	}
	return sent
}

// sendTimesFrom is sendTimes for one node.
func sendTimesFrom(t *testing.T, w *world.World, node *world.Node, runner string) map[string]time.Time {
	t.Helper()
	sent := make(map[string]time.Time)
	file, err := os.Open(w.LogPath(node))
	assert.NilError(t, err)
	defer file.Close()
	lines := bufio.NewScanner(file)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			Time    time.Time
			Msg     string
			Request string
			Runner  string
		}
		if json.Unmarshal(lines.Bytes(), &line) != nil || line.Msg != "request sent" {
			continue
		}
		// Nodes log a runner's incarnation: its name and, after an "@", the time of its
		// start.
		if name, _, _ := strings.Cut(line.Runner, "@"); name == runner {
			sent[line.Request] = line.Time
		}
	}
	assert.NilError(t, lines.Err())
	return sent
}

// maxSentAndRunInSecond returns the largest number of requests that were sent to a runner
// and began to run there within the same second, and the number of all requests that ran,
// between two times.
func maxSentAndRunInSecond(t *testing.T, w *world.World, runner string, from, to time.Time) (most, all int) {
	t.Helper()
	type exchange struct{ sent, ran time.Time }
	var exchanges []exchange
	sent := sendTimes(t, w, runner)
	for _, record := range readHistory(t, w).records {
		if record.Event != journal.EventRun || record.Runner != runner || record.Time.Before(from) || record.Time.After(to) {
			continue
		}
		at, known := sent[record.Request]
		assert.Assert(t, known, "no node sent %+v", record)
		exchanges = append(exchanges, exchange{sent: at, ran: record.Time})
	}
	slices.SortFunc(exchanges, func(a, b exchange) int { return a.sent.Compare(b.sent) })
	for i, first := range exchanges {
		end, count := first.sent.Add(time.Second), 0
		for _, other := range exchanges[i:] {
			if !other.sent.After(end) && !other.ran.After(end) {
				count++
			}
		}
		most = max(most, count)
	}
	return most, len(exchanges)
}

// nodesWithRunsAt returns the nodes whose requests ran at a runner between two times.
func nodesWithRunsAt(t *testing.T, w *world.World, runner string, from, to time.Time) map[string]bool {
	t.Helper()
	ran := make(map[string]bool)
	for _, record := range readHistory(t, w).records {
		if record.Event == journal.EventRun && record.Runner == runner && record.Time.After(from) && record.Time.Before(to) {
			ran[record.Request] = true
		}
	}
	senders := make(map[string]bool)
	for _, node := range w.Nodes {
		for request := range sendTimesFrom(t, w, node, runner) {
			if ran[request] {
				senders[node.Name] = true
			}
		}
	}
	return senders
}

// TestColdRunnerGetsItsBound: a runner that becomes cold under load receives no more than
// its bound from all nodes together, also while the node that lends the permits is frozen,
// and it does not collapse. It keeps serving, and serves more once it is warm.
func TestColdRunnerGetsItsBound(t *testing.T) {
	t.Parallel()
	w := newColdWorld(t)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 4)
	apply(t, nodes[0], model("alpha", 1)...)
	waitKnown(t, "alpha", nodes...)
	assertServed(t, call{Model: "alpha", Prompt: "first", Tokens: 2}, ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: "first", Tokens: 2, Deadline: waitTimeout}, nil))
	assert.NilError(t, w.SetRunnerCold("runner-1", runnerstub.Cold{ForMs: time.Hour.Milliseconds(), Collapse: 3 * coldMaxPerSecond}))
	waitCold(t, 1, nodes...)
	from := time.Now()
	load := startLoad(t, 12, func(who, number int) (*world.Node, call) {
		return nodes[who%len(nodes)], call{Model: "alpha", Prompt: fmt.Sprintf("p%d-%d", who, number), Tokens: 2, Deadline: 20 * time.Second}
	})
	load.waitServed(t, 2*coldMaxPerSecond)
	holder := leaseHolder(t, w, nodes[0])
	// A request at a frozen node never ends, and the test would wait for it.
	t.Cleanup(func() { assert.Check(t, holder.Thaw()) })
	assert.NilError(t, holder.Freeze())
	load.waitServed(t, 2*coldMaxPerSecond)
	assert.NilError(t, holder.Thaw())
	load.waitServed(t, 2*coldMaxPerSecond)
	to := time.Now()
	assert.NilError(t, w.SetRunnerCold("runner-1", runnerstub.Cold{}))
	waitCold(t, 0, nodes...)
	load.waitServed(t, 10*coldMaxPerSecond)
	load.finish()
	most, all := maxSentAndRunInSecond(t, w, "runner-1", from, to)
	assert.Equal(t, len(nodesWithRunsAt(t, w, "runner-1", from, to)), len(nodes), "permits reach every node")
	assert.Assert(t, all >= 6*coldMaxPerSecond, "%d ran", all)
	assert.Assert(t, most <= coldMaxPerSecond, "%d in one second, at most %d", most, coldMaxPerSecond)
	h := readHistory(t, w)
	for _, record := range h.records {
		assert.Assert(t, record.Event != journal.EventViolation, "%+v", record)
	}
	load.assertTruthful(t, h)
}
