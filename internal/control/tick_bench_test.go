package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"golang.org/x/time/rate"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fleet"
	"lilacvane/internal/lease"
	"lilacvane/internal/orders"
	"lilacvane/internal/scheduler"
	"lilacvane/internal/table"
	"lilacvane/internal/weightstore"
	"lilacvane/internal/wire"
)

type noPolicies struct{}

func (noPolicies) Ready(string, time.Time) (int, string) { return 0, "" }

type noSleep struct{}

func (noSleep) Enabled() bool                                    { return false }
func (noSleep) KeepAlive(*config.Model, float64) time.Duration   { return 0 }
func (noSleep) WakeAhead(*config.Model, float64, time.Time) bool { return false }
func (noSleep) Observe(*config.Model, time.Time, time.Time)      {}

// newLargeHolder returns a holder of the given number of runners, each with two of the
// given number of models, and of nodes that use some of them.
func newLargeHolder(runners, models, nodes int) (*Controller, *config.Engine) {
	engine := &config.Engine{Slots: 64, ModelMemory: 200_000, AdapterSlots: 8, LoadsPerSecond: 2800, Models: make(map[string]*config.Model)}
	for i := range models {
		name := fmt.Sprint("m", i)
		engine.Models[name] = &config.Model{Name: name, Size: 72_700, Active: true, LoadTime: 6 * time.Second, MaximumReplicas: config.Unlimited}
	}
	list := make([]backend.Runner, runners)
	for i := range list {
		list[i] = backend.Runner{
			ID: fmt.Sprintf("i-%010x", i), Service: "s", Address: fmt.Sprint("address-", i), Zone: fmt.Sprint("zone-", i%6), Slots: 64, Revision: table.Revision(i + 1),
			Models: []backend.Holding{{Model: fmt.Sprint("m", i%models)}, {Model: fmt.Sprint("m", (i+7)%models)}},
		}
	}
	known := fleet.New("zone-0", time.Now, zoneOut(""))
	known.Replace(list, false)
	c := NewController(Options{
		Service: "s", Rules: zoneOut(""), Fleet: known, Log: logr.Discard(), Policies: noPolicies{}, Sleeper: noSleep{},
		Elector:       lease.New(nil, "key", "node", "address", "process", lease.Options{}, logr.Discard()),
		Configuration: func() *config.Configuration { return nil },
	})
	c.token, c.version, c.ledgers, c.store = 1, 1, make(map[string]*orders.Ledger), weightstore.New(weightstore.Estimate{})
	c.loadCrashes, c.limiter, c.storeLoads = orders.NewLoadCrashes(nil), rate.NewLimiter(100, loadBurst), make(map[string]storeLoad)
	for i := range nodes {
		c.demand.addReport(wire.SyncRequest{
			Node: fmt.Sprint("n", i), Report: true,
			Usage:   []wire.UnitUsage{{Model: fmt.Sprint("m", i%20), Requests: 1, Tokens: 3000}},
			Running: []wire.RunnerUsage{{Runner: list[i%runners].ID, Models: map[string]int{fmt.Sprint("m", i%models): 1}}},
		}, time.Now())
	}
	return c, engine
}

// BenchmarkRound measures one round of a holder in which nothing changed: it reads the
// list, completes the adapter loads in the ledgers and makes a plan.
func BenchmarkRound(b *testing.B) {
	for _, runners := range []int{1000, 9640, 20_000} {
		b.Run(fmt.Sprint("runners-", runners), func(b *testing.B) {
			c, engine := newLargeHolder(runners, 299, 985)
			b.ReportAllocs()
			for b.Loop() {
				now := time.Now()
				c.updateRunners(engine, now)
				for _, ledger := range c.ledgers {
					ledger.CompleteAdapterLoads(now)
				}
				scheduler.MakePlan(c.buildState(engine, now))
			}
		})
	}
}
