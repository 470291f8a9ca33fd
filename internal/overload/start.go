package overload

import (
	"sync/atomic"
	"time"
)

// Start is the part of a request's life in which only this process works on it: from its arrival
// until it is first sent to a runner, waits for one, or ends. The nil Start does nothing.
type Start struct {
	monitor *Monitor
	begun   time.Time
	ended   atomic.Bool
}

// Sent records that the request is sent to a runner, and ends the start.
func (s *Start) Sent() {
	if s != nil && s.end() {
		s.monitor.counters.sent.Add(1)
	}
}

// End ends the start of a request that is not sent now.
func (s *Start) End() {
	if s != nil {
		s.end()
	}
}

// end reports whether the start had not ended before.
func (s *Start) end() bool {
	if s.ended.Swap(true) {
		return false
	}
	s.monitor.starting.Add(-1)
	select {
	case s.monitor.freed <- struct{}{}:
	default:
	}
	return true
}
