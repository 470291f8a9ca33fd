package stop

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/settings"
)

// TestStoppingNodeTookOnWhatItCannotFinish: what may last beyond the last answers is taken on within the
// notice only, and not if it is expected to last longer.
func TestStoppingNodeTookOnWhatItCannotFinish(t *testing.T) {
	begin := time.Now()
	s := NewSchedule(begin, settings.Stop{Grace: 8 * time.Second, Notice: 3 * time.Second})
	left := s.LastAnswers.Sub(begin)
	for name, one := range map[string]struct {
		read, now, due  time.Duration
		duration, delay time.Duration
		known, want     bool
	}{
		"due in time":                      {read: 6 * time.Second, now: 6 * time.Second, due: left, want: true},
		"due in time, expected to be late": {read: 6 * time.Second, now: 6 * time.Second, due: left, duration: time.Hour, known: true, want: true},
		"in the notice, nothing known":     {read: time.Second, now: time.Second, due: time.Hour, want: true},
		"in the notice, expected in time":  {read: time.Second, now: time.Second, due: time.Hour, duration: left - time.Second, known: true, want: true},
		"in the notice, expected late":     {read: time.Second, now: time.Second, due: time.Hour, duration: left, known: true},
		"waits for what comes in time":     {read: time.Second, now: time.Second, due: time.Hour, duration: time.Second, delay: left - 2*time.Second, known: true, want: true},
		"waits for what comes late":        {read: time.Second, now: time.Second, due: time.Hour, duration: time.Second, delay: left - time.Second, known: true},
		"waited, expected in time":         {read: time.Second, now: 4 * time.Second, due: time.Hour, duration: left - 4*time.Second, known: true, want: true},
		"waited, nothing known":            {read: time.Second, now: 3 * time.Second, due: time.Hour},
		"when clients may end the notice":  {read: 2900 * time.Millisecond, now: 2900 * time.Millisecond, due: time.Hour},
		"after the notice":                 {read: 3 * time.Second, now: 3 * time.Second, due: time.Hour, duration: time.Millisecond, known: true},
		"after the notice, due a bit late": {read: 3 * time.Second, now: 3 * time.Second, due: left + time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			w := Work{Read: begin.Add(one.read), Due: begin.Add(one.due), Duration: one.duration, Delay: one.delay, Known: one.known}
			assert.Equal(t, s.Accepts(begin.Add(one.now), w), one.want)
		})
	}
}

// TestStopBeginsOnce: a second signal changes no moment.
func TestStopBeginsOnce(t *testing.T) {
	var state State
	_, stopping := state.Schedule()
	assert.Assert(t, !stopping)
	first := NewSchedule(time.Now(), settings.Stop{Grace: time.Second})
	state.Start(first)
	state.Start(NewSchedule(time.Now().Add(time.Minute), settings.Stop{Grace: time.Second}))
	<-state.Begun()
	got, stopping := state.Schedule()
	assert.Assert(t, stopping)
	assert.Equal(t, got, first)
}

// TestStopEndedAnswersBeforeTheLastPart: whatever the settings, the moments of a stop are in their order, the
// last answers in the last part of the grace, and the end is within the grace.
func TestStopEndedAnswersBeforeTheLastPart(t *testing.T) {
	begin := time.Now()
	for _, grace := range []time.Duration{time.Second, 8 * time.Second, time.Minute, time.Hour} {
		for _, notice := range []time.Duration{0, grace / 3, grace - 1} {
			s := NewSchedule(begin, settings.Stop{Grace: grace, Notice: notice})
			moments := []time.Time{s.Begin, s.LatestOpen, s.NoticeEnd, s.LastAnswers, s.ConnectionsEnd, s.ClaimsEnd, s.BackgroundEnd, s.LogEnd, begin.Add(grace)}
			assert.Assert(t, slices.IsSortedFunc(moments, time.Time.Compare), "grace %s, notice %s: %v", grace, notice, s)
			assert.Assert(t, s.LastAnswers.Sub(begin) > grace*(lastPart-1)/lastPart)
			assert.Assert(t, !s.NoticeEnd.After(s.LastAnswers))
		}
	}
}

// TestStateFollowsItsSchedule: a node stops from the begin of its stop on, and is in its notice until that ends.
func TestStateFollowsItsSchedule(t *testing.T) {
	var state State
	begin := time.Now()
	assert.Assert(t, !state.Stopping())
	assert.Assert(t, !state.InNotice(begin))
	state.Start(NewSchedule(begin, settings.Stop{Grace: 8 * time.Second, Notice: 3 * time.Second}))
	assert.Assert(t, state.Stopping())
	assert.Assert(t, state.InNotice(begin.Add(3*time.Second-1)))
	assert.Assert(t, !state.InNotice(begin.Add(3*time.Second)))
	assert.Assert(t, state.Stopping())
}

// TestLateProcessEndedConnectionsBeforeAnswers: a process that is late has as long to write its last answers as any, but not beyond
// the end of background work.
func TestLateProcessEndedConnectionsBeforeAnswers(t *testing.T) {
	s := NewSchedule(time.Now(), settings.Stop{Grace: 8 * time.Second, Notice: 3 * time.Second})
	assert.Equal(t, s.ConnectionsEndAfter(s.LastAnswers), s.ConnectionsEnd)
	late := s.ConnectionsEnd.Sub(s.LastAnswers)
	assert.Equal(t, s.ConnectionsEndAfter(s.LastAnswers.Add(late/2)), s.ConnectionsEnd.Add(late/2))
	assert.Equal(t, s.ConnectionsEndAfter(s.BackgroundEnd), s.BackgroundEnd)
}
