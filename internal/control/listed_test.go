package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fleet"
	"lilacvane/internal/lease"
	"lilacvane/internal/orders"
	"lilacvane/internal/table"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

// newHolder returns a controller with the given number of runners, of which every hundredth
// holds the model "rare".
func newHolder(runners int) *Controller {
	known := fleet.New("zone", time.Now, zoneOut(""))
	list := make([]backend.Runner, runners)
	for i := range list {
		list[i] = backend.Runner{ID: fmt.Sprint("r", i), Service: "s", Address: fmt.Sprint("address-", i), Zone: "zone", Slots: 4}
	}
	known.Replace(list, false)
	c := NewController(Options{
		Service: "s", Rules: zoneOut(""), Fleet: known, ListRevision: func() table.Revision { return 77 }, Log: logr.Discard(),
		Elector: lease.New(nil, "key", "node", "address", "process", lease.Options{}, logr.Discard()),
	})
	c.token, c.version, c.ledgers, c.store = 1, 1, make(map[string]*orders.Ledger), weightstore.New(weightstore.Estimate{})
	for i, runner := range list {
		ledger := orders.NewLedger(runner)
		model := "common"
		if i%100 == 0 {
			model = "rare"
		}
		ledger.Reported(backend.Report{Models: []backend.Holding{{Model: model}}}, time.Now(), time.Now())
		c.ledgers[runner.ID] = ledger
	}
	return c
}

// TestWaitingNodeIsToldWhereItsModelIs checks that a node that knows only some runners and
// waits for a model is sent a few runners that hold it, with their addresses. A node that
// knows all runners, or does not wait, is sent no unchanged runners.
func TestWaitingNodeIsToldWhereItsModelIs(t *testing.T) {
	c := newHolder(2000)
	waiting := []wire.UnitWaiting{{Model: "rare", Count: 1}}
	for _, test := range []struct {
		name    string
		request wire.SyncRequest
		sent    int
	}{
		{"waits, knows some", wire.SyncRequest{Node: "n", Report: true, Token: 1, Version: 1, Partial: true, Waiting: waiting}, maxHoldersSent},
		{"waits, knows all", wire.SyncRequest{Node: "n", Report: true, Token: 1, Version: 1, Waiting: waiting}, 0},
		{"does not wait", wire.SyncRequest{Node: "n", Report: true, Token: 1, Version: 1, Partial: true}, 0},
	} {
		c.demand.addReport(test.request, time.Now())
		response := c.buildResponse(test.request)
		assert.Equal(t, len(response.Runners), test.sent, test.name)
		for _, view := range response.Runners {
			assert.Equal(t, view.Ready[0].Model, "rare", test.name)
			listed, _ := c.Fleet.Find(view.Runner)
			assert.Equal(t, view.Listed.Address, listed.Address, test.name)
			assert.Equal(t, response.ListRevision, uint64(77), test.name)
		}
	}
}

// TestLoadForWaitingNodeNamesTheRunner checks that a node that waits for a model is sent
// the address of the runner that loads it, so that it can send requests there at once.
func TestLoadForWaitingNodeNamesTheRunner(t *testing.T) {
	c := newHolder(10)
	ledger := c.ledgers["r3"]
	c.publishLedger(ledger)
	request := wire.SyncRequest{Node: "n", Report: true, Token: 1, Version: 1, Partial: true, Waiting: []wire.UnitWaiting{{Model: "common", Count: 1}}}
	c.demand.addReport(request, time.Now())
	found := false
	for _, view := range c.buildResponse(request).Runners {
		assert.Assert(t, view.Listed != nil, view.Runner)
		found = found || view.Runner == "r3"
	}
	assert.Assert(t, found)
}
