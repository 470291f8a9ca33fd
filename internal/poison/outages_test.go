package poison

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endAt returns a run of a request that ended some time after an epoch.
func endAt(epoch time.Time, request Identity, after time.Duration) Run {
	return Run{Request: request, Sent: epoch.Add(after - time.Second), Ended: epoch.Add(after)}
}

// TestEndsInAnOutageAreExplained: the end of a runner is explained if enough others ended at the same time
// without the request, not if it ran there as well, and not by ends at other times.
func TestEndsInAnOutageAreExplained(t *testing.T) {
	epoch := time.Now()
	request, other := testIdentity(0), testIdentity(1)
	for _, test := range []struct {
		name string
		// with and without are how many other runners ended at once under the request and without it; late
		// how much later the latter did.
		with, without int
		late          time.Duration
		runners       int
		explained     bool
	}{
		{"alone", 0, 0, 0, 10, false},
		{"beside few", 0, minOutage - 1, 0, 10, false},
		{"beside many", 0, minOutage, 0, 10, true},
		{"beside others of the request", minOutage, minOutage - 1, 0, 10, false},
		{"a moment later", 0, minOutage, atOnce / 2, 10, true},
		{"later", 0, minOutage, atOnce, 10, false},
		{"few of a large fleet", 0, minOutage, 0, 10 * outageShare, false},
	} {
		outages := NewOutages()
		found := Finding{Request: request, Runners: []string{"r"}, Runs: []Run{endAt(epoch, request, 0)}}
		outages.Record("r", found.Runs, epoch)
		for number := range test.with {
			outages.Record(fmt.Sprint("with ", number), []Run{endAt(epoch, request, 0), endAt(epoch, other, 0)}, epoch)
		}
		for number := range test.without {
			outages.Record(fmt.Sprint("without ", number), []Run{endAt(epoch, other, test.late)}, epoch)
		}
		explained := outages.Explained(found, test.runners, epoch, 0)
		assert.Equal(t, len(explained) == 1, test.explained, test.name)
		assert.Equal(t, len(outages.Explained(found, test.runners, epoch, time.Second)), 0, "%s: reports are awaited", test.name)
	}
}

// TestLateReportOfARequestEndsItsExcuse: reports of one runner come from several nodes; once one tells that the
// request ran there, that runner's end explains nothing of the request.
func TestLateReportOfARequestEndsItsExcuse(t *testing.T) {
	epoch := time.Now()
	request, other := testIdentity(0), testIdentity(1)
	outages := NewOutages()
	found := Finding{Request: request, Runners: []string{"r"}, Runs: []Run{endAt(epoch, request, 0)}}
	for number := range minOutage {
		outages.Record(fmt.Sprint(number), []Run{endAt(epoch, other, 0)}, epoch)
	}
	assert.Equal(t, len(outages.Explained(found, 0, epoch, 0)), 1)
	outages.Record("0", []Run{endAt(epoch, request, 0)}, epoch)
	assert.Equal(t, len(outages.Explained(found, 0, epoch, 0)), 0)
}

// TestRunnersOfAFindingAreNoOthers: a node that knows by a finding alone that a request ran on runners doesn't count
// them as others, though the reports that it has tell of another request there.
func TestRunnersOfAFindingAreNoOthers(t *testing.T) {
	epoch := time.Now()
	request, other := testIdentity(0), testIdentity(1)
	for name, timed := range map[string]bool{"times known": true, "times not known": false} {
		outages := NewOutages()
		found := Finding{Request: request}
		for number := range minOutage + 1 {
			runner := fmt.Sprint(number)
			outages.Record(runner, []Run{endAt(epoch, other, 0)}, epoch)
			run := Run{Request: request}
			if timed {
				run = endAt(epoch, request, 0)
			}
			found.add(runner, run)
		}
		assert.Equal(t, len(outages.Explained(found, 0, epoch, 0)), 0, name)
	}
}

// TestOutagesAreBounded: ends that are too old or too many are dropped.
func TestOutagesAreBounded(t *testing.T) {
	epoch := time.Now()
	outages := NewOutages()
	for number := range 2 * maxOutageEnds {
		outages.Record(fmt.Sprint(number), []Run{endAt(epoch, testIdentity(0), time.Duration(number)*time.Millisecond)}, epoch)
	}
	assert.Assert(t, len(outages.ends) <= maxOutageEnds)
	later := epoch.Add(2 * outageLifetime)
	outages.Record("later", []Run{endAt(later, testIdentity(0), 0)}, later)
	assert.Equal(t, len(outages.ends), 1)
}
