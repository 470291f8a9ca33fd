package test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/place"
	"lilacvane/platform/protocol"
)

// regions maps the zones of the tests to two regions.
var regions = place.Map{"zone-a": "north", "zone-b": "south", "zone-c": "south"}

// newTwoRegionWorld starts a world whose zones are in two regions.
func newTwoRegionWorld(t *testing.T) *world.World {
	t.Helper()
	return newWorld(t, func(options *world.Options) { options.Zones = regions })
}

// tenantWithHome returns a tenant whose requests may only be served in one region.
func tenantWithHome(name, region string) protocol.Tenant {
	return protocol.Tenant{Name: name, APIKeys: []string{name + "-key"}, Homes: []string{region}}
}

func startMailer(t *testing.T, w *world.World, name, zone string) {
	t.Helper()
	_, err := w.StartRunner(world.RunnerOptions{Name: name, Service: world.MailService, Zone: zone, Slots: 8, TokenTime: time.Millisecond})
	assert.NilError(t, err)
}

// assertRunsInRegion checks that all runs of a tenant's requests were at runners in a
// region, and returns the number of these runs.
func (h history) assertRunsInRegion(t *testing.T, w *world.World, tenant, region string) int {
	t.Helper()
	runs := 0
	for _, record := range h.records {
		if record.Event != journal.EventRun || record.Tenant != tenant {
			continue
		}
		runs++
		zone := w.ZoneOf(record.Runner)
		assert.Equal(t, string(regions.Region(place.Zone(zone))), region, "%+v ran in %s", record, zone)
	}
	return runs
}

// TestRequestsStayHome: a tenant's requests are served in its home region while runners are
// killed and requests are repeated, from nodes of both regions. They are refused at once
// while no runner is listed there, and served again when one is.
func TestRequestsStayHome(t *testing.T) {
	t.Parallel()
	w := newTwoRegionWorld(t)
	startMailer(t, w, "north-1", "zone-a")
	startMailer(t, w, "north-2", "zone-a")
	startMailer(t, w, "south-1", "zone-b")
	startMailer(t, w, "south-2", "zone-c")
	nodes := startNodes(t, w, 3)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{tenantWithHome("northern", "north"), tenantWithHome("southern", "south"), newTenant("any", 0, 0)}))
	waitStatus(t, "northern-key", http.StatusOK, nodes...)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var group sync.WaitGroup
	for _, node := range nodes {
		for _, key := range []string{"northern-key", "southern-key", "any-key"} {
			sendAtRate(ctx, &group, node, key, 20, func(int) {})
		}
	}
	killRunner(t, w, "north-1")
	waitStatus(t, "northern-key", http.StatusOK, nodes...)
	w.Runners["north-2"].Kill()
	time.Sleep(300 * time.Millisecond)
	assert.NilError(t, w.Unlist("north-2"))
	waitStatus(t, "northern-key", http.StatusServiceUnavailable, nodes...)
	for _, node := range nodes {
		assertRefusedAtOnce(t, w, node, clientRequest{Path: "/read/x", Key: "northern-key"})
		assert.Equal(t, send(t.Context(), node, clientRequest{Path: "/read/x", Key: "southern-key"}).Status, http.StatusOK)
	}
	waitUntil(t, "bytes between regions are counted", func() error {
		for _, purpose := range []string{"requests", "demand"} {
			if !countsBetweenRegions(t, nodes, purpose) {
				return fmt.Errorf("none for %s", purpose)
			}
		}
		return nil
	})
	startMailer(t, w, "north-3", "zone-a")
	waitStatus(t, "northern-key", http.StatusOK, nodes...)
	cancel()
	group.Wait()
	h := readHistory(t, w)
	for tenant, region := range map[string]string{"northern": "north", "southern": "south"} {
		assert.Assert(t, h.assertRunsInRegion(t, w, tenant, region) > 0, "%s ran nothing", tenant)
	}
}

// countsBetweenRegions reports whether any node counts bytes sent to other regions for a
// purpose.
func countsBetweenRegions(t *testing.T, nodes []*world.Node, purpose string) bool {
	t.Helper()
	for _, node := range nodes {
		response, err := http.Get("http://" + node.Metrics + "/metrics")
		assert.NilError(t, err)
		content, err := io.ReadAll(response.Body)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
		if strings.Contains(string(content), `lilacvane_region_bytes_total{direction="sent",purpose="`+purpose+`"}`) {
			return true
		}
	}
	return false
}

// assertRefusedAtOnce checks that a request is refused without a wait, as not run, with the
// reason and a Retry-After time.
func assertRefusedAtOnce(t *testing.T, w *world.World, node *world.Node, c clientRequest) {
	t.Helper()
	got := send(t.Context(), node, c)
	assert.Equal(t, got.Status, http.StatusServiceUnavailable, got.Body)
	assert.Assert(t, strings.Contains(got.Body, "outside_homes"), got.Body)
	retry, err := strconv.ParseFloat(got.RetryAfter, 64)
	assert.NilError(t, err)
	assert.Assert(t, retry > 0)
	waitUntil(t, "the refusal is logged", func() error {
		for line := range strings.Lines(readFile(t, w.LogPath(node))) {
			if strings.Contains(line, "request ended") && strings.Contains(line, got.ID) {
				assert.Assert(t, strings.Contains(line, `"waitedMs":0,`) && strings.Contains(line, "outside_homes"), line)
				return nil
			}
		}
		return fmt.Errorf("not yet")
	})
}

// TestModelsAreLoadedAtHome: a model that another region holds is loaded in the home region
// of a tenant that requests it, and a stream whose runner is killed continues there.
func TestModelsAreLoadedAtHome(t *testing.T) {
	t.Parallel()
	w := newTwoRegionWorld(t)
	for index, zone := range []string{"zone-a", "zone-a", "zone-b", "zone-c"} {
		startRunner(t, w, fmt.Sprintf("runner-%d", index+1), zone)
	}
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 4)...)
	waitKnown(t, "alpha", nodes...)
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{tenantWithHome("northern", "north"), tenantWithHome("southern", "south")}))
	waitDraft(t, nodes[0], "southern-key")
	waitDraft(t, nodes[1], "northern-key")
	apply(t, nodes[0], readyPolicy("alpha", 4))
	waitUntil(t, "all runners hold the model", func() error {
		if held := runnersHolding(t, nodes[0], "alpha"); len(held) != 4 {
			return fmt.Errorf("held at %v", held)
		}
		return nil
	})
	id := newID()
	done := make(chan clientAnswer, 1)
	go func() {
		done <- send(t.Context(), nodes[2], clientRequest{ID: id, Path: "/draft/x", Model: "alpha", Events: 150, Key: "northern-key"})
	}()
	var first string
	waitUntil(t, "the stream runs", func() error {
		if first = readHistory(t, w).runRecord(id).Runner; first == "" {
			return fmt.Errorf("not yet")
		}
		return nil
	})
	time.Sleep(300 * time.Millisecond)
	killRunner(t, w, first)
	got := <-done
	assert.Assert(t, got.Complete && got.Body == expectedEvents(id, 150), "%d: %d events", got.Status, got.Events)
	for _, node := range nodes {
		c := call{Model: "alpha", Prompt: "at home " + node.Name, Tokens: 3, Key: "once-" + node.Name, Bearer: "northern-key"}
		assertServed(t, c, ask(t.Context(), node, c, nil))
	}
	h := readHistory(t, w)
	assert.Assert(t, h.assertRunsInRegion(t, w, "northern", "north") >= 1+len(nodes))
	h.assertRunsInRegion(t, w, "southern", "south")
}

// waitDraft waits until a draft of the model alpha is served for a key.
func waitDraft(t *testing.T, node *world.Node, key string) {
	t.Helper()
	waitUntil(t, "a draft is served for "+key, func() error {
		got := send(t.Context(), node, clientRequest{Path: "/draft/x", Model: "alpha", Events: 3, Key: key})
		if got.Status != http.StatusOK || !got.Complete {
			return fmt.Errorf("status %d: %s", got.Status, got.Body)
		}
		return nil
	})
}

// TestHomesOfOperatorsAreChecked: a home region that contains no zone is refused by name in
// operators' objects. In the platform's configuration, requests with such a home are never
// served elsewhere, and the problem is logged once.
func TestHomesOfOperatorsAreChecked(t *testing.T) {
	t.Parallel()
	w := newTwoRegionWorld(t)
	startMailer(t, w, "north-1", "zone-a")
	nodes := startNodes(t, w, 1)
	for _, object := range []api.Object{
		api.NewObject(api.KindTenant, "t", api.Tenant{Homes: []string{"north", "west"}}),
		api.NewObject(api.KindRoute, "r", api.Route{
			Host: world.RouteHost, PathPrefix: "/r/", Kind: "safe", Attempts: 1, Backends: []api.Backend{{Service: world.MailService, Weight: 1}}, Homes: []string{"west"},
		}),
	} {
		assert.ErrorContains(t, submit(t, nodes[0], object), `homes[`+strconv.Itoa(strings.Count(string(object.Spec), "north"))+`]: no zone lies in a region "west"`)
	}
	routes := world.DefaultRoutes()
	for index := range routes {
		if routes[index].Name == "read" {
			routes[index].Homes = []string{"west"}
		}
	}
	assert.NilError(t, w.Configure(routes))
	waitStatus(t, "", http.StatusServiceUnavailable, nodes...)
	assertRefusedAtOnce(t, w, nodes[0], clientRequest{Path: "/read/x"})
	assert.Equal(t, strings.Count(readFile(t, w.LogPath(nodes[0])), "homes in regions that are not known"), 1)
}
