package test

import (
	"context"
	"crypto/rand"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/platformstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/operator"
)

// write is one operator's change of an object that it saw at a generation.
type write struct {
	seen uint64
}

// written is the answer to a write.
type written struct {
	generation uint64
	conflict   bool
	unknown    bool
}

// acceptance is the model of accepted changes: an object takes a change only at
// the generation its author saw, and its generation only grows.
var acceptance = porcupine.Model{
	Init: func() any { return uint64(0) },
	Step: func(state, input, output any) (bool, any) {
		current, in, out := state.(uint64), input.(write), output.(written)
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
type operatorHistory struct {
	mutex      sync.Mutex
	operations []porcupine.Operation
	accepted   int
	conflicts  int
	unknown    int
}

func (h *operatorHistory) add(operation porcupine.Operation, out written) {
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
func (h *operatorHistory) operate(ctx context.Context, client int, node *world.Node, name string) {
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
		h.add(porcupine.Operation{ClientId: client, Input: write{seen: object.Generation}, Call: began, Output: out, Return: time.Now().UnixNano()}, out)
	}
}

// submitOnce submits until the outcome is definite, always under the same
// operation. It reports false when nothing is known to have been tried.
func submitOnce(node *world.Node, submission operator.Submission) (written, bool) {
	deadline := time.Now().Add(patience)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
		result, err := node.Client().Submit(ctx, submission)
		cancel()
		switch {
		case err == nil:
			return written{generation: result.Revision}, true
		case fault.IsCode(err, fault.CodeConflict):
			return written{conflict: true}, true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return written{unknown: true}, true
}

// reader watches the generation of an object at a node: it must never step back.
type reader struct {
	node  *world.Node
	seen  []uint64
	steps []string
}

func (r *reader) watch(ctx context.Context, name string) {
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
func race(t *testing.T, nodes []*world.Node, disturb func()) *operatorHistory {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	h := &operatorHistory{}
	var group sync.WaitGroup
	var readers []*reader
	for index, node := range nodes {
		r := &reader{node: node}
		readers = append(readers, r)
		group.Go(func() { r.watch(ctx, "raced") })
		group.Go(func() { h.operate(ctx, index, node, "raced") })
	}
	disturb()
	time.Sleep(500 * time.Millisecond)
	stop()
	group.Wait()
	for _, r := range readers {
		assert.Equal(t, len(r.steps), 0, "%v", r.steps)
	}
	result := porcupine.CheckOperationsTimeout(acceptance, h.operations, patience)
	assert.Equal(t, result, porcupine.Ok, "%d operations", len(h.operations))
	assert.Assert(t, h.accepted > 0)
	t.Logf("%d accepted, %d conflicts, %d unknown", h.accepted, h.conflicts, h.unknown)
	return h
}

// newest is the generation accepted last.
func (h *operatorHistory) newest() uint64 {
	var newest uint64
	for _, operation := range h.operations {
		newest = max(newest, operation.Output.(written).generation)
	}
	return newest
}

// waitInForce waits until nodes show at least a generation of an object.
func waitInForce(t *testing.T, generation uint64, name string, nodes ...*world.Node) {
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
// the table slows down, loses answers before and after the effect, refuses and
// goes down; what is accepted is linearizable, no node steps back, and the newest
// change comes into force everywhere.
func TestConfigurationUnderRacesAndLostAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 3)
	h := race(t, nodes, func() {
		for _, faults := range []platformstub.Faults{
			{}, {LoseAnswers: 3}, {LoseAnswers: 3, HoldMilliseconds: 400}, {DelayMilliseconds: 150}, {Down: true}, {},
			{LoseAnswers: 5, HoldMilliseconds: 700, DelayMilliseconds: 50}, {},
		} {
			assert.NilError(t, w.SetTableFaults(faults))
			time.Sleep(700 * time.Millisecond)
		}
	})
	waitInForce(t, h.newest(), "raced", nodes...)
}

// TestConfigurationAtFrozenNode: a node is frozen while changes are accepted and
// thaws cut off from the table and from all that others send it. It can still ask
// them, and does so before it answers a request from its old configuration.
func TestConfigurationAtFrozenNode(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	startEngines(t, w, 2, 1000)
	nodes := startNodes(t, w, 3)
	apply(t, nodes[0], model("alpha", 1, 300)...)
	first := call{Model: "alpha", Prompt: "first", Tokens: 2}
	assertServed(t, first, ask(t.Context(), nodes[2], first, nil))
	h := race(t, nodes[:2], func() {
		assert.NilError(t, nodes[2].Freeze())
		// Nothing may wait in the frozen node's socket either: it would tell the
		// node of the changes at the thaw.
		nodes[2].Proxy.Block(nodes[0].IP, nodes[1].IP)
		time.Sleep(4 * time.Second) // longer than a configuration counts as fresh
	})
	object, err := nodes[0].Client().Get(t.Context(), api.KindModel, "alpha")
	assert.NilError(t, err)
	_, err = nodes[0].Client().Submit(t.Context(), operator.Submission{Operation: "test-" + rand.Text(), Delete: []api.Object{object}})
	assert.NilError(t, err)
	w.TableProxy.Block(nodes[2].IP)
	assert.NilError(t, nodes[2].Thaw())
	got := ask(t.Context(), nodes[2], call{Model: "alpha", Prompt: "stale", Tokens: 2, Deadline: 5 * time.Second}, nil)
	assert.Equal(t, got.Code, fault.CodeUnknownModel, "%+v", got)
	heal(w, nodes)
	waitInForce(t, h.newest(), "raced", nodes...)
	assert.Equal(t, readHistory(t, w).runs("stale"), 0)
}

// TestConfigurationWhenZoneIsCutOff: a zone loses the others and the table; it
// keeps what it has in force, refuses changes truthfully, and takes in what it
// missed after the cut.
func TestConfigurationWhenZoneIsCutOff(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 3)
	h := race(t, nodes[:2], func() {
		cutOff(w, nodes, nodes[2])
		submission := operator.Submission{Operation: "cut-" + rand.Text(), Apply: []api.Object{
			api.NewObject(api.KindPolicy, "during-cut", api.Policy{Models: []string{"*"}, Ready: "1"}),
		}}
		_, err := nodes[2].Client().Submit(t.Context(), submission)
		assert.Assert(t, fault.IsCode(err, fault.CodeStoreUnavailable), "%v", err)
		heal(w, nodes)
	})
	waitInForce(t, h.newest(), "raced", nodes...)
}

// cutOff separates a node from the table, the machine list and all other nodes,
// both ways.
func cutOff(w *world.World, nodes []*world.Node, alone *world.Node) {
	w.TableProxy.Block(alone.IP)
	w.MachinesProxy.Block(alone.IP)
	for _, node := range nodes {
		if node != alone {
			node.Proxy.Block(alone.IP)
			alone.Proxy.Block(node.IP)
		}
	}
}

func heal(w *world.World, nodes []*world.Node) {
	w.TableProxy.Heal()
	w.MachinesProxy.Heal()
	for _, node := range nodes {
		node.Proxy.Heal()
	}
}

// TestFreshNodeServesNewestConfiguration: a node that starts while the table is
// down learns the newest revision from its peers, not from a node that was cut
// off before the last change.
func TestFreshNodeServesNewestConfiguration(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	nodes := startNodes(t, w, 3)
	cutOff(w, nodes, nodes[0])
	revision := apply(t, nodes[1], api.NewObject(api.KindPolicy, "newest", api.Policy{Models: []string{"*"}, Ready: "1"}))
	waitInForce(t, revision, "newest", nodes[1:]...)
	assert.NilError(t, w.SetTableFaults(platformstub.Faults{Down: true}))
	fresh, err := w.StartNode("node-fresh", zones[0])
	assert.NilError(t, err)
	object, err := fresh.Client().Get(t.Context(), api.KindPolicy, "newest")
	assert.NilError(t, err)
	assert.Equal(t, object.Generation, revision)
}
