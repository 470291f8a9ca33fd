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

// settingsType shortens the signature of adjustments.
type settingsType = settings.Settings

// readLog returns what a node has logged.
func readLog(t *testing.T, w *world.World, node *world.Node) string {
	t.Helper()
	content, err := os.ReadFile(w.LogPath(node))
	assert.NilError(t, err)
	return string(content)
}

// containsAll reports whether one line of a log contains all texts.
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

// lastLine returns the last line of a log that contains all texts; empty for none.
func lastLineWith(log string, texts ...string) string {
	last := ""
	for line := range strings.SplitSeq(log, "\n") {
		if hasLineWith(line, texts...) {
			last = line
		}
	}
	return last
}

// write is one operator's change of an object that it saw at a generation.
type updateInput struct {
	seen uint64
}

// written is the answer to a write.
type updateOutput struct {
	generation uint64
	conflict   bool
	unknown    bool
}

// acceptance is the model of accepted changes: an object takes a change only at
// the generation its author saw, and its generation only grows.
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

// operatorHistory collects the concurrent writes of several operators.
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

// operate changes one object again and again through a node until ctx ends. What
// became of a change whose answer is unknown is asked until it is known.
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

// submitOnce submits until the outcome is definite, always under the same
// operation. It reports false when nothing is known to have been tried.
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

// reader watches the generation of an object at a node: it must never step back.
type generationWatcher struct {
	node  *world.Node
	seen  []uint64
	steps []string
}

func (r *generationWatcher) watch(ctx context.Context, name string) {
	var last uint64
	for ctx.Err() == nil {
		object, err := r.node.Client().Get(ctx, api.KindPolicy, name)
		if err == nil {
			if object.Generation < last {
				r.steps = append(r.steps, fmt.Sprintf("%s went from %d back to %d", r.node.Name, last, object.Generation))
			}
			last = max(last, object.Generation)
			r.seen = append(r.seen, object.Generation)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// race runs operators and readers at the nodes while disturb does its worst, and
// checks the history.
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
		assert.Equal(t, len(r.steps), 0, "%v", r.steps)
	}
	result := porcupine.CheckOperationsTimeout(updateModel, h.operations, waitTimeout)
	assert.Equal(t, result, porcupine.Ok, "%d operations", len(h.operations))
	assert.Assert(t, h.accepted > 0)
	t.Logf("%d accepted, %d conflicts, %d unknown", h.accepted, h.conflicts, h.unknown)
	return h
}

// newest is the generation accepted last.
func (h *changeHistory) newest() uint64 {
	var newest uint64
	for _, operation := range h.operations {
		newest = max(newest, operation.Output.(updateOutput).generation)
	}
	return newest
}

// waitInForce waits until nodes show at least a generation of an object.
func waitGeneration(t *testing.T, generation uint64, name string, nodes ...*world.Node) {
	t.Helper()
	waitUntil(t, "the newest change is in force", func() error {
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

// TestConfigurationUnderRacesAndLostAnswers: operators race on one object while
// the store slows down, loses answers before and after the effect, refuses, goes
// down and forgets its history; what is accepted is linearizable, no node steps
// back, and the newest change comes into force everywhere.
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

// TestConfigurationAtFrozenNode: a node is frozen while a model is deleted; after
// the thaw it does not serve from its old configuration.
func TestConfigurationAtFrozenNode(t *testing.T) {
	t.Parallel()
	w, nodes := startWithAlpha(t, 2, 3, model("alpha", 1)...)
	frozen := anyNodeExcept(nodes, nodes[0], leaseHolder(t, w, nodes[0]))
	first := call{Model: "alpha", Prompt: "first", Tokens: 2}
	assertServed(t, first, ask(t.Context(), frozen, first, nil))
	// Nothing may wait in the frozen node's socket: it would tell the node of the
	// change at the thaw.
	frozen.StoreProxy.Reset()
	assert.NilError(t, frozen.Freeze())
	time.Sleep(1500 * time.Millisecond) // longer than a process may stand still unnoticed
	object, err := nodes[0].Client().Get(t.Context(), api.KindModel, "alpha")
	assert.NilError(t, err)
	_, err = nodes[0].Client().Submit(t.Context(), operator.Submission{Operation: "test-" + rand.Text(), Delete: []api.Object{object}})
	assert.NilError(t, err)
	assert.NilError(t, frozen.Thaw())
	got := ask(t.Context(), frozen, call{Model: "alpha", Prompt: "stale", Tokens: 2, Deadline: 5 * time.Second}, nil)
	assert.Equal(t, got.Code, fault.CodeUnknownModel, "%+v", got)
	assert.Equal(t, readHistory(t, w).runsOfPrompt("stale"), 0)
}

// TestConfigurationWhenNodeIsCutOff: a node loses the store; it keeps what it has
// in force, refuses changes truthfully, and takes in what it missed after the
// cut, though the history is gone by then.
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

// TestFreshNodeWithoutStoreIsNotReady: a node that starts while the store is down
// serves nothing, rather than something old, and begins when the store is back.
func TestFreshNodeWithoutStoreIsNotReady(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startMailers(t, w, 1)
	startNodes(t, w, 1)
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{Down: storestub.Busy}))
	fresh, err := w.LaunchNode("node-fresh", zones[0])
	assert.NilError(t, err)
	waitUntil(t, "it answers", func() error {
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

// TestRoutesNeverStepBack: routes come and go in quick succession while the
// history is dropped and reads are stale; once a node showed a version it shows
// no older one.
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
			for range 20 { // while the nodes read anew
				probe(number)
				time.Sleep(20 * time.Millisecond)
			}
		}
		probe(number)
	}
	assert.NilError(t, w.SetStoreFaults(storestub.Faults{}))
	waitUntil(t, "the newest routes are in force", func() error {
		probe(versions - 1)
		for index, node := range nodes {
			if newest[index] != versions-1 {
				return fmt.Errorf("%s is at %d", node.Name, newest[index])
			}
		}
		return nil
	})
}

// TestBadConfigurationLeavesTheLastGoodOne: a configuration that cannot be read,
// and settings that cannot, are logged with the step and the field; the last good
// ones stay in force. An unknown field is logged and passed over.
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

// TestSignalDuringStart: a signal that the settings changed comes while a node still reads
// them. It ends no process: the node goes on, here to the error of a file without content.
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
	_ = node.Wait() // the exit code is judged below
	status, ok := node.ProcessState.Sys().(syscall.WaitStatus)
	assert.Assert(t, ok && !status.Signaled(), "%s", node.ProcessState)
}
