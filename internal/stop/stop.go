// Package stop derives the moments of a node's planned stop from its settings.
package stop

import (
	"sync/atomic"
	"time"

	"lilacvane/internal/settings"
)

// Schedule holds the moments of a planned stop.
type Schedule struct {
	// Begin is when the stop began, NoticeEnd when clients have stopped sending new requests.
	Begin     time.Time
	NoticeEnd time.Time
}

// NewSchedule returns the schedule of a stop that begins at a time.
func NewSchedule(begin time.Time, limits settings.Stop) Schedule {
	return Schedule{Begin: begin, NoticeEnd: begin.Add(limits.Notice)}
}

// Phase is a part of a stop.
type Phase string

// The phases.
const (
	PhaseBefore      Phase = "before"
	PhaseNotice      Phase = "notice"
	PhaseAfterNotice Phase = "after notice"
)

// PhaseAt returns the phase of the stop at a time.
func (s Schedule) PhaseAt(t time.Time) Phase {
	switch {
	case t.Before(s.Begin):
		return PhaseBefore
	case t.Before(s.NoticeEnd):
		return PhaseNotice
	default:
		return PhaseAfterNotice
	}
}

// State is whether a node stops. Its methods may be called concurrently; the zero value is that of a node
// that does not stop.
type State struct{ schedule atomic.Pointer[Schedule] }

// Start records that the node stops.
func (s *State) Start(schedule Schedule) { s.schedule.Store(&schedule) }

// Schedule returns the schedule of the stop; false if the node does not stop.
func (s *State) Schedule() (Schedule, bool) {
	if schedule := s.schedule.Load(); schedule != nil {
		return *schedule, true
	}
	return Schedule{}, false
}
