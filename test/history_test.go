package test

import (
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
)

// runnerKill records when a runner process was killed. It holds no models from then on.
type runnerKill struct {
	incarnation string
	at          time.Time
}

// history is everything that the runners of a world did, read from their journals.
type history struct {
	records []journal.Record
	kills   []runnerKill
}

// readHistory returns the records of all journals so far, in order of time.
func readHistory(t *testing.T, w *world.World, kills ...runnerKill) history {
	t.Helper()
	records, err := w.Journals()
	assert.NilError(t, err)
	slices.SortStableFunc(records, func(left, right journal.Record) int { return left.Time.Compare(right.Time) })
	return history{records: records, kills: kills}
}

// killRunner kills a runner and returns the record of it for the history.
func killRunner(t *testing.T, w *world.World, name string) runnerKill {
	t.Helper()
	assert.NilError(t, w.KillRunner(name))
	return runnerKill{incarnation: name, at: time.Now()}
}

// maxLoaded returns the largest number of replicas of all the given units together that
// were in memory at one time.
func (h history) maxLoaded(units ...string) int {
	return h.maxLoadedAfter(time.Time{}, units...)
}

// maxLoadedAfter is maxLoaded for the time after an instant.
func (h history) maxLoadedAfter(after time.Time, units ...string) int {
	loaded := make(map[string]struct{})
	most, next := 0, 0
	for _, record := range h.records {
		for next < len(h.kills) && !h.kills[next].at.After(record.Time) {
			removeIncarnation(loaded, h.kills[next].incarnation)
			next++
		}
		if !slices.Contains(units, record.Unit) {
			continue
		}
		switch record.Event {
		case journal.EventLoad:
			loaded[record.Incarnation+" "+record.Unit] = struct{}{}
		case journal.EventUnloaded:
			delete(loaded, record.Incarnation+" "+record.Unit)
		}
		if record.Time.After(after) {
			most = max(most, len(loaded))
		}
	}
	return most
}

func removeIncarnation(loaded map[string]struct{}, incarnation string) {
	for key := range loaded {
		if strings.HasPrefix(key, incarnation+" ") {
			delete(loaded, key)
		}
	}
}

// assertOrderGap checks that consecutive loads that different nodes ordered at one runner
// are at least gap apart.
func (h history) assertOrderGap(t *testing.T, gap time.Duration) {
	t.Helper()
	type order struct {
		owner string
		at    time.Time
	}
	last := make(map[string]order)
	for _, record := range h.records {
		_, owner, found := strings.Cut(record.Detail, " owner ")
		if record.Event != journal.EventLoad || !found {
			continue
		}
		before, known := last[record.Runner]
		if known && before.owner != owner {
			assert.Assert(t, record.Time.Sub(before.at) >= gap, "%s: %s ordered %s after %s", record.Runner, owner, record.Time.Sub(before.at), before.owner)
		}
		last[record.Runner] = order{owner: owner, at: record.Time}
	}
}

// assertMemoryNeverExceeded checks that no engine received an order that exceeds its
// memory.
func (h history) assertMemoryNeverExceeded(t *testing.T) {
	t.Helper()
	for _, record := range h.records {
		assert.Assert(t, record.Event != journal.EventViolation, "%+v", record)
	}
}

// maxReplicas returns the largest number of replicas of a unit that were in memory at one
// time, including those being loaded or unloaded.
func (h history) maxReplicas(unit string) int { return h.maxLoaded(unit) }

// runsOfPrompt returns how often runners ran a prompt.
func (h history) runsOfPrompt(prompt string) int {
	count := 0
	for _, record := range h.records {
		if record.Event == journal.EventRun && record.Prompt == prompt {
			count++
		}
	}
	return count
}

// countRuns returns how often runners ran each request.
func (h history) countRuns() map[string]int {
	runs := make(map[string]int)
	for _, record := range h.records {
		if record.Event == journal.EventRun {
			runs[record.Request]++
		}
	}
	return runs
}

// ranRequest reports whether any attempt of a request ran.
func (h history) ranRequest(id string) bool {
	return slices.ContainsFunc(h.records, func(record journal.Record) bool {
		return record.Event == journal.EventRun && record.Request == id
	})
}

// assertTruthful checks the outcome of a request against what the engines did. It fails
// when a request that was refused as not run did run, or when an answer is not complete.
func (h history) assertTruthful(t *testing.T, c call, got outcome) {
	t.Helper()
	if got.Served {
		assert.Equal(t, got.Text, expectedText(c.Prompt, c.Tokens))
	}
	if got.Ran == "no" {
		assert.Assert(t, !h.ranRequest(got.ID), "request %s was refused as not run, but ran: %+v", got.ID, got)
	}
}
