package orders

import "time"

const (
	// endsBorne is how many runners may end one after the other as they load a model until
	// it is loaded less and less often: single ends have other causes.
	endsBorne = 3
	// firstLoadPause follows the last of them, each further one is twice as long.
	firstLoadPause = 10 * time.Second
	// LongestLoadPause is the longest of them: a model that was mended is served again within
	// that.
	LongestLoadPause = 5 * time.Minute
)

// Ends counts the runners that ended as they loaded a model, so that a model that ends its
// runners does not end all of them. It is not safe for concurrent use.
type Ends struct {
	// loading are the models that runners load, ended the runners that ended and are still
	// listed.
	loading map[string]map[string]bool
	ended   map[string]bool
	models  map[string]*modelEnds
}

type modelEnds struct {
	count int
	until time.Time
}

// ModelEnds is what an account knows of one model, for the next holder to go on from.
type ModelEnds struct {
	Model string
	// Count is how many runners ended since the model was loaded last.
	Count int
	// Until is when the model may be loaded again; in the past where it may be now.
	Until time.Time
}

// NewEnds returns an account that goes on from what an earlier one knew.
func NewEnds(known []ModelEnds) *Ends {
	e := &Ends{loading: make(map[string]map[string]bool), ended: make(map[string]bool), models: make(map[string]*modelEnds)}
	for _, one := range known {
		e.models[one.Model] = &modelEnds{count: one.Count, until: one.Until}
	}
	return e
}

// Known returns what the next holder goes on from.
func (e *Ends) Known() []ModelEnds {
	known := make([]ModelEnds, 0, len(e.models))
	for name, ends := range e.models {
		known = append(known, ModelEnds{Model: name, Count: ends.count, Until: ends.until})
	}
	return known
}

// Follow takes over what a runner loads and holds. A load that was carried out clears its
// model; an order without an answer may be a load.
func (e *Ends) Follow(ledger *Ledger) {
	runner := ledger.Runner.ID
	if e.ended[runner] {
		return
	}
	coming := ledger.mayLoad()
	for name := range e.loading[runner] {
		if !coming[name] && ledger.models[name] != nil {
			delete(e.models, name)
		}
	}
	delete(e.loading, runner)
	if len(coming) > 0 {
		e.loading[runner] = coming
	}
}

// Ended notes that a runner ended, and returns the models that it was loading. planned is
// set where it said that it leaves, which has other reasons.
func (e *Ends) Ended(runner string, planned bool, now time.Time) []string {
	e.ended[runner] = true
	var ended []string
	for name := range e.loading[runner] {
		if planned {
			continue
		}
		ended = append(ended, name)
		known := e.models[name]
		if known == nil {
			known = &modelEnds{}
			e.models[name] = known
		}
		known.count++
		if beyond := known.count - endsBorne; beyond >= 0 {
			known.until = now.Add(loadPause(beyond))
		}
	}
	delete(e.loading, runner)
	return ended
}

// Forget forgets a runner that is not listed any more.
func (e *Ends) Forget(runner string) {
	delete(e.loading, runner)
	delete(e.ended, runner)
}

// loadPause is how long a model is not loaded after so many ends beyond those borne.
func loadPause(beyond int) time.Duration {
	pause := firstLoadPause
	for range beyond {
		if pause = 2 * pause; pause >= LongestLoadPause {
			return LongestLoadPause
		}
	}
	return pause
}

// Paused returns the models that are not to be loaded now, and until when.
func (e *Ends) Paused(now time.Time) map[string]time.Time {
	paused := make(map[string]time.Time)
	for name, known := range e.models {
		if now.Before(known.until) {
			paused[name] = known.until
		}
	}
	return paused
}
