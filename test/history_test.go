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

// death is the end of an engine process that was killed: it held nothing from
// then on.
type death struct {
	incarnation string
	at          time.Time
}

// history is everything the engines of a world did.
type history struct {
	records []journal.Record
	deaths  []death
}

func readHistory(t *testing.T, w *world.World, deaths ...death) history {
	t.Helper()
	records, err := w.Journals()
	assert.NilError(t, err)
	slices.SortStableFunc(records, func(left, right journal.Record) int { return left.Time.Compare(right.Time) })
	return history{records: records, deaths: deaths}
}

// killEngine kills an engine and returns its death for the history.
func killEngine(t *testing.T, w *world.World, name string) death {
	t.Helper()
	incarnation := w.Engines[name].Machine.Incarnation
	assert.NilError(t, w.KillEngine(name))
	return death{incarnation: incarnation, at: time.Now()}
}

// assertMemory checks that no engine was ever ordered beyond its memory.
func (h history) assertMemory(t *testing.T) {
	t.Helper()
	for _, record := range h.records {
		assert.Assert(t, record.Event != journal.EventViolation, "%+v", record)
	}
}

// most returns the largest number of replicas of a unit that were in memory,
// loading or unloading included, at one time.
func (h history) most(unit string) int {
	loaded := make(map[string]struct{})
	most := 0
	next := 0
	for _, record := range h.records {
		for next < len(h.deaths) && !h.deaths[next].at.After(record.Time) {
			delete(loaded, h.deaths[next].incarnation)
			next++
		}
		if record.Unit != unit {
			continue
		}
		switch record.Event {
		case journal.EventLoad:
			loaded[record.Incarnation] = struct{}{}
		case journal.EventGone:
			delete(loaded, record.Incarnation)
		}
		most = max(most, len(loaded))
	}
	return most
}

// mostAfter is most for the time after an instant.
func (h history) mostAfter(unit string, after time.Time) int {
	loaded := make(map[string]struct{})
	most := 0
	for _, record := range h.records {
		if record.Unit != unit {
			continue
		}
		switch record.Event {
		case journal.EventLoad:
			loaded[record.Incarnation] = struct{}{}
		case journal.EventGone:
			delete(loaded, record.Incarnation)
		}
		if record.Time.After(after) {
			most = max(most, len(loaded))
		}
	}
	return most
}

// runs returns how often requests with a prompt were run.
func (h history) runs(prompt string) int {
	count := 0
	for _, record := range h.records {
		if record.Event == journal.EventRun && record.Prompt == prompt {
			count++
		}
	}
	return count
}

// ranRequest tells whether any attempt of a request was run.
func (h history) ranRequest(id string) bool {
	return slices.ContainsFunc(h.records, func(record journal.Record) bool {
		return record.Event == journal.EventRun && strings.HasPrefix(record.Request, id+".")
	})
}

// assertTruthful checks the outcome of a request against what the engines did:
// a "not run" that ran, or an answer that is not whole, fails.
func (h history) assertTruthful(t *testing.T, c call, got outcome) {
	t.Helper()
	if got.Served {
		assert.Equal(t, got.Text, expected(c.Prompt, c.Tokens))
	}
	if got.Ran == "no" {
		assert.Assert(t, !h.ranRequest(got.ID), "request %s was refused as not run, but ran: %+v", got.ID, got)
	}
}
