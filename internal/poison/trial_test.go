package poison

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestEndOfATrialWasExplainedByOthers: contents that crash runners were at all ends of a part that does as well, some
// of them at a few nodes only. There the part was sent on, though it had ended a runner when it was tried
// alone.
func TestEndOfATrialWasExplainedByOthers(t *testing.T) {
	guilty, first, content := PartIdentity("s", "guilty"), PartIdentity("s", "first"), Content{Path: "/x"}.Identity()
	ends := func(request Identity, trials ...bool) Finding {
		finding := Finding{Request: request, Controlled: true}
		for number, trial := range trials {
			run := runFrom(request, time.Duration(2*number)*time.Second, time.Duration(2*number+1)*time.Second)
			run.Trial = trial
			finding.add([]string{"r1", "r2", "r3"}[number], run)
		}
		return finding
	}
	for name, test := range map[string]struct {
		findings []Finding
		holds    []Identity
		blamed   bool
	}{
		"tried alone":            {[]Finding{ends(guilty, false, false, true), ends(content, false, false, false)}, []Identity{guilty}, true},
		"not tried":              {[]Finding{ends(guilty, false, false, false), ends(content, false, false, false)}, []Identity{guilty}, false},
		"tried with the guilty":  {[]Finding{ends(guilty, false, false, true), ends(first, false, false, true)}, []Identity{first}, false},
		"the guilty tried too":   {[]Finding{ends(guilty, false, false, true), ends(first, false, false, true)}, []Identity{first, guilty}, true},
		"tried without the mark": {[]Finding{ends(guilty, false, false, false), ends(first, false, false, true)}, []Identity{first}, true},
	} {
		t.Run(name, func(t *testing.T) {
			marks := NewMarks()
			marks.Put(test.findings, start.Add(time.Minute))
			blamed := false
			for _, part := range test.holds {
				mark, _ := marks.Find(part)
				blamed = blamed || marks.Blamed(mark, test.holds, false)
			}
			assert.Equal(t, blamed, test.blamed)
		})
	}
}

// TestRefusedPartWasSentOnceContentsExplainedIt: a part was refused by three ends, two of which two contents explained
// once they were refused as well. All requests with the part that waited were sent at once.
func TestRefusedPartWasSentOnceContentsExplainedIt(t *testing.T) {
	part, content := PartIdentity("s", "guilty"), Content{Path: "/x"}.Identity()
	ends := func(request Identity, runners ...string) Finding {
		finding := Finding{Request: request, Controlled: true}
		for number, runner := range runners {
			finding.add(runner, runFrom(request, time.Duration(2*number)*time.Second, time.Duration(2*number+1)*time.Second))
		}
		return finding
	}
	marks := NewMarks()
	check := func() Verdict { return marks.Check([]Identity{part}, start).Verdict }
	marks.Put([]Finding{ends(part, "r1", "r2", "r3")}, start)
	assert.Equal(t, check(), Refused)
	marks.Put([]Finding{ends(content, "r1", "r2", "r4")}, start)
	assert.Equal(t, check(), Held, "one end is left")
	marks.Put([]Finding{ends(content, "r1", "r2", "r3")}, start)
	assert.Equal(t, check(), Allowed, "none is left")
}
