// Package stop derives the moments of a node's planned stop from its settings, and decides what a node that
// stops still takes on.
package stop

import (
	"sync"
	"time"

	"lilacvane/internal/settings"
)

const (
	// lastPart is the part of the grace, as one in lastPart, in which requests that still run may be cut
	// off, if they were sent within the notice.
	lastPart = 6
	// noticeMargin is the part of the notice, as one in noticeMargin, by which clients may count it from an
	// earlier moment: the signal is handled late.
	noticeMargin = 12
)

// Schedule holds the moments of a planned stop, in their order.
type Schedule struct {
	// Begin is when the stop began.
	Begin time.Time
	// LatestOpen is until when requests are taken on that need not end before LastAnswers.
	LatestOpen time.Time
	// NoticeEnd is when clients have stopped sending new requests.
	NoticeEnd time.Time
	// LastAnswers is when requests under way get their final answers or are cut off.
	LastAnswers time.Time
	// ConnectionsEnd is when connections are closed, whatever was not written to them.
	ConnectionsEnd time.Time
	// ClaimsEnd is when claims are handed over no longer.
	ClaimsEnd time.Time
	// BackgroundEnd is when background work is waited for no longer.
	BackgroundEnd time.Time
	// LogEnd is when the process ends, whatever of its log was not written.
	LogEnd time.Time
}

// NewSchedule returns the schedule of a stop that begins at a time. Requests under way are cut off in the
// middle of the last part of the grace; what is left of it is for their answers, for the clean-up, and for a
// process that is late.
func NewSchedule(begin time.Time, limits settings.Stop) Schedule {
	part := limits.Grace / lastPart
	notice := min(limits.Notice, limits.Grace-part)
	return Schedule{
		Begin: begin, LatestOpen: begin.Add(notice - notice/noticeMargin), NoticeEnd: begin.Add(notice),
		LastAnswers: begin.Add(limits.Grace - part/2), ConnectionsEnd: begin.Add(limits.Grace - part*3/8),
		ClaimsEnd: begin.Add(limits.Grace - part*5/16), BackgroundEnd: begin.Add(limits.Grace - part/4), LogEnd: begin.Add(limits.Grace - part*3/16),
	}
}

// ConnectionsEndAfter returns when connections end if the last answers were given at a time. If the process is late,
// writing them gets the same time, as far as background work leaves it.
func (s Schedule) ConnectionsEndAfter(answers time.Time) time.Time {
	end := answers.Add(s.ConnectionsEnd.Sub(s.LastAnswers))
	if end.After(s.BackgroundEnd) {
		return s.BackgroundEnd
	}
	return end
}

// Work is a request that has not begun.
type Work struct {
	// Read is when the request was read whole, Due when its final answer must be sent.
	Read time.Time
	Due  time.Time
	// Duration is how long it is expected to run, and Delay the time until it can begin; both are known only
	// if Known is set.
	Duration time.Duration
	Delay    time.Duration
	Known    bool
}

// Accepts reports whether a request may begin, or wait to begin. What was read too late begins only if its answer is due
// before the last answers, as expectations may be wrong.
func (s Schedule) Accepts(now time.Time, w Work) bool {
	switch {
	case !w.Due.After(s.LastAnswers):
		return true
	case !w.Read.Before(s.LatestOpen):
		return false
	case w.Known:
		return !now.Add(w.Delay + w.Duration).After(s.LastAnswers)
	default:
		return now.Before(s.LatestOpen)
	}
}

// RecheckAfter returns the time after which a request that waits may no longer be accepted, though nothing else changes;
// zero if there is none.
func (s Schedule) RecheckAfter(now time.Time, w Work) time.Duration {
	latest := s.LatestOpen
	if w.Known {
		latest = s.LastAnswers.Add(-w.Delay - w.Duration)
	}
	return max(latest.Sub(now)+time.Millisecond, 0)
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
type State struct {
	mutex    sync.Mutex
	schedule *Schedule
	begun    chan struct{}
}

// Start records that the node stops. Later calls change nothing.
func (s *State) Start(schedule Schedule) {
	begun := s.begunChannel()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.schedule == nil {
		s.schedule = &schedule
		close(begun)
	}
}

// Stopping reports whether the node stops.
func (s *State) Stopping() bool {
	_, stopping := s.Schedule()
	return stopping
}

// InNotice reports whether the node stops and its notice has not ended.
func (s *State) InNotice(now time.Time) bool {
	schedule, stopping := s.Schedule()
	return stopping && now.Before(schedule.NoticeEnd)
}

// Begun returns a channel that is closed once the node stops.
func (s *State) Begun() <-chan struct{} { return s.begunChannel() }

func (s *State) begunChannel() chan struct{} {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.begun == nil {
		s.begun = make(chan struct{})
	}
	return s.begun
}

// Schedule returns the schedule of the stop; false if the node does not stop.
func (s *State) Schedule() (Schedule, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.schedule == nil {
		return Schedule{}, false
	}
	return *s.schedule, true
}
