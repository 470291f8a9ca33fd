package test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/command"
	"lilacvane/internal/commandline"
	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/settings"
	"lilacvane/platform/protocol"
)

// newTenant returns a tenant whose only key is its name followed by "-key".
func newTenant(name string, rate, burst float64) protocol.Tenant {
	return protocol.Tenant{Name: name, APIKeys: []string{name + "-key"}, RatePerS: rate, Burst: burst}
}

// waitStatus waits until each node answers a request with this key with a status.
func waitStatus(t *testing.T, key string, status int, nodes ...*world.Node) {
	t.Helper()
	for _, node := range nodes {
		waitUntil(t, fmt.Sprintf("key %q is answered with %d", key, status), func() error {
			if got := send(t.Context(), node, clientRequest{Path: "/read/x", Key: key}); got.Status != status {
				return fmt.Errorf("status %d at %s", got.Status, node.Name)
			}
			return nil
		})
	}
}

// TestKeysAreChecked: a request runs under its tenant's name and without its key. Requests
// with unknown, missing or revoked keys do not run, and headers that only the system may
// set do not reach a runner as the client sent them.
func TestKeysAreChecked(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 1)
	nodes := startNodes(t, w, 2)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("first", 0, 0), newTenant("second", 0, 0)}))
	waitStatus(t, "", http.StatusUnauthorized, nodes...)
	forged := http.Header{protocol.HeaderTenant: {"second"}}
	served := send(t.Context(), nodes[1], clientRequest{Path: "/read/x", Key: "first-key", Header: forged})
	assert.Equal(t, served.Status, http.StatusOK)
	assert.Equal(t, readHistory(t, w).runRecord(served.ID).Tenant, "first")
	unknown := send(t.Context(), nodes[0], clientRequest{Path: "/read/x", Key: "third-key"})
	assert.Equal(t, unknown.Status, http.StatusUnauthorized)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("second", 0, 0)}))
	waitStatus(t, "first-key", http.StatusUnauthorized, nodes...)
	waitStatus(t, "second-key", http.StatusOK, nodes...)
	assert.Equal(t, readHistory(t, w).runRecord(unknown.ID).Event, journal.Event(""))
}

// TestRevokedKeyBesideStoreThatTurnsANodeAway: a node that gets no answer from the store
// learns of a revoked key from the other nodes.
func TestRevokedKeyBesideStoreThatTurnsANodeAway(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 1)
	nodes := startNodes(t, w, 3)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("first", 0, 0), newTenant("second", 0, 0)}))
	waitStatus(t, "first-key", http.StatusOK, nodes...)
	nodes[2].StoreProxy.Block()
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("second", 0, 0)}))
	waitStatus(t, "first-key", http.StatusUnauthorized, nodes...)
}

// runRecord returns the record of a request's run, or an empty one if it did not run.
func (h history) runRecord(id string) journal.Record {
	for _, record := range h.records {
		if record.Event == journal.EventRun && record.Request == id {
			return record
		}
	}
	return journal.Record{}
}

const (
	// hotRate and hotBurst are the limit of a tenant in these tests, in requests per second
	// and requests. Within hotWindow, all nodes together may exceed it by hotShare.
	hotRate   = 20.0
	hotBurst  = 10.0
	hotWindow = 2 * time.Second
	hotShare  = 0.1
)

// useShortLimitWindows makes tenants' limits apply to short windows.
func useShortLimitWindows(s *settings.Settings) {
	useShortIntervals(s)
	s.Limits = settings.Limits{Window: hotWindow, Share: hotShare}
}

// sendAtRate sends a tenant's requests to a node, rate per second, until ctx ends, and
// passes the status of each to onStatus.
func sendAtRate(ctx context.Context, group *sync.WaitGroup, node *world.Node, key string, rate float64, onStatus func(int)) {
	group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				group.Go(func() {
					onStatus(send(context.WithoutCancel(ctx), node, clientRequest{Path: "/read/x", Key: key}).Status)
				})
			}
		}
	})
}

// assertWithinLimit checks the number of a tenant's runs in every window.
func (h history) assertWithinLimit(t *testing.T, tenant string) (runs int) {
	t.Helper()
	most := int((hotRate*hotWindow.Seconds() + hotBurst) * (1 + hotShare))
	var times []time.Time
	for _, record := range h.records {
		if record.Event == journal.EventRun && record.Tenant == tenant {
			times = append(times, record.Time)
		}
	}
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) > hotWindow {
			first++
		}
		assert.Assert(t, i-first+1 <= most, "%d runs of %s within %s, at most %d", i-first+1, tenant, hotWindow, most)
	}
	return len(times)
}

// TestHotTenantKeepsItsLimit: a tenant that sends several times its limit to a few of the
// nodes gets about its limit and never more, also while nodes are killed, restarted, frozen
// and cut off from each other and the store. Another tenant within its limit loses nothing.
func TestHotTenantKeepsItsLimit(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.Adjust = useShortLimitWindows })
	startMailers(t, w, 3)
	nodes := startNodes(t, w, 4)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("hot", hotRate, hotBurst), newTenant("calm", hotRate, hotBurst)}))
	waitStatus(t, "hot-key", http.StatusOK, nodes...)
	waitStatus(t, "calm-key", http.StatusOK, nodes...)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	var mutex sync.Mutex
	hot, calm := make(map[int]int), make(map[int]int)
	count := func(counts map[int]int) func(int) {
		return func(status int) {
			mutex.Lock()
			defer mutex.Unlock()
			counts[status]++
		}
	}
	sendAtRate(ctx, &group, nodes[0], "hot-key", 2*hotRate, count(hot))
	sendAtRate(ctx, &group, nodes[1], "hot-key", 2*hotRate, count(hot))
	sendAtRate(ctx, &group, nodes[0], "calm-key", hotRate/6, count(calm))
	sendAtRate(ctx, &group, nodes[2], "calm-key", hotRate/6, count(calm))
	time.Sleep(5 * time.Second)
	mutex.Lock()
	served, total := hot[http.StatusOK], hot[http.StatusOK]+hot[http.StatusTooManyRequests]
	lost := calm[http.StatusTooManyRequests] + calm[http.StatusServiceUnavailable]
	mutex.Unlock()
	assert.Assert(t, float64(served) > 0.7*hotRate*5, "%d of %d served", served, total)
	assert.Equal(t, lost, 0, "%v", calm)

	nodes[1].Proxy.Set(faultproxy.SilenceResponses)
	time.Sleep(2 * time.Second)
	nodes[1].Proxy.Heal()
	nodes[3].Kill()
	assert.NilError(t, w.RestartNode(nodes[3]))
	sendAtRate(ctx, &group, nodes[3], "hot-key", hotRate, count(hot))
	time.Sleep(2 * time.Second)
	assert.NilError(t, nodes[2].Freeze())
	time.Sleep(2 * time.Second)
	assert.NilError(t, nodes[2].Thaw())
	cancel()
	group.Wait()
	runs := readHistory(t, w).assertWithinLimit(t, "hot")
	readHistory(t, w).assertWithinLimit(t, "calm")
	assert.Assert(t, runs >= served)
}

// startTokenLimitNodes starts nodes that serve the tenant "words", whose limit counts
// tokens, with rate per second and a burst of the same size.
func startTokenLimitNodes(t *testing.T, count int, rate float64) []*world.Node {
	t.Helper()
	w := newWorld(t, func(o *world.Options) { o.Adjust = useShortLimitWindows })
	startMailers(t, w, 1)
	nodes := startNodes(t, w, count)
	words := newTenant("words", rate, rate)
	words.Unit, words.RawTokens = protocol.UnitToken, 1
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{words}))
	waitStatus(t, "words-key", http.StatusOK, nodes...)
	return nodes
}

// TestLimitedRequestsAreTold: requests over a limit are refused with a time to retry, also
// those that could never be within it, and token counts that cannot be parsed are an error.
func TestLimitedRequestsAreTold(t *testing.T) {
	t.Parallel()
	nodes := startTokenLimitNodes(t, 1, 100)
	sendTokens := func(tokens string) clientAnswer {
		return send(t.Context(), nodes[0], clientRequest{Path: "/read/x", Key: "words-key", Header: http.Header{protocol.HeaderTokens: {tokens}}})
	}
	for _, tokens := range []string{"-1,2", "x", "1e3,5", "99999999999999999999,1", ""} {
		assert.Equal(t, sendTokens(tokens).Status, http.StatusBadRequest, "%q", tokens)
	}
	tooLarge := sendTokens("100000,1")
	assert.Equal(t, tooLarge.Status, http.StatusTooManyRequests)
	assert.Equal(t, tooLarge.RetryAfter, "10.00")
	waitUntil(t, "the limit is exhausted", func() error {
		got := sendTokens("30,10")
		if got.Status != http.StatusTooManyRequests {
			return errors.New("still served")
		}
		seconds, err := strconv.ParseFloat(got.RetryAfter, 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds > 0 && seconds < 2, "%s", got.RetryAfter)
		return nil
	})
}

// shownKey returns the key that a command printed.
func shownKey(t *testing.T, output string) string {
	t.Helper()
	_, key, found := strings.Cut(output, "key: ")
	assert.Assert(t, found, output)
	return strings.TrimSpace(key)
}

// TestOperatorsKeys: an operator adds a tenant, gives it a key, rotates and revokes it. A
// key is shown once and stored nowhere. Callers of completion calls need a key from then
// on.
func TestOperatorsKeys(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 2)
	apply(t, nodes[0], model("alpha", 1)...)
	waitKnown(t, "alpha", nodes...)
	run := func(code int, arguments ...string) string {
		t.Helper()
		output, got := lilacvane(t, nodes[0], arguments...)
		assert.Equal(t, got, code, "%v: %s", arguments, output)
		return output
	}
	answered := func(key string, status int) {
		t.Helper()
		for _, node := range nodes {
			waitUntil(t, fmt.Sprintf("a key is answered with %d", status), func() error {
				if got := ask(t.Context(), node, call{Model: "alpha", Prompt: "x", Tokens: 1, Bearer: key}, nil); got.Status != status {
					return fmt.Errorf("status %d", got.Status)
				}
				return nil
			})
		}
	}
	answered("", http.StatusOK)
	run(command.ExitNotFound, "tenant", "add", "club")
	run(commandline.ExitOK, "apply", "-f", "../samples/tenants.yaml", "--dry-run")
	bad := writeFile(t, "bad.yaml", "kind: Tenant\nname: club\nspec: {limit: {unit: words, rate: 1}}\n")
	run(commandline.ExitUsage, "apply", "-f", bad)
	good := writeFile(t, "good.yaml", "kind: Tenant\nname: club\nspec: {priority: 1, limit: {unit: tokens, rate: 100000, burst: 1000}}\n")
	run(commandline.ExitOK, "apply", "-f", good)
	answered("", http.StatusUnauthorized)
	first := shownKey(t, run(commandline.ExitOK, "tenant", "add", "club", "--id", "old"))
	answered(first, http.StatusOK)
	second := shownKey(t, run(commandline.ExitOK, "tenant", "rotate", "club", "--id", "new"))
	answered(second, http.StatusOK)
	answered(first, http.StatusUnauthorized)
	assert.Assert(t, strings.Contains(run(commandline.ExitOK, "tenant", "list"), "club"))
	run(command.ExitNotFound, "tenant", "revoke", "club", "old")
	run(commandline.ExitOK, "tenant", "revoke", "club", "new")
	answered(second, http.StatusUnauthorized)
	for _, node := range nodes {
		content, err := os.ReadFile(w.LogPath(node))
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(content), first) && !strings.Contains(string(content), second))
	}
}

// TestLargeRequestIsLentTogether: a request that costs more than any single lender's share,
// but less than the limit allows at once, is served.
func TestLargeRequestIsLentTogether(t *testing.T) {
	t.Parallel()
	nodes := startTokenLimitNodes(t, 4, 1000)
	for _, node := range nodes {
		waitUntil(t, "a large request is served", func() error {
			header := http.Header{protocol.HeaderTokens: {"600,10"}}
			if got := send(t.Context(), node, clientRequest{Path: "/read/x", Key: "words-key", Header: header}); got.Status != http.StatusOK {
				return fmt.Errorf("status %d", got.Status)
			}
			return nil
		})
	}
}
