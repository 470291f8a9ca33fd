package fleet

import "time"

const (
	// suspectPause is the least time between two suspicions of a runner.
	suspectPause = 500 * time.Millisecond
	// silentLifetime is how long the holder's word that a runner is silent counts;
	// it repeats it while that is so.
	silentLifetime = 1500 * time.Millisecond
)

// Suspect notes that a runner leaves a request without any answer for longer than
// is usual. It returns whether that is to be told to the service's control holder,
// which asks the runner itself.
func (f *Fleet) Suspect(id string) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.runners[id]
	if known == nil || f.now().Sub(known.suspectedAt) < suspectPause {
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

// silent reports whether the holder found a runner silent and it has not answered
// this node since: some nodes may reach a runner that others do not. mutex is held.
func (f *Fleet) silent(known *runner) bool {
	v := known.view
	return v != nil && v.silent && f.now().Sub(v.at) < silentLifetime && known.answeredAt.Before(v.at)
}
