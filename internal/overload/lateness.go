package overload

import "time"

const (
	// lateHold is how long a process counts as late after it was.
	lateHold = 2 * time.Second
	// allowanceFactor is the number of delays in which an answer that arrived in time is read: a request
	// passes through some three of them, each of which may be twice the median.
	allowanceFactor = 6
)

// Allowance returns how much longer than usual others may seem to take because this process is late with
// its own work, as Monitor.Allowance does. Nil is none.
type Allowance func() time.Duration

// Get returns the current allowance.
func (a Allowance) Get() time.Duration {
	if a == nil {
		return 0
	}
	return a()
}

// lateness tracks how late a process lately was. It is not safe for concurrent use.
type lateness struct {
	// at is when the delay last was above targetDelay.
	at time.Time
	// worst is the longest delay lately, observed at worstAt.
	worst   time.Duration
	worstAt time.Time
}

// observe records the delay at a time.
func (l *lateness) observe(now time.Time, delay time.Duration) {
	if delay <= targetDelay {
		return
	}
	l.at = now
	if delay >= l.worst || now.Sub(l.worstAt) >= lateHold {
		l.worst, l.worstAt = delay, now
	}
}

// allowance returns how long a silence of others may be that the delay explains.
func (l *lateness) allowance(now time.Time) time.Duration {
	if l.at.IsZero() || now.Sub(l.at) >= lateHold {
		return 0
	}
	return allowanceFactor * l.worst
}
