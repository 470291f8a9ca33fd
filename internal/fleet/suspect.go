package fleet

import "time"

const (
	// suspectInterval is the least time between two suspicions of a runner.
	suspectInterval = 500 * time.Millisecond
	// silentLifetime is how long a runner counts as silent after the holder reported it; the
	// holder repeats the report while it applies.
	silentLifetime = 1500 * time.Millisecond
)

// Suspect records that a runner has left a request unanswered for unusually long. It reports
// whether to tell the service's lease holder, which then checks the runner itself.
func (f *Fleet) Suspect(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.runners[id]
	if known == nil || f.now().Sub(known.suspectedAt) < suspectInterval {
		return false
	}
	known.suspect, known.suspectedAt = true, f.now()
	return true
}

// TakeSuspects returns a service's runners that were suspected since the last call.
func (f *Fleet) TakeSuspects(service string) []string {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	var suspects []string
	for id, known := range f.runners {
		if known.suspect && known.listed.Service == service {
			known.suspect = false
			suspects = append(suspects, id)
		}
	}
	return suspects
}

// silent reports whether the holder found a runner silent and the runner has not answered this
// node since: some nodes may reach a runner that others cannot. mutex must be held.
func (f *Fleet) silent(known *runner) bool {
	v := known.view
	return v != nil && v.silent && f.now().Sub(v.at) < silentLifetime && known.answeredAt.Before(v.at)
}
