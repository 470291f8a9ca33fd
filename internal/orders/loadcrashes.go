package orders

import "time"

const (
	// crashesBeforePause is the number of runners that crash in a row while loading a model
	// before its loads are paused: single crashes have other causes.
	crashesBeforePause = 3
	// firstLoadPause is the first pause. It doubles with each further crash.
	firstLoadPause = 10 * time.Second
	// LongestLoadPause is the longest pause, so that a repaired model is served again within
	// that time.
	LongestLoadPause = 5 * time.Minute
)

// LoadCrashes counts the runners that crashed while loading a model, so that a model that
// crashes its runners does not crash all of them. It is not safe for concurrent use.
type LoadCrashes struct {
	// loading are the models that each runner loads. ended are the runners that ended and are
	// still listed.
	loading map[string]map[string]bool
	ended   map[string]bool
	models  map[string]*crashCount
}

// crashCount is the Count and Until of a ModelCrashes.
type crashCount struct {
	count int
	until time.Time
}

// ModelCrashes is the count of one model. The next lease holder continues from it.
type ModelCrashes struct {
	Model string
	// Count is the number of runners that crashed since the last successful load.
	Count int
	// Until is the time from which the model may be loaded again. It is in the past if the
	// model may be loaded now.
	Until time.Time
}

// NewLoadCrashes returns a LoadCrashes that continues from the counts of an earlier one.
func NewLoadCrashes(known []ModelCrashes) *LoadCrashes {
	c := &LoadCrashes{loading: make(map[string]map[string]bool), ended: make(map[string]bool), models: make(map[string]*crashCount)}
	for _, one := range known {
		c.models[one.Model] = &crashCount{count: one.Count, until: one.Until}
	}
	return c
}

// Known returns the counts for the next lease holder to continue from.
func (c *LoadCrashes) Known() []ModelCrashes {
	known := make([]ModelCrashes, 0, len(c.models))
	for name, crashes := range c.models {
		known = append(known, ModelCrashes{Model: name, Count: crashes.count, Until: crashes.until})
	}
	return known
}

// Follow updates the models that a runner loads and holds. A completed load resets the count of
// its model. An unanswered order counts as a possible load.
func (c *LoadCrashes) Follow(ledger *Ledger) {
	runner := ledger.Runner.ID
	if c.ended[runner] {
		return
	}
	loading := ledger.possibleLoads()
	for name := range c.loading[runner] {
		if !loading[name] && ledger.models[name] != nil {
			delete(c.models, name)
		}
	}
	delete(c.loading, runner)
	if len(loading) > 0 {
		c.loading[runner] = loading
	}
}

// RunnerEnded records that a runner ended and returns the models that it was loading. planned
// is set if the runner had announced its departure: its end is then not counted as a crash and
// no models are returned.
func (c *LoadCrashes) RunnerEnded(runner string, planned bool, now time.Time) []string {
	c.ended[runner] = true
	var interrupted []string
	for name := range c.loading[runner] {
		if planned {
			continue
		}
		interrupted = append(interrupted, name)
		known := c.models[name]
		if known == nil {
			known = &crashCount{}
			c.models[name] = known
		}
		known.count++
		if beyond := known.count - crashesBeforePause; beyond >= 0 {
			known.until = now.Add(loadPause(beyond))
		}
	}
	delete(c.loading, runner)
	return interrupted
}

// Forget removes a runner that is no longer listed.
func (c *LoadCrashes) Forget(runner string) {
	delete(c.loading, runner)
	delete(c.ended, runner)
}

// loadPause returns the pause after the given number of crashes beyond crashesBeforePause.
func loadPause(beyond int) time.Duration {
	pause := firstLoadPause
	for range beyond {
		if pause = 2 * pause; pause >= LongestLoadPause {
			return LongestLoadPause
		}
	}
	return pause
}

// Paused returns the models that must not be loaded now, with the end of their pause.
func (c *LoadCrashes) Paused(now time.Time) map[string]time.Time {
	paused := make(map[string]time.Time)
	for name, known := range c.models {
		if now.Before(known.until) {
			paused[name] = known.until
		}
	}
	return paused
}
