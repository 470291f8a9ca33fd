package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndsBeforeASuccessWereCounted checks that a success disproves the ends before it, those beside others
// too, and neither later ones nor those of which it is not known when they were.
func TestEndsBeforeASuccessWereCounted(t *testing.T) {
	part := PartIdentity("s", "a")
	successes := NewSuccesses()
	finding := Finding{Request: part}
	for runner, ended := range map[string]time.Duration{"first": time.Second, "beside": time.Second, "later": 3 * time.Second} {
		finding.add(runner, runFrom(part, ended-time.Second, ended))
	}
	finding.add("untimed", Run{})
	assert.Equal(t, len(successes.Disproved(finding)), 0)
	successes.Record(part, start.Add(2*time.Second))
	disproved := successes.Disproved(finding)
	assert.Equal(t, len(disproved), 2)
	for _, runner := range disproved {
		assert.Assert(t, runner == "first" || runner == "beside", runner)
	}
}

// TestSuccessesAreBounded checks that the newest successes are kept.
func TestSuccessesAreBounded(t *testing.T) {
	successes := NewSuccesses()
	for number := range 3 * maxSuccesses {
		successes.Record(testIdentity(number), start.Add(time.Duration(number)))
	}
	assert.Assert(t, len(successes.last) <= maxSuccesses)
	_, kept := successes.last[testIdentity(3*maxSuccesses-1)]
	assert.Assert(t, kept)
}
