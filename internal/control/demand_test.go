package control

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/wire"
)

// TestNewHolderKnowsRates checks that a new holder uses the rates that its nodes show, not
// the small fraction of them that its decaying counts have collected so far.
func TestNewHolderKnowsRates(t *testing.T) {
	const perReport, interval = 5, 250 * time.Millisecond
	engine := &config.Engine{Slots: 64}
	start := time.Unix(1000, 0)
	for _, after := range []time.Duration{time.Second, 3 * time.Second, 20 * time.Second} {
		d := newDemandTracker()
		now := start
		for ; now.Sub(start) <= after; now = now.Add(interval) {
			d.addReport(wire.SyncRequest{
				Node: "n", Report: true,
				Usage:   []wire.UnitUsage{{Model: "m", Requests: perReport, Tokens: perReport * 1000}},
				Running: []wire.RunnerUsage{{Runner: "r", Models: map[string]int{"m": 32}}},
			}, now)
			d.units(d.running(now), engine, now)
		}
		m := d.units(d.running(now), engine, now)[backend.Unit{Model: "m"}]
		want := perReport / interval.Seconds()
		assert.Assert(t, math.Abs(m.Rate/want-1) < 0.25, "after %v: %v of %v a second", after, m.Rate, want)
		work := want*1000/tokensPerSecond + 0.5
		assert.Assert(t, math.Abs(m.Work/work-1) < 0.25, "after %v: work %v of %v", after, m.Work, work)
	}
}
