package test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/faultproxy"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

// tablesFromStore is the source of tables in the status of a node that reads the store
// itself.
const tablesFromStore = "store"

// storeReaders returns the nodes that read the store themselves.
func storeReaders(t *testing.T, nodes []*world.Node) ([]*world.Node, error) {
	t.Helper()
	var readers []*world.Node
	for _, node := range nodes {
		status, err := node.Client().Status(t.Context())
		if err != nil {
			return nil, err
		}
		if status.Tables == tablesFromStore {
			readers = append(readers, node)
		}
	}
	return readers, nil
}

// waitSingleRelay waits until exactly one of the nodes reads the store, for the others, and
// returns it.
func waitSingleRelay(t *testing.T, nodes []*world.Node) *world.Node {
	t.Helper()
	var relay *world.Node
	waitUntil(t, "one node reads the store for the others", func() error {
		readers, err := storeReaders(t, nodes)
		if err != nil {
			return err
		}
		if len(readers) != 1 {
			return fmt.Errorf("%d nodes read the store", len(readers))
		}
		relay = readers[0]
		return nil
	})
	return relay
}

// nodesExcept returns the nodes without one of them.
func nodesExcept(nodes []*world.Node, excluded *world.Node) []*world.Node {
	var others []*world.Node
	for _, node := range nodes {
		if node != excluded {
			others = append(others, node)
		}
	}
	return others
}

// applyConfiguration writes a configuration with an additional route and waits until the
// nodes have it.
func applyConfiguration(t *testing.T, w *world.World, number int, nodes []*world.Node) {
	t.Helper()
	before := make(map[*world.Node]uint64)
	for _, node := range nodes {
		status, err := node.Client().Status(t.Context())
		assert.NilError(t, err)
		before[node] = status.Configuration
	}
	assert.NilError(t, w.Configure(append(world.DefaultRoutes(), protocol.Route{
		Name: "step", Host: world.RouteHost, PathPrefix: fmt.Sprintf("/step%d/", number), Type: "safe", TimeoutMs: 3000, TargetMs: 500, Attempts: 1,
		Service: world.MailService,
	})))
	waitUntil(t, "the configuration is active", func() error {
		for _, node := range nodes {
			status, err := node.Client().Status(t.Context())
			if err != nil {
				return err
			}
			if status.Configuration <= before[node] {
				return fmt.Errorf("%s has %d, tables from %s", node.Name, status.Configuration, status.Tables)
			}
		}
		return nil
	})
}

// TestTablesComeThroughRelay: one node reads the store, and changes reach all nodes.
func TestTablesComeThroughRelay(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 5)
	relay := waitSingleRelay(t, nodes)
	for number := range 3 {
		applyConfiguration(t, w, number, nodes)
	}
	assert.Equal(t, waitSingleRelay(t, nodes), relay)
}

// TestTablesWhenRelayIsLost: the relay is frozen, cut off from its peers, cut off from the
// store, or killed right before a change. The change still reaches all other nodes, and
// afterwards one node reads the store for them again.
func TestTablesWhenRelayIsLost(t *testing.T) {
	t.Parallel()
	for name, lose := range map[string]func(*testing.T, *world.Node){
		"frozen":                   func(t *testing.T, node *world.Node) { assert.NilError(t, node.Freeze()) },
		"killed":                   func(_ *testing.T, node *world.Node) { node.Kill() },
		"stopped":                  func(t *testing.T, node *world.Node) { assert.NilError(t, node.Terminate()) },
		"cut off from peers":       func(_ *testing.T, node *world.Node) { node.Proxy.Set(faultproxy.Silence) },
		"answers to peers lost":    func(_ *testing.T, node *world.Node) { node.Proxy.Set(faultproxy.SilenceResponses) },
		"cut off from the store":   func(_ *testing.T, node *world.Node) { node.StoreProxy.Set(faultproxy.Silence) },
		"refused by the store":     func(_ *testing.T, node *world.Node) { node.StoreProxy.Block() },
		"the store's answers lost": func(_ *testing.T, node *world.Node) { node.StoreProxy.Set(faultproxy.SilenceResponses) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, nil)
			nodes := startNodes(t, w, 4)
			relay := waitSingleRelay(t, nodes)
			others := nodesExcept(nodes, relay)
			lose(t, relay)
			applyConfiguration(t, w, 1, others)
			if name != "cut off from peers" && name != "answers to peers lost" {
				waitSingleRelay(t, others)
			}
			applyConfiguration(t, w, 2, others)
			if name == "frozen" {
				assert.NilError(t, relay.Thaw())
				applyConfiguration(t, w, 3, nodes)
			}
		})
	}
}

// TestTablesAfterLostHistory: the store drops its history and returns stale reads. Nodes
// that follow a relay reach the newest state as well.
func TestTablesAfterLostHistory(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 4)
	waitSingleRelay(t, nodes)
	applyConfiguration(t, w, 1, nodes)
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{StaleMs: 300}))
	assert.NilError(t, w.ForgetHistory())
	applyConfiguration(t, w, 2, nodes)
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	applyConfiguration(t, w, 3, nodes)
	waitSingleRelay(t, nodes)
}

// TestHolderWithoutStoreIsReplaced: a lease holder that lost the store but still answers
// its peers is replaced. This failed when the other nodes took its answers as proof that it
// holds the lease and did not read the row.
func TestHolderWithoutStoreIsReplaced(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 3)
	holder := leaseHolder(t, w, nodes[0])
	others := nodesExcept(nodes, holder)
	holder.StoreProxy.Block()
	waitUntil(t, "another node holds the lease", func() error {
		if now := leaseHolder(t, w, others[0]); now == holder {
			return fmt.Errorf("%s still holds it", now.Name)
		}
		return nil
	})
}

// TestStoreTurnsTheRelayAway: the store refuses, throttles, drops or does not answer the
// node that reads it for the others, and serves the rest. Changes reach all nodes,
// including the rejected one.
func TestStoreTurnsTheRelayAway(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 4)
	number := 0
	for _, down := range []storestub.Rejection{storestub.Busy, storestub.TooManyRequests, storestub.Reset, storestub.Silent} {
		relay := waitSingleRelay(t, nodes)
		assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: down, Only: []string{relay.StoreHost()}}))
		number++
		applyConfiguration(t, w, number, nodes)
		assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	}
}

// TestRunnersComeBackAfterLapse: the rows of all runners are removed and written again, as
// after an outage of the store, and requests are served. This failed when nodes considered
// the runners gone until their rows changed again.
func TestRunnersComeBackAfterLapse(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 4)
	nodes := startNodes(t, w, 3)
	for number := range 3 {
		assert.NilError(t, w.LapseRunners())
		applyConfiguration(t, w, number, nodes)
		for _, node := range nodes {
			got := send(t.Context(), node, clientRequest{Path: "/read/x"})
			assert.Equal(t, got.Status, 200, "%+v", got)
		}
	}
}
