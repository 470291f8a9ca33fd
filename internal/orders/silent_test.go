package orders

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// TestSilentRunner: a runner is silent when neither a node nor the holder gets an
// answer; it takes no orders then, and its next report ends that.
func TestSilentRunner(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(backend.Runner{ID: "r"})
	ledger.Reported(backend.Report{Models: []backend.Holding{{Model: "m"}}}, now, now)
	assert.Assert(t, !ledger.Suspect(now.Add(suspectAgain/2)), "it has just reported")
	now = now.Add(time.Second)
	assert.Assert(t, !ledger.ReportFailed(now, time.Second), "nobody suspected it")
	assert.Assert(t, ledger.Suspect(now))
	assert.Assert(t, !ledger.Suspect(now), "it is asked already")
	assert.Assert(t, ledger.WantsReport(now))
	assert.Assert(t, !ledger.WantsReport(now.Add(time.Minute)), "one report is asked for at a time")
	assert.Assert(t, ledger.ReportFailed(now, time.Second))
	assert.Assert(t, ledger.Silent())
	assert.Assert(t, !ledger.MayOrder(backend.Unit{Model: "n"}, now))
	assert.Assert(t, ledger.Models()["m"] != nil, "what it holds stays in the account")
	now = now.Add(time.Second)
	assert.Assert(t, ledger.WantsReport(now))
	assert.Assert(t, ledger.Reported(backend.Report{Models: []backend.Holding{{Model: "m"}}}, now, now), "nodes are told")
	assert.Assert(t, !ledger.Silent())
	assert.Assert(t, ledger.MayOrder(backend.Unit{Model: "n"}, now))
}

// TestAdapterWaitsForModelOrder: a runner that carries out a model order refuses
// all others, so an adapter is not ordered there meanwhile. It failed first: an
// adapter was ordered again and again until the load was done.
func TestAdapterWaitsForModelOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	ledger := NewLedger(backend.Runner{ID: "r"})
	ledger.Reported(backend.Report{Models: []backend.Holding{{Model: "m"}}}, now, now)
	adapter := backend.Unit{Model: "m", Adapter: "a"}
	assert.Assert(t, ledger.MayOrder(adapter, now))
	order := ledger.Begin(backend.Load, backend.Unit{Model: "n"}, "node", 1)
	ledger.End(order, backend.Accepted, now, now.Add(4*time.Second))
	assert.Assert(t, !ledger.MayOrder(adapter, now.Add(time.Second)))
	done := now.Add(5 * time.Second)
	ledger.Reported(backend.Report{Sequence: 1, Models: []backend.Holding{{Model: "m"}, {Model: "n"}}}, done, done)
	assert.Assert(t, ledger.MayOrder(adapter, done))
}
