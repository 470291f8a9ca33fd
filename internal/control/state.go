package control

import (
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/eligible"
	"lilacvane/internal/scheduler"
)

// buildState builds the scheduler's input. The caller holds mutex.
func (c *Controller) buildState(engine *config.Engine, now time.Time) *scheduler.State {
	running := c.demand.running(now)
	demand := c.demand.units(running, engine, now)
	c.updateRules(engine, demand, now)
	state := &scheduler.State{
		Now: now, Engine: engine, Paused: c.loadCrashes.Paused(now), Demand: demand, Parts: c.demand.parts(demand, now), Intents: c.intents, Loads: min(int(c.limiter.TokensAt(now)), c.store.Free()),
		StoreWait: c.store.NextFree(now), StoreSlowdown: c.store.Slowdown(c.store.UnderWay() + 1),
		Floors: c.floors, KeepAlive: c.keepAlive,
	}
	for id, ledger := range c.ledgers {
		if !ledger.Confirmed() {
			// The platform's list does not show what the runner is loading.
			state.Unknown++
		}
		reason := c.eligible(ledger, eligible.Load{Service: c.Service})
		if !ledger.Known() || reason == eligible.Draining {
			continue
		}
		runner := describe(id, ledger, engine, running[id], now)
		runner.Drained, runner.Out = reason == eligible.Drained, reason == eligible.ZoneOut
		if reason == eligible.Resting {
			// The runner must not get orders until its pause ends, so loads go elsewhere or wait.
			runner.BusyFor, runner.Idle, runner.Ready = max(runner.BusyFor, c.pauseOf(ledger, c.Statements.State(id))), false, false
		}
		state.Runners = append(state.Runners, runner)
	}
	return state
}

// rulesInterval is how often policies and keep-alive times are evaluated.
const rulesInterval = time.Second

// updateRules updates the policies' minimum replicas and the keep-alive times. The caller
// holds mutex.
func (c *Controller) updateRules(engine *config.Engine, demand map[backend.Unit]*scheduler.Demand, now time.Time) {
	if now.Sub(c.rulesAt) < rulesInterval {
		return
	}
	c.rulesAt = now
	c.floors = make(map[string]int)
	c.keepAlive = make(map[string]time.Duration)
	for name, model := range engine.Models {
		if floor, _ := c.Policies.Ready(nameOf(model), now); floor > 0 && model.Active {
			c.floors[name] = limitReplicas(floor, model.MaximumReplicas)
		}
		if !c.Sleeper.Enabled() {
			continue
		}
		if used := demand[backend.Unit{Model: name}]; used != nil {
			c.Sleeper.Observe(model, used.LastUse, now)
		}
		share := model.Size / engine.ModelMemory
		c.keepAlive[name] = c.Sleeper.KeepAlive(model, share)
		if c.floors[name] == 0 && model.Active && model.MaximumReplicas != 0 && c.Sleeper.WakeAhead(model, share, now) {
			c.floors[name] = 1
		}
	}
}

// nameOf returns the name by which policies select a model.
func nameOf(model *config.Model) string {
	if model.Object != "" {
		return model.Object
	}
	return model.Name
}

func limitReplicas(floor, replicas int) int {
	if replicas == config.Unlimited {
		return floor
	}
	return min(floor, replicas)
}
