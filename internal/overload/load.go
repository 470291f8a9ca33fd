package overload

import "time"

// Load is the load of a process.
type Load struct {
	// Starting is the number of requests that start.
	Starting int
	// ReadDelay is how long bytes that arrived wait to be read; it is long if there is no processor
	// time left. ConnectDelay is how much longer than usual connection attempts to runners take; it is
	// long if there is no processor time or no bandwidth left, or if the paths to most runners are
	// broken. Both are medians, and zero while few requests start.
	ReadDelay, ConnectDelay time.Duration
	// First is the median time from the arrival of requests to the first bytes of their answers.
	First time.Duration
	// Shut is for how long listening sockets were closed since the start.
	Shut time.Duration
	// Limit is the largest number of requests that may start, zero for any number.
	Limit int
}

// Delay returns the longer of the two delays.
func (l Load) Delay() time.Duration { return max(l.ReadDelay, l.ConnectDelay) }

// Load returns the current load.
func (m *Monitor) Load() Load {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return Load{
		Starting: int(m.starting.Load()), Limit: int(m.limiter.limit),
		ReadDelay: max(m.reads.median(now), m.echo.age(now)), ConnectDelay: m.attempts.median(now),
		First: m.firsts.median(now), Shut: time.Duration(m.counters.shut.Load()),
	}
}
