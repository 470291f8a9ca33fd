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
		now, due, expected time.Duration
		want               bool
	}{
		"due in time":                       {6 * time.Second, left, 0, true},
		"due in time, expected to be late":  {6 * time.Second, left, time.Hour, true},
		"in the notice, nothing known":      {time.Second, time.Hour, 0, true},
		"in the notice, expected in time":   {time.Second, time.Hour, left - time.Second, true},
		"in the notice, expected late":      {time.Second, time.Hour, left, false},
		"when clients may end the notice":   {2900 * time.Millisecond, time.Hour, 0, false},
		"after the notice":                  {3 * time.Second, time.Hour, time.Millisecond, false},
		"after the notice, due a bit later": {3 * time.Second, left + time.Millisecond, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, s.Accepts(begin.Add(one.now), begin.Add(one.due), one.expected), one.want)
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
			moments := []time.Time{s.Begin, s.LatestOpen, s.NoticeEnd, s.LastAnswers, s.ConnectionsEnd, s.End, begin.Add(grace)}
			assert.Assert(t, slices.IsSortedFunc(moments, time.Time.Compare), "grace %s, notice %s: %v", grace, notice, s)
			assert.Assert(t, s.LastAnswers.Sub(begin) > grace*(lastPart-1)/lastPart)
			assert.Assert(t, !s.NoticeEnd.After(s.LastAnswers))
		}
	}
}
