package test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/linkfault"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/place"
	"lilacvane/platform/protocol"
)

// startRegionPaths starts nodes in the zones of two regions, one zone each in turn, with runners in
// both regions and the tenants "northern", "southern" and "any"; the paths to the runners can fail.
func startRegionPaths(t *testing.T, nodeCount int) (*world.World, []*world.Node) {
	t.Helper()
	w := newWorld(t, func(o *world.Options) { o.Zones, o.FaultyLinks = regions, true })
	startMailer(t, w, "north-1", "zone-a")
	startMailer(t, w, "south-1", "zone-b")
	startMailer(t, w, "south-2", "zone-c")
	startRunners(t, w, 1)
	nodes := startNodes(t, w, nodeCount)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{tenantWithHome("northern", "north"), tenantWithHome("southern", "south"), newTenant("any", 0, 0)}))
	waitStatus(t, "northern-key", http.StatusOK, nodes...)
	return w, nodes
}

// assertCarriedInRegion checks that only nodes of a region carried the requests, and returns how many
// of them were carried.
func assertCarriedInRegion(t *testing.T, w *world.World, requests []string, region place.Region) int {
	t.Helper()
	sent := make(map[string]bool, len(requests))
	for _, id := range requests {
		sent[id] = true
	}
	carried := 0
	for _, node := range w.Nodes {
		for _, line := range linesContaining(readFile(t, w.LogPath(node)), `"msg":"request carried"`) {
			_, rest, _ := strings.Cut(line, `"request":"`)
			id, _, _ := strings.Cut(rest, `"`)
			if !sent[id] {
				continue
			}
			carried++
			assert.Check(t, w.RegionOf(place.Zone(node.Zone)) == region, "%s, in %s, carried %s", node.Name, node.Zone, id)
		}
	}
	return carried
}

// TestBodyLeftItsHomesThroughAPeer: a request with homes was passed on through a node of another region
// when the path from its own node to the runner was broken.
func TestBodyLeftItsHomesThroughAPeer(t *testing.T) {
	t.Parallel()
	w, nodes := startRegionPaths(t, 4)
	sent := make(map[place.Region][]string)
	for _, node := range nodes[:2] {
		cutAndWait(t, w, node, "any-key")
		cutAndWait(t, w, node, "northern-key")
		cutAndWait(t, w, node, "southern-key")
		for range 40 {
			// Requests of tenants without homes open connections through nodes of both regions.
			assert.Check(t, send(t.Context(), node, clientRequest{Path: "/read/x", Key: "any-key"}).Status == http.StatusOK)
			for tenant, region := range map[string]place.Region{"northern": "north", "southern": "south"} {
				request := clientRequest{ID: newID(), Path: "/send/x", Method: http.MethodPost, Body: []byte("body of " + tenant), Key: tenant + "-key"}
				sent[region] = append(sent[region], request.ID)
				assert.Check(t, send(t.Context(), node, request).Status == http.StatusOK, "%s at %s", tenant, node.Name)
			}
		}
	}
	for region, requests := range sent {
		assert.Check(t, assertCarriedInRegion(t, w, requests, region) >= len(requests)/2, "few requests of %s were carried", region)
	}
}

// TestRequestWithoutPathInItsHomesIsRefused: the runners in the homes of a request are reached through
// nodes of other regions alone. The request is refused at once as not run, with a time to come back, and
// requests without homes are served. It is served once the path works again.
func TestRequestWithoutPathInItsHomesIsRefused(t *testing.T) {
	t.Parallel()
	w, nodes := startRegionPaths(t, 3)
	cutAndWait(t, w, nodes[0], "any-key")
	waitUntil(t, "the request is refused for its homes", func() error {
		if got := send(t.Context(), nodes[0], clientRequest{Path: "/read/x", Key: "northern-key"}); !strings.Contains(got.Body, "no_path_in_homes") {
			return fmt.Errorf("status %d: %s", got.Status, got.Body)
		}
		return nil
	})
	var requests []string
	for range 10 {
		request := clientRequest{ID: newID(), Path: "/send/x", Method: http.MethodPost, Body: []byte("body"), Key: "northern-key"}
		requests = append(requests, request.ID)
		got := send(t.Context(), nodes[0], request)
		assert.Equal(t, got.Status, http.StatusServiceUnavailable, got.Body)
		assert.Assert(t, strings.Contains(got.Body, "no_path_in_homes"), got.Body)
		retry, err := strconv.ParseFloat(got.RetryAfter, 64)
		assert.NilError(t, err)
		assert.Assert(t, retry > 0)
		assert.Equal(t, send(t.Context(), nodes[0], clientRequest{Path: "/read/x", Key: "southern-key"}).Status, http.StatusOK)
	}
	waitUntil(t, "the refusals are logged", func() error {
		log := readFile(t, w.LogPath(nodes[0]))
		for _, id := range requests {
			if len(linesContaining(log, `"request ended"`, id, `"attempts":0`, `"waitedMs":0`)) != 1 {
				return fmt.Errorf("%s: %q", id, linesContaining(log, id))
			}
		}
		return nil
	})
	assert.Equal(t, assertCarriedInRegion(t, w, requests, "north"), 0)
	assert.NilError(t, w.SetLinks(nodes[0], linkfault.Fault{}))
	waitStatus(t, "northern-key", http.StatusOK, nodes[0])
}
