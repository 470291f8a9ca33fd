package control

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/orders"
	"lilacvane/internal/place"
)

// zoneOut takes one zone out.
type zoneOut place.Zone

func (zoneOut) Drained(_, _ string) bool { return false }

func (z zoneOut) ZoneOut(zone place.Zone) bool { return zone == place.Zone(z) }

func ledgerIn(zone string) *orders.Ledger {
	ledger := orders.NewLedger(backend.Runner{ID: "r-" + zone, Service: "s", Zone: zone})
	ledger.Reported(backend.Report{}, time.Now(), time.Now())
	return ledger
}

// TestOrdersToZoneOut checks that loads of models and adapters to a zone that is out are
// held back at the last moment, and unloads are not. Reports are requested only where
// replicas are limited.
func TestOrdersToZoneOut(t *testing.T) {
	c := NewController(Options{Service: "s", Rules: zoneOut("a"), Log: logr.Discard()})
	out, in := ledgerIn("a"), ledgerIn("b")
	assert.Assert(t, !c.mayOrder(out, backend.Load))
	assert.Assert(t, c.mayOrder(out, backend.Unload))
	assert.Assert(t, c.mayOrder(in, backend.Load))
	unlimited := &config.Engine{Models: map[string]*config.Model{"m": {Name: "m", MaximumReplicas: config.Unlimited}}}
	bounded := &config.Engine{Models: map[string]*config.Model{"m": {Name: "m", MaximumReplicas: 1}}}
	assert.Assert(t, !c.mayReport(out, unlimited))
	assert.Assert(t, c.mayReport(out, bounded))
	assert.Assert(t, c.mayReport(in, unlimited))
}
