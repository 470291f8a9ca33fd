package test

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
	"lilacvane/internal/settings"
	"lilacvane/platform/protocol"
)

// settingsType shortens the signatures of functions that adjust settings.
type settingsType = settings.Settings

// readLog returns the log of a node.
func readLog(t *testing.T, w *world.World, node *world.Node) string {
	t.Helper()
	content, err := os.ReadFile(w.LogPath(node))
	assert.NilError(t, err)
	return string(content)
}

// hasLineWith reports whether one line of a log contains all texts.
func hasLineWith(log string, texts ...string) bool {
	for line := range strings.SplitSeq(log, "\n") {
		all := true
		for _, text := range texts {
			all = all && strings.Contains(line, text)
		}
		if all {
			return true
		}
	}
	return false
}

// lastLineWith returns the last line of a log that contains all texts, or "" if there is
// none.
func lastLineWith(log string, texts ...string) string {
	last := ""
	for line := range strings.SplitSeq(log, "\n") {
		if hasLineWith(line, texts...) {
			last = line
		}
	}
	return last
}

// updateInput is an operator's update of an object, based on the generation that the
// operator read.
type updateInput struct {
	seen uint64
}

// updateOutput is the result of an update.
type updateOutput struct {
	generation uint64
	conflict   bool
	unknown    bool
}

// updateModel is the sequential specification of updates for the linearizability check: an
// object accepts an update only if it is based on the current generation, and the
// generation only grows.
var updateModel = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(updateInput), output.(updateOutput)
		switch {
		case out.unknown:
			return true, current
		case out.conflict:
			return in.seen != current, current
		default:
			return in.seen == current && out.generation > current, out.generation
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// changeHistory collects the concurrent updates of several operators.
type changeHistory struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
	accepted   int
	conflicts  int
	unknown    int
}

func (h *changeHistory) add(operation porcupine.Operation, out updateOutput) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	switch {
	case out.unknown:
		h.unknown++
	case out.conflict:
		h.conflicts++
	default:
		h.accepted++
	}
	h.operations = append(h.operations, operation)
}

// changeRepeatedly updates one object through a node until ctx ends. An update whose answer
// is lost is submitted again until its outcome is known.
func (h *changeHistory) changeRepeatedly(ctx context.Context, client int, node *world.Node, name string) {
	for number := 0; ctx.Err() == nil; number++ {
		object, err := node.Client().Get(ctx, api.KindPolicy, name)
		if err != nil && !fault.IsCode(err, fault.CodeNotFound) {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		changed := api.NewObject(api.KindPolicy, name, api.Policy{Models: []string{"*"}, Ready: fmt.Sprint(client*10000 + number)})
		changed.Generation = object.Generation
		submission := operator.Submission{Operation: "race-" + rand.Text(), Author: fmt.Sprint(client), Apply: []api.Object{changed}}
		began := time.Now().UnixNano()
		out, definite := submitOnce(node, submission)
		if !definite {
			continue
		}
		h.add(porcupine.Operation{ClientId: client, Input: updateInput{seen: object.Generation}, Call: began, Output: out, Return: time.Now().UnixNano()}, out)
	}
}

// submitOnce submits until the outcome is known, always under the same operation ID. It
// returns false when nothing is known to have been tried.
func submitOnce(node *world.Node, submission operator.Submission) (updateOutput, bool) {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		result, err := node.Client().Submit(ctx, submission)
		cancel()
		switch {
		case err == nil:
			return updateOutput{generation: result.Revision}, true
		case fault.IsCode(err, fault.CodeConflict):
			return updateOutput{conflict: true}, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return updateOutput{unknown: true}, true
}

// generationWatcher reads the generation of an object at a node, which must never decrease.
type generationWatcher struct {
	node      *world.Node
	seen      []uint64
	decreases []string
}

func (r *generationWatcher) watch(ctx context.Context, name string) {
	var last uint64
	for ctx.Err() == nil {
		object, err := r.node.Client().Get(ctx, api.KindPolicy, name)
		if err == nil {
			if object.Generation < last {
				r.decreases = append(r.decreases, fmt.Sprintf("%s went from %d back to %d", r.node.Name, last, object.Generation))
			}
			last = max(last, object.Generation)
			r.seen = append(r.seen, object.Generation)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// runConcurrentChanges runs operators and watchers at the nodes while disturb injects
// faults, and checks the history.
func runConcurrentChanges(t *testing.T, nodes []*world.Node, disturb func()) *changeHistory {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	h := &changeHistory{}
	var group sync.WaitGroup
	var watchers []*generationWatcher
	for index, node := range nodes {
		r := &generationWatcher{node: node}
		watchers = append(watchers, r)
		group.Go(func() { r.watch(ctx, "raced") })
		group.Go(func() { h.changeRepeatedly(ctx, index, node, "raced") })
	}
	disturb()
	time.Sleep(500 * time.Millisecond)
	stop()
	group.Wait()
	for _, r := range watchers {
		assert.Equal(t, len(r.decreases), 0, "%v", r.decreases)
	}
	result := porcupine.CheckOperationsTimeout(updateModel, h.operations, waitTimeout)
	assert.Equal(t, result, porcupine.Ok, "%d operations", len(h.operations))
	assert.Assert(t, h.accepted > 0)
	t.Logf("%d accepted, %d conflicts, %d unknown", h.accepted, h.conflicts, h.unknown)
	return h
}

// newest returns the highest generation that was accepted.
func (h *changeHistory) newest() uint64 {
	var newest uint64
	for _, operation := range h.operations {
		newest = max(newest, operation.Output.(updateOutput).generation)
	}
	return newest
}

// waitGeneration waits until the nodes return at least this generation of an object.
func waitGeneration(t *testing.T, generation uint64, name string, nodes ...*world.Node) {
	t.Helper()
	waitUntil(t, "the newest change is active", func() error {
		for _, node := range nodes {
			object, err := node.Client().Get(t.Context(), api.KindPolicy, name)
			if err != nil {
				return err
			}
			if object.Generation < generation {
				return fmt.Errorf("%s is at %d, %d was accepted", node.Name, object.Generation, generation)
			}
		}
		return nil
	})
}

// TestConfigurationUnderRacesAndLostAnswers: operators change one object concurrently while
// the store slows down, loses answers before and after the effect, refuses, goes down and
// drops its history. Accepted changes are linearizable, no node goes back to an older
// generation, and the newest change reaches every node.
func TestConfigurationUnderRacesAndLostAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 3)
	h := runConcurrentChanges(t, nodes, func() {
		for _, faults := range []storestub.Faults{
			{}, {LostShare: 0.4}, {LateShare: 0.3}, {DelayMs: 150}, {Down: storestub.Busy}, {}, {Down: storestub.Reset}, {Down: storestub.Silent}, {},
			{LostShare: 0.3, LateShare: 0.3, DelayMs: 50}, {StaleMs: 400}, {},
		} {
			assert.NilError(t, w.SetStoreFaults(faults))
			if faults.StaleMs > 0 {
				assert.NilError(t, w.ForgetHistory())
			}
			time.Sleep(600 * time.Millisecond)
		}
	})
	waitGeneration(t, h.newest(), "raced", nodes...)
}

// TestConfigurationAtFrozenNode: a node is frozen while a model is deleted. After it
// resumes it does not serve from its old configuration.
func TestConfigurationAtFrozenNode(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 2, 3, model("alpha", 1)...)
	frozen := anyNodeExcept(nodes, nodes[0], leaseHolder(t, w, nodes[0]))
	first := call{Model: "alpha", Prompt: "first", Tokens: 2}
	assertServed(t, first, ask(t.Context(), frozen, first, nil))
	// No data may be left in the frozen node's socket, as the node would read the change from
	// it when it resumes.
	frozen.StoreProxy.Reset()
	assert.NilError(t, frozen.Freeze())
	time.Sleep(1500 * time.Millisecond) // longer than a process can be paused without noticing
	object, err := nodes[0].Client().Get(t.Context(), api.KindModel, "alpha")
	assert.NilError(t, err)
	_, err = nodes[0].Client().Submit(t.Context(), operator.Submission{Operation: "test-" + rand.Text(), Delete: []api.Object{object}})
	assert.NilError(t, err)
	assert.NilError(t, frozen.Thaw())
	got := ask(t.Context(), frozen, call{Model: "alpha", Prompt: "stale", Tokens: 2, Deadline: 5 * time.Second}, nil)
	assert.Equal(t, got.Code, fault.CodeUnknownModel, "%+v", got)
	assert.Equal(t, readHistory(t, w).runsOfPrompt("stale"), 0)
}

// TestConfigurationWhenNodeIsCutOff: a node loses the store. It keeps its current
// configuration, refuses changes with the right error, and catches up after the connection
// is back, although the store has dropped its history by then.
func TestConfigurationWhenNodeIsCutOff(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 3)
	h := runConcurrentChanges(t, nodes[:2], func() {
		nodes[2].StoreProxy.Block()
		submission := operator.Submission{Operation: "cut-" + rand.Text(), Apply: []api.Object{
			api.NewObject(api.KindPolicy, "during-cut", api.Policy{Models: []string{"*"}, Ready: "1"}),
		}}
		_, err := nodes[2].Client().Submit(t.Context(), submission)
		assert.Assert(t, fault.IsCode(err, fault.CodeStoreUnavailable), "%v", err)
		assert.NilError(t, w.ForgetHistory())
		nodes[2].StoreProxy.Heal()
	})
	waitGeneration(t, h.newest(), "raced", nodes...)
}

// TestFreshNodeWithoutStoreIsNotReady: a node that starts while the store is down serves
// nothing rather than something outdated, and begins once the store is back.
func TestFreshNodeWithoutStoreIsNotReady(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 1)
	startNodes(t, w, 1)
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: storestub.Busy}))
	fresh, err := w.LaunchNode("node-fresh", zones[0])
	assert.NilError(t, err)
	waitUntil(t, "the node answers", func() error {
		got := send(t.Context(), fresh, clientRequest{Path: "/read/x"})
		if got.Status == 0 {
			return fault.New(fault.CodeNotReady, "test", "not yet")
		}
		assert.Equal(t, got.Status, http.StatusServiceUnavailable)
		return nil
	})
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	assert.NilError(t, fresh.WaitReady())
	got := send(t.Context(), fresh, clientRequest{Path: "/read/x"})
	assert.Equal(t, got.Status, http.StatusOK)
}

// TestRoutesNeverStepBack: routes are added and removed in quick succession while the store
// drops its history and returns stale reads. Once a node has served a version it serves no
// older one.
func TestRoutesNeverStepBack(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 1)
	nodes := startNodes(t, w, 2)
	version := func(number int) []protocol.Route {
		return append(world.DefaultRoutes(), protocol.Route{
			Name: "step", Host: world.RouteHost, PathPrefix: fmt.Sprintf("/step%d/", number), Type: "safe", TimeoutMs: 3000, TargetMs: 500, Attempts: 1, Service: world.MailService,
		})
	}
	newest := make([]int, len(nodes))
	probe := func(upTo int) {
		for index, node := range nodes {
			for number := upTo; number >= 0; number-- {
				got := send(t.Context(), node, clientRequest{Path: fmt.Sprintf("/step%d/x", number)})
				if got.Status == http.StatusOK {
					assert.Assert(t, number >= newest[index], "%s went from %d back to %d", node.Name, newest[index], number)
					newest[index] = number
					break
				}
			}
		}
	}
	const versions = 12
	for number := range versions {
		assert.NilError(t, w.Configure(version(number)))
		if number%4 == 2 {
			assert.NilError(t, w.SetStoreFaults(storestub.Faults{StaleMs: 500}))
			assert.NilError(t, w.ForgetHistory())
			for range 20 { // while the nodes read everything again
				probe(number)
				time.Sleep(20 * time.Millisecond)
			}
		}
		probe(number)
	}
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	waitUntil(t, "the newest routes are active", func() error {
		probe(versions - 1)
		for index, node := range nodes {
			if newest[index] != versions-1 {
				return fmt.Errorf("%s is at %d", node.Name, newest[index])
			}
		}
		return nil
	})
}

// TestBadConfigurationLeavesTheLastGoodOne: a configuration or a settings file that cannot
// be read is logged with the step and the field, and the last valid one stays active. An
// unknown field is logged and ignored.
func TestBadConfigurationLeavesTheLastGoodOne(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 1)
	nodes := startNodes(t, w, 1)
	logged := func(texts ...string) {
		t.Helper()
		waitUntil(t, strings.Join(texts, " "), func() error {
			if !hasLineWith(readLog(t, w, nodes[0]), texts...) {
				return fault.New(fault.CodeNotFound, "test", "not logged yet")
			}
			return nil
		})
	}
	bad := []byte(`{"ver": 1000, "routes": [{"name": "r", "timeoutMs": "soon"}]}`)
	assert.NilError(t, w.PutRows(protocol.Row{Table: protocol.OperatorTable, Key: protocol.ConfigurationKey, Value: bad}))
	logged("configuration refused", "timeoutMs")
	assert.Equal(t, send(t.Context(), nodes[0], clientRequest{Path: "/read/x"}).Status, http.StatusOK)
	assert.NilError(t, os.WriteFile(nodes[0].SettingsPath(), []byte("node: [oops"), 0o644))
	logged("settings refused", "read settings")
	assert.Equal(t, send(t.Context(), nodes[0], clientRequest{Path: "/read/x"}).Status, http.StatusOK)
}

// TestSignalDuringStart: the signal to reload the settings arrives while a node is still
// reading them. It must not end the process: the node continues, here until the error for
// an empty file.
func TestSignalDuringStart(t *testing.T) {
	t.Parallel()
	path := filepath.Join(t.TempDir(), "settings.yaml")
	assert.NilError(t, syscall.Mkfifo(path, 0o600))
	node := exec.Command(filepath.Join(programs, "lilacvane"), "node", "--settings", path)
	assert.NilError(t, node.Start())
	writer, err := os.OpenFile(path, os.O_WRONLY, 0) // returns once the node reads
	assert.NilError(t, err)
	assert.NilError(t, node.Process.Signal(syscall.SIGHUP))
	time.Sleep(100 * time.Millisecond) // a process that the signal ends is gone by then
	assert.NilError(t, writer.Close())
	_ = node.Wait() // the exit status is checked below
	status, ok := node.ProcessState.Sys().(syscall.WaitStatus)
	assert.Assert(t, ok && !status.Signaled(), "%s", node.ProcessState)
}
