package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// runFrom returns a run of a part that was sent and ended at these times after start.
func runFrom(part Identity, sent, ended time.Duration) Run {
	return Run{Request: part, Sent: start.Add(sent), Ended: start.Add(ended)}
}

// TestEndsAtOnceCountOnceForAPart checks that runners that end at the same time count once for a part,
// in whichever order they are reported, and that those that end one after the other count each.
func TestEndsAtOnceCountOnceForAPart(t *testing.T) {
	part := PartIdentity("s", "a")
	tally := NewTally()
	for number := range 2 * RefuseThreshold {
		sent := time.Duration(number) * time.Millisecond
		assert.Equal(t, len(tally.RecordRuns(fmt.Sprint("at once ", number), []Run{runFrom(part, sent, time.Second+sent)}, start)), 0)
	}
	assert.Equal(t, len(tally.Runners(part)), 1)
	found := tally.RecordRuns("later", []Run{runFrom(part, 2*time.Second, 3*time.Second)}, start)
	assert.Equal(t, len(found), 1)
	assert.DeepEqual(t, found[0].Runners, []string{"at once 0", "later"})
	assert.Equal(t, len(found[0].Beside), 2*RefuseThreshold-1)
	assert.Equal(t, len(tally.RecordRuns("earlier", []Run{runFrom(part, -3*time.Second, -2*time.Second)}, start)[0].Runners), RefuseThreshold)
}

// TestFindingsOfTwoTalliesDoNotAddUpEndsAtOnce checks that two tallies that count another one of the runners
// that ended at the same time do not count both once they tell each other.
func TestFindingsOfTwoTalliesDoNotAddUpEndsAtOnce(t *testing.T) {
	part := PartIdentity("s", "a")
	first, second := NewTally(), NewTally()
	runs := map[string]Run{"r1": runFrom(part, 0, time.Second), "r2": runFrom(part, 0, time.Second), "r3": runFrom(part, 2*time.Second, 3*time.Second)}
	for _, runner := range []string{"r1", "r2", "r3"} {
		first.RecordRuns(runner, []Run{runs[runner]}, start)
	}
	var finding Finding
	for _, runner := range []string{"r2", "r1", "r3"} {
		if found := second.RecordRuns(runner, []Run{runs[runner]}, start); len(found) > 0 {
			finding = found[0]
		}
	}
	assert.DeepEqual(t, finding.Runners, []string{"r2", "r3"})
	assert.Assert(t, len(first.Merge(finding, start).Runners) <= SuspectThreshold)
	marks := NewMarks()
	marks.Put([]Finding{finding}, start)
	marks.Put([]Finding{{Request: part, Runners: []string{"r1", "r3"}, Runs: []Run{runs["r1"], runs["r3"]}, Beside: []string{"r2"}}}, start)
	mark, _ := marks.Find(part)
	assert.Assert(t, !mark.Refused())
}

// TestPartThatComesWithAnotherIsNotBlamed checks which requests the marks of parts apply to.
func TestPartThatComesWithAnotherIsNotBlamed(t *testing.T) {
	guilty, first, other, content := PartIdentity("s", "guilty"), PartIdentity("s", "first"), PartIdentity("s", "other"), Content{Path: "/x"}.Identity()
	ends := func(from, to int) []string {
		var runners []string
		for number := from; number < to; number++ {
			runners = append(runners, fmt.Sprint("r", number))
		}
		return runners
	}
	for name, test := range map[string]struct {
		findings []Finding
		holds    []Identity
		cleared  bool
		blamed   bool
	}{
		"the guilty part":                    {[]Finding{{Request: guilty, Runners: ends(0, 3)}}, []Identity{first, guilty}, false, true},
		"both at all ends":                   {[]Finding{{Request: guilty, Runners: ends(0, 3)}, {Request: first, Runners: ends(0, 3)}}, []Identity{first, guilty}, false, true},
		"the first part at the same ends":    {[]Finding{{Request: guilty, Runners: ends(0, 3)}, {Request: first, Runners: ends(0, 3)}}, []Identity{first, other}, false, false},
		"the first part at ends beside":      {[]Finding{{Request: guilty, Runners: ends(0, 3), Beside: ends(3, 4)}, {Request: first, Runners: ends(1, 4)}}, []Identity{first, other}, false, false},
		"the guilty part with another first": {[]Finding{{Request: guilty, Runners: ends(0, 5)}, {Request: first, Runners: ends(0, 3)}}, []Identity{other, guilty}, false, true},
		"two guilty parts":                   {[]Finding{{Request: guilty, Runners: ends(0, 3)}, {Request: other, Runners: ends(5, 8)}}, []Identity{first, other}, false, true},
		"the content alone is guilty":        {[]Finding{{Request: content, Runners: ends(0, 3)}, {Request: first, Runners: ends(0, 3)}}, []Identity{first}, false, false},
		"fewer ends of a content":            {[]Finding{{Request: content, Runners: ends(0, 3)}, {Request: guilty, Runners: ends(0, 4)}}, []Identity{guilty}, false, true},
		"fewer ends of a content, cleared":   {[]Finding{{Request: content, Runners: ends(0, 3)}, {Request: first, Runners: ends(0, 5)}}, []Identity{first}, true, false},
		"a part that has succeeded once":     {[]Finding{{Request: guilty, Runners: ends(0, 3)}, {Request: first, Runners: ends(0, 5)}}, []Identity{first}, true, false},
		"more ends than are explained":       {[]Finding{{Request: guilty, Runners: ends(0, 3)}, {Request: first, Runners: ends(0, 6)}}, []Identity{first, other}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			marks := NewMarks()
			for i := range test.findings {
				test.findings[i].Controlled = true
			}
			marks.Put(test.findings, start)
			blamed := false
			for _, part := range test.holds {
				mark, known := marks.Find(part)
				blamed = blamed || known && mark.Refused() && marks.Blamed(mark, test.holds, test.cleared)
			}
			assert.Equal(t, blamed, test.blamed)
		})
	}
}

// TestSuccessClearsAPart checks that an attempt that succeeds clears a part of all known ends, and that a
// late report of one of them does not undo that.
func TestSuccessClearsAPart(t *testing.T) {
	part := PartIdentity("s", "a")
	tally := NewTally()
	run := func(number int) []Run {
		return []Run{runFrom(part, time.Duration(2*number)*time.Second, time.Duration(2*number+1)*time.Second)}
	}
	for number := range 2 {
		tally.RecordRuns(fmt.Sprint("r", number), run(number), start)
	}
	tally.Strike(part, Finding{Runners: tally.Runners(part)}.All(), start)
	assert.Equal(t, len(tally.Runners(part)), 0)
	assert.Equal(t, len(tally.RecordRuns("r1", run(1), start)), 0)
	assert.Equal(t, len(tally.RecordRuns("r2", run(2), start)), 0, "one end since")
}

// TestPartIsNotBlamedIfNothingSucceeds checks that the mark of a part applies only once a request without it
// has succeeded in its service.
func TestPartIsNotBlamedIfNothingSucceeds(t *testing.T) {
	part, other := PartIdentity("s", "a"), PartIdentity("s", "b")
	marks := NewMarks()
	marks.Put([]Finding{{Request: part, Runners: []string{"r1", "r2", "r3"}}}, start)
	blamed := func() bool {
		mark, known := marks.Find(part)
		return known && mark.Refused() && marks.Blamed(mark, []Identity{part}, false)
	}
	assert.Assert(t, !blamed())
	assert.Equal(t, len(marks.Control("s", []Identity{part, other})), 0, "it holds the part")
	assert.Equal(t, len(marks.Control("another service", []Identity{other})), 0)
	controlled := marks.Control("s", []Identity{other})
	assert.Equal(t, len(marks.Put(controlled, start)), 1)
	assert.Assert(t, blamed())
	assert.Equal(t, len(marks.Control("s", []Identity{other})), 0, "already known")
}
