package test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/command"
	"lilacvane/internal/commandline"
	"lilacvane/internal/eligible"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/wire"
)

// lilacvane runs the command line against a node and returns its output and exit code.
func lilacvane(t *testing.T, node *world.Node, arguments ...string) (string, int) {
	t.Helper()
	run := exec.CommandContext(t.Context(), filepath.Join(programs, "lilacvane"), arguments...)
	run.Env = append(os.Environ(), "LILACVANE_SERVER="+node.Operators)
	output, err := run.CombinedOutput()
	if err != nil && run.ProcessState == nil {
		t.Fatal(err)
	}
	return string(output), run.ProcessState.ExitCode()
}

// writeFile writes a file into a temporary directory of the test and returns its path.
func writeFile(t *testing.T, name, content string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), name)
	assert.NilError(t, os.WriteFile(path, []byte(content), 0o644))
	return path
}

const objectsFile = `
kind: Version
name: alpha-v1
spec: {model: alpha, checkpoint: alpha, memoryMiB: 300}
---
kind: Model
name: alpha
spec: {activeVersion: alpha-v1, replicas: 1}
---
kind: Policy
name: mornings
spec: {models: [alpha], ready: "weekday >= 1 && weekday <= 5 && hour >= 7 ? 1 : 0"}
`

// TestCommandLine goes through an operator's work: apply, conflicts, dry runs, policies,
// explanations and a drain. Exit codes are as documented.
func TestCommandLine(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 2)
	objects := writeFile(t, "objects.yaml", objectsFile)
	expect := newCommandCheck(t, nodes[0])
	expect(commandline.ExitOK, "nothing was changed", "apply", "-f", objects, "--dry-run")
	expect(command.ExitNotFound, "not_found", "get", "model", "alpha")
	expect(commandline.ExitOK, "accepted at revision", "apply", "-f", objects, "--operation", "day-1")
	expect(commandline.ExitOK, "accepted at revision", "operation", "day-1")
	expect(commandline.ExitOK, "alpha-v1", "get", "models")
	stale := writeFile(t, "stale.yaml", "kind: Model\nname: alpha\ngeneration: 999999\nspec: {activeVersion: alpha-v1, replicas: 2}\n")
	expect(command.ExitConflict, "you saw 999999", "apply", "-f", stale)
	bad := writeFile(t, "bad.yaml", "kind: Policy\nname: bad\nspec: {models: ['*'], ready: 'hour >= 7 &&\\n  nosuch'}\n")
	expect(commandline.ExitUsage, "line 1, column", "policy", "check", bad)
	expect(commandline.ExitUsage, "line 1, column", "apply", "-f", bad)
	expect(commandline.ExitOK, "keep 1 replicas of alpha ready", "policy", "try", "mornings", "--model", "alpha", "--region", "region-1", "--time-zone", "America/Montevideo", "--at", "2026-12-07T07:40")
	expect(commandline.ExitOK, "keep 0 replicas", "policy", "try", "mornings", "--model", "alpha", "--region", "region-1", "--at", "2026-12-06T07:40")
	c := call{Model: "alpha", Prompt: "words", Tokens: 3, Deadline: 30 * time.Second}
	got := ask(t.Context(), nodes[0], c, nil)
	assertServed(t, c, got)
	expect(commandline.ExitOK, "served by runner", "explain", "request", got.ID)
	expect(commandline.ExitOK, "order load", "explain", "model", "alpha")
	expect(commandline.ExitOK, "day-1", "history", "model", "alpha")
	expect(commandline.ExitOK, "node-2", "status")
	output := expect(commandline.ExitOK, "runner-1", "runners", "-o", "json")
	assert.Assert(t, json.Valid([]byte(output)))
	expect(commandline.ExitOK, "finished true", "drain", "start", "runner", "runner-1", "--wait")
	expect(commandline.ExitOK, "accepted", "drain", "end", "runner", "runner-1")
	expect(commandline.ExitOK, "accepted", "delete", "policy", "mornings")
	expect(commandline.ExitUsage, "unexpected argument", "status", "surplus")
	nodes[0].Kill()
	expect(command.ExitUnavailable, "not_ready", "status")
}

// newCommandCheck returns a function that runs a command and checks its exit code and that
// its output contains a text.
func newCommandCheck(t *testing.T, node *world.Node) func(code int, contains string, arguments ...string) string {
	return func(code int, contains string, arguments ...string) string {
		t.Helper()
		output, got := lilacvane(t, node, arguments...)
		assert.Equal(t, got, code, "%v: %s", arguments, output)
		assert.Assert(t, strings.Contains(output, contains), "%v: %s", arguments, output)
		return output
	}
}

// getBody returns the body of a GET request that must succeed.
func getBody(t *testing.T, url string) string {
	t.Helper()
	response, err := http.Get(url)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusOK)
	return string(body)
}

// TestZoneCommands covers zones, a planned stop of one, the reason why a request found no
// runner, and errors that name the field and the step.
func TestZoneCommands(t *testing.T) {
	t.Parallel()
	w := newWorld(t, func(o *world.Options) { o.ColdStart, o.ColdRate = time.Second, coldRate })
	startRunners(t, w, 2)
	nodes := startNodes(t, w, 2)
	expect := newCommandCheck(t, nodes[0])
	expect(commandline.ExitOK, "zone-b", "get", "zones")
	var found []wire.ZoneStatus
	zone := func(name string) wire.ZoneStatus {
		t.Helper()
		assert.NilError(t, json.Unmarshal([]byte(expect(commandline.ExitOK, name, "get", "zone", name, "--output", "json")), &found))
		assert.Equal(t, len(found), 1)
		return found[0]
	}
	assert.DeepEqual(t, zone("zone-a"), wire.ZoneStatus{Zone: "zone-a", Region: "region-1", State: wire.ZoneIn, Ready: 1, Nodes: 1})
	for _, name := range []string{"zone-a", "zone-b"} {
		expect(commandline.ExitOK, "accepted", "drain", "start", "zone", name)
	}
	drained := zone("zone-b")
	assert.Equal(t, drained.State, wire.ZoneDrained)
	assert.Assert(t, drained.Since != nil && drained.Draining == 1 && drained.Ready == 0, "%+v", drained)
	expect(commandline.ExitOK, "drain zone", "explain", "zone", "zone-b")
	apply(t, nodes[0], model("alpha", 1)...)
	got := ask(t.Context(), nodes[0], call{Model: "alpha", Prompt: "words", Tokens: 3, Deadline: time.Second}, nil)
	assert.Assert(t, !got.Served)
	expect(commandline.ExitOK, "2 drained", "explain", "request", got.ID)
	var decisions []wire.Decision
	assert.NilError(t, json.Unmarshal([]byte(expect(commandline.ExitOK, "obstacles", "explain", "request", got.ID, "-o", "json")), &decisions))
	assert.Equal(t, decisions[0].Obstacles[0].Reason, eligible.Drained.String())
	assert.Equal(t, decisions[0].Obstacles[0].Runners, 2)
	metrics := getBody(t, "http://"+nodes[0].Metrics+"/metrics")
	for _, metric := range []string{`lilacvane_requests_refused_total{reason="drained"} 1`, `lilacvane_runners_by_state{state="draining"} 2`, `lilacvane_runners_by_state{state="ready"} 0`} {
		assert.Assert(t, strings.Contains(metrics, metric), metrics)
	}
	expect(commandline.ExitOK, "accepted", "drain", "end", "zone", "zone-b")
	expect(commandline.ExitOK, "end drain of zone", "explain", "zone", "zone-b", "--output", "json")
	assert.Equal(t, zone("zone-b").State, wire.ZoneIn)

	output := expect(commandline.ExitOK, "RUNNER", "get", "runners", "--cold")
	assert.Assert(t, !strings.Contains(output, "runner-"), output)
	assert.NilError(t, w.MakeRunnerCold("runner-2", 5*time.Minute))
	waitUntil(t, "a cold runner is listed", func() error {
		if shown := zone("zone-b"); shown.Cold != 1 || shown.Ready != 0 {
			return fault.New(fault.CodeNotFound, "list zones", "%+v", shown)
		}
		return nil
	})
	output = expect(commandline.ExitOK, "4m", "get", "runners", "--cold")
	assert.Assert(t, strings.Contains(output, "runner-2") && !strings.Contains(output, "runner-1"), output)
	expect(command.ExitNotFound, "to be cold", "get", "runner", "runner-1", "--cold")
	expect(commandline.ExitOK, "runner-1", "get", "runner", "runner-1")
	expect(command.ExitNotFound, "list zones", "get", "zone", "nowhere")
	expect(command.ExitNotFound, "zone: no zone", "explain", "zone", "nowhere")
	expect(command.ExitNotFound, "zone: no zone", "drain", "start", "zone", "nowhere")
	expect(command.ExitNotFound, "name: no runner", "get", "runner", "nobody")
	expect(commandline.ExitUsage, "--cold", "get", "zones", "--cold")
	expect(commandline.ExitUsage, "--output", "get", "zones", "--output", "xml")
	expect(commandline.ExitUsage, "unknown kind", "get", "weather")
}

// TestConfigCheck: all problems of a settings file are reported at once, and unknown fields
// with their line.
func TestConfigCheck(t *testing.T) {
	t.Parallel()
	run := func(content string) (string, int) {
		check := exec.CommandContext(t.Context(), filepath.Join(programs, "lilacvane"), "config", "check", writeFile(t, "settings.yaml", content))
		output, _ := check.CombinedOutput()
		return string(output), check.ProcessState.ExitCode()
	}
	output, code := run("node: n\nzoen: z\n")
	assert.Equal(t, code, commandline.ExitUsage)
	assert.Assert(t, strings.Contains(output, "line 2") && strings.Contains(output, "zoen"), output)
	output, code = run("node: n\nlog: {level: loud}\n")
	assert.Equal(t, code, commandline.ExitUsage)
	for _, problem := range []string{"zone: required", "listen.peers", "store.address", "log.level"} {
		assert.Assert(t, strings.Contains(output, problem), output)
	}
}

// TestCallerThatGoesAwayCancels: a caller that closes its connection stops its request on
// the runner.
func TestCallerThatGoesAwayCancels(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startRunners(t, w, 1)
	nodes := startNodes(t, w, 1)
	apply(t, nodes[0], model("alpha", 1)...)
	ctx, cancel := context.WithCancel(t.Context())
	begun := make(chan struct{}, 1)
	result := sendInBackground(ctx, nodes[0], call{Model: "alpha", Prompt: "endless", Tokens: 50000, Deadline: 30 * time.Second}, func(got outcome) {
		if got.Tokens == 1 {
			begun <- struct{}{}
		}
	})
	<-begun
	cancel()
	assert.Assert(t, awaitOutcome(t, result).Broken)
	waitUntil(t, "the runner cancels the request", func() error {
		for _, record := range readHistory(t, w).records {
			if record.Event == journal.EventCanceled {
				return nil
			}
		}
		return fault.New(fault.CodeNotFound, "read journal", "not canceled yet")
	})
}

// TestHealthMeansWhatItSays: a node without tables or peers is alive but not ready, and
// refuses requests as not run.
func TestHealthMeansWhatItSays(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: storestub.Busy}))
	node, err := w.LaunchNode("lonely", zones[0])
	assert.NilError(t, err)
	status := func(path string) int {
		response, err := http.Get("http://" + node.Operators + path)
		if err != nil {
			return 0
		}
		defer response.Body.Close()
		return response.StatusCode
	}
	waitUntil(t, "the node is alive", func() error {
		if status("/healthz") != http.StatusOK {
			return fault.New(fault.CodeNotReady, "health", "not alive yet")
		}
		return nil
	})
	assert.Equal(t, status("/readyz"), http.StatusServiceUnavailable)
	got := ask(t.Context(), node, call{Model: "alpha", Prompt: "p", Tokens: 1}, nil)
	assert.Equal(t, got.Code, fault.CodeNotReady)
	assert.Equal(t, got.Ran, "no")
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	assert.NilError(t, node.WaitReady())
}
