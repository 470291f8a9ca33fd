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
	e := &LoadCrashes{loading: make(map[string]map[string]bool), ended: make(map[string]bool), models: make(map[string]*crashCount)}
	for _, one := range known {
		e.models[one.Model] = &crashCount{count: one.Count, until: one.Until}
	}
	return e
}

// Known returns the counts for the next lease holder to continue from.
func (e *LoadCrashes) Known() []ModelCrashes {
	known := make([]ModelCrashes, 0, len(e.models))
	for name, crashes := range e.models {
		known = append(known, ModelCrashes{Model: name, Count: crashes.count, Until: crashes.until})
	}
	return known
}

// Follow updates the models that a runner loads and holds. A completed load resets the count of
// its model. An unanswered order counts as a possible load.
func (e *LoadCrashes) Follow(ledger *Ledger) {
	runner := ledger.Runner.ID
	if e.ended[runner] {
		return
	}
	loading := ledger.possibleLoads()
	for name := range e.loading[runner] {
		if !loading[name] && ledger.models[name] != nil {
			delete(e.models, name)
		}
	}
	delete(e.loading, runner)
	if len(loading) > 0 {
		e.loading[runner] = loading
	}
}

// RunnerEnded records that a runner ended and returns the models that it was loading. planned
// is set if the runner had announced its departure, so that its end is not counted as a crash.
func (e *LoadCrashes) RunnerEnded(runner string, planned bool, now time.Time) []string {
	e.ended[runner] = true
	var ended []string
	for name := range e.loading[runner] {
		if planned {
			continue
		}
		ended = append(ended, name)
		known := e.models[name]
		if known == nil {
			known = &crashCount{}
			e.models[name] = known
		}
		known.count++
		if beyond := known.count - crashesBeforePause; beyond >= 0 {
			known.until = now.Add(loadPause(beyond))
		}
	}
	delete(e.loading, runner)
	return ended
}

// Forget removes a runner that is no longer listed.
func (e *LoadCrashes) Forget(runner string) {
	delete(e.loading, runner)
	delete(e.ended, runner)
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
func (e *LoadCrashes) Paused(now time.Time) map[string]time.Time {
	paused := make(map[string]time.Time)
	for name, known := range e.models {
		if now.Before(known.until) {
			paused[name] = known.until
		}
	}
	return paused
}
