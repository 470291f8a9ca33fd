package crash

import (
	"context"
	"errors"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/poison"
)

var (
	runner  = backend.Runner{ID: "r", Address: "a:1"}
	request = poison.Identity{1}
	errGone = fault.At(fault.CodeInterrupted, "read report", "r", fault.Unknown,
		fault.At(fault.CodeUnreachable, "connect", "a:1", fault.NotDone, syscall.ECONNREFUSED))
	errOther = &fault.Error{Code: fault.CodeNotFound, Step: "read report", Peer: "r"}
	errReset = fault.At(fault.CodeInterrupted, "read report", "r", fault.Unknown, errors.New("reset"))
)

// answers simulates a runner that answers probes with the listed answers in turn, repeating the
// last one.
type answers struct {
	list   []answer
	probes int
}

type answer struct {
	report backend.Report
	err    error
}

func (a *answers) report(context.Context, backend.Runner) (backend.Report, error) {
	given := a.list[min(a.probes, len(a.list)-1)]
	a.probes++
	return given.report, given.err
}

// detect lets a request break off at a runner with the given answers, and returns the reported
// crashes.
func detect(t *testing.T, a *answers, then func(*Detector)) []Crash {
	t.Helper()
	var crashes []Crash
	synctest.Test(t, func(*testing.T) {
		d := NewDetector(Prober{Report: a.report}, func(c Crash) { crashes = append(crashes, c) }, logr.Discard())
		d.Interrupted(runner, Request{Content: request}, ProbeReport)
		if then != nil {
			then(d)
		}
		time.Sleep(2 * inquiryTimeout)
		d.Close()
	})
	return crashes
}

// TestCrashIsDistinguishedFromBrokenConnection: the runner's answers to probes, immediate or
// later, distinguish its end from a broken connection.
func TestCrashIsDistinguishedFromBrokenConnection(t *testing.T) {
	lives := answer{}
	for name, test := range map[string]struct {
		answers []answer
		how     string
	}{
		"refuses connections":         {[]answer{{err: errGone}}, howRefused},
		"another runner answers":      {[]answer{{err: errOther}}, howOther},
		"silent, then another runner": {[]answer{{err: errReset}, {err: errReset}, {err: errOther}}, howOther},
		"only the connection broke":   {[]answer{lives}, ""},
		"silent, then alive":          {[]answer{{err: errReset}, lives}, ""},
		"never answers":               {[]answer{{err: errReset}}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			crashes := detect(t, &answers{list: test.answers}, nil)
			if test.how == "" {
				assert.Equal(t, len(crashes), 0)
				return
			}
			assert.DeepEqual(t, crashes, []Crash{{Runner: runner.ID, How: test.how, Requests: []poison.Identity{request}}})
		})
	}
}

// TestUnlistedRunnerHasEnded: the platform's list shows the end of a silent runner, also for
// an answer that breaks off afterwards.
func TestUnlistedRunnerHasEnded(t *testing.T) {
	later := poison.Identity{2}
	crashes := detect(t, &answers{list: []answer{{err: errReset}}}, func(d *Detector) {
		time.Sleep(3 * time.Second)
		d.Gone(runner, HowUnlisted)
		d.Gone(runner, HowUnlisted)
		d.Interrupted(runner, Request{Content: later}, ProbeReport)
	})
	assert.DeepEqual(t, crashes, []Crash{
		{Runner: runner.ID, How: HowUnlisted, Requests: []poison.Identity{request}},
		{Runner: runner.ID, How: HowUnlisted, Requests: []poison.Identity{later}},
	})
}

// noConnection fails to connect.
func noConnection(context.Context, string) error { return errReset }

// TestRunnerWithoutReports: a runner that refuses connections has ended. For one
// that accepts them, the list may still show that it ended.
func TestRunnerWithoutReports(t *testing.T) {
	for _, gone := range []bool{true, false} {
		var crashes []Crash
		connect := func(_ context.Context, address string) error {
			assert.Equal(t, address, runner.Address)
			if gone {
				return errGone
			}
			return nil
		}
		synctest.Test(t, func(*testing.T) {
			d := NewDetector(Prober{Connect: connect}, func(c Crash) { crashes = append(crashes, c) }, logr.Discard())
			d.Interrupted(runner, Request{Content: request}, ProbeConnect)
			time.Sleep(time.Second)
			synctest.Wait()
			assert.Equal(t, len(crashes) == 1, gone)
			d.Gone(runner, HowRestarted)
			d.Close()
		})
		assert.Equal(t, len(crashes), 1)
	}
}

// TestLaterInterruptionIsProbed: a runner that was only slow, or accepted a connection,
// is probed again immediately when another of its answers breaks off.
func TestLaterInterruptionIsProbed(t *testing.T) {
	for _, first := range []ProbeMethod{ProbeNone, ProbeConnect} {
		var crashes []Crash
		gone := false
		connect := func(context.Context, string) error {
			if gone {
				return errGone
			}
			return nil
		}
		synctest.Test(t, func(t *testing.T) {
			d := NewDetector(Prober{Connect: connect}, func(c Crash) { crashes = append(crashes, c) }, logr.Discard())
			d.Interrupted(runner, Request{Content: poison.Identity{9}}, first)
			time.Sleep(inquiryTimeout - time.Second)
			synctest.Wait()
			gone = true
			start := time.Now()
			d.Interrupted(runner, Request{Content: request}, ProbeConnect)
			synctest.Wait()
			assert.Assert(t, time.Since(start) < time.Millisecond)
			assert.Equal(t, len(crashes), 1)
			assert.DeepEqual(t, crashes[0].Requests, []poison.Identity{{9}, request})
			d.Close()
		})
	}
}

// TestOldRequestsAreNotReported: when answers of a runner break off over a long time, only
// the recent ones are reported with its end.
func TestOldRequestsAreNotReported(t *testing.T) {
	var crashes []Crash
	synctest.Test(t, func(t *testing.T) {
		d := NewDetector(Prober{Connect: func(context.Context, string) error { return nil }}, func(c Crash) { crashes = append(crashes, c) }, logr.Discard())
		for number := range 8 {
			d.Interrupted(runner, Request{Content: poison.Identity{byte(number)}}, ProbeNone)
			time.Sleep(inquiryTimeout / 4)
		}
		d.Gone(runner, HowUnlisted)
		d.Close()
	})
	assert.Equal(t, len(crashes), 1)
	assert.DeepEqual(t, crashes[0].Requests, []poison.Identity{{4}, {5}, {6}, {7}})
}

// TestRefusedConnection: a refused connection of a request shows the
// end of a runner, but only if an answer broke off before.
func TestRefusedConnection(t *testing.T) {
	var crashes []Crash
	synctest.Test(t, func(*testing.T) {
		d := NewDetector(Prober{Connect: noConnection}, func(c Crash) { crashes = append(crashes, c) }, logr.Discard())
		other := backend.Runner{ID: "other"}
		d.Refused(other.ID)
		d.Interrupted(runner, Request{Content: request}, ProbeConnect)
		d.Refused(runner.ID)
		d.Interrupted(other, Request{Content: request}, ProbeConnect)
		d.Close()
	})
	assert.DeepEqual(t, crashes, []Crash{{Runner: runner.ID, How: howRefused, Requests: []poison.Identity{request}}})
}

// TestPlannedEndIsNoCrash: the end of a runner that announced that it leaves is not reported.
func TestPlannedEndIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := NewDetector(Prober{Connect: noConnection}, func(c Crash) { t.Errorf("unexpected crash: %+v", c) }, logr.Discard())
		leaving := runner
		leaving.Draining = true
		d.Interrupted(leaving, Request{Content: request}, ProbeConnect)
		d.Interrupted(runner, Request{Content: request}, ProbeConnect)
		d.Gone(leaving, HowUnlisted)
		d.Close()
	})
}

// TestInterruptionDuringProbe: a runner that answered a probe just before it
// ended is probed again for a request that broke off after that.
func TestInterruptionDuringProbe(t *testing.T) {
	var crashes []Crash
	synctest.Test(t, func(t *testing.T) {
		var d *Detector
		probes := 0
		report := func(context.Context, backend.Runner) (backend.Report, error) {
			probes++
			if probes > 1 {
				return backend.Report{}, errGone
			}
			time.Sleep(time.Millisecond)
			d.Interrupted(runner, Request{Content: poison.Identity{2}}, ProbeReport)
			return backend.Report{}, nil
		}
		d = NewDetector(Prober{Report: report}, func(c Crash) { crashes = append(crashes, c) }, logr.Discard())
		d.Interrupted(runner, Request{Content: request}, ProbeReport)
		time.Sleep(time.Second)
		d.Close()
	})
	assert.Equal(t, len(crashes), 1)
	assert.Equal(t, len(crashes[0].Requests), 2)
}

// TestPendingRequestsAreBounded: the number of requests kept for a silent runner is bounded.
func TestPendingRequestsAreBounded(t *testing.T) {
	crashes := detect(t, &answers{list: []answer{{err: errReset}}}, func(d *Detector) {
		for number := range 2 * maxPendingRequests {
			d.Interrupted(runner, Request{Content: poison.Identity{byte(number), byte(number >> 8), 1}}, ProbeReport)
		}
		d.Gone(runner, HowUnlisted)
	})
	assert.Equal(t, len(crashes), 1)
	assert.Equal(t, len(crashes[0].Requests), maxPendingRequests)
}
