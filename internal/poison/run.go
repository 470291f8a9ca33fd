package poison

import "time"

// Run is a content, or a part of prompts, that a runner was running when it ended.
type Run struct {
	Request Identity
	// Sent is when the last request with it was sent to the runner, Ended when its answer broke off; both
	// are zero if that is not known.
	Sent  time.Time
	Ended time.Time
}

// overlaps reports whether two runs went on at the same time, so that one cause may have ended both.
func (r Run) overlaps(other Run) bool {
	return r.Sent.Before(other.Ended) && other.Sent.Before(r.Ended)
}

// RecordRuns is RecordCrash for the parts of prompts that a runner was running. Many requests share
// them, so that one cause which ends many runners at once must count once: the end of a runner counts
// only if the part was sent there after the ends that count, or before all of it.
func (t *Tally) RecordRuns(runner string, parts []Run, now time.Time) []Finding {
	var findings []Finding
	for _, run := range parts {
		if t.addRun(run, runner, now) && len(t.entries[run.Request].runners) >= SuspectThreshold {
			findings = append(findings, t.entries[run.Request].finding(run.Request))
		}
	}
	t.trim(now)
	return findings
}

// addRun records one crash for a part and reports whether it counts and was not known before.
func (t *Tally) addRun(run Run, runner string, now time.Time) bool {
	known := t.live(run.Request, now)
	if known.knows(runner) {
		return false
	}
	if known.runs == nil {
		known.runs = make(map[string]Run)
	}
	for _, counted := range known.runners {
		if other, timed := known.runs[counted]; timed && run.overlaps(other) {
			if known.addBeside(runner) {
				known.runs[runner] = run
			}
			return false
		}
	}
	if !t.add(run.Request, runner, now) {
		return false
	}
	known.runs[runner] = run
	return true
}

// addBeside records a runner that ended at the same time as one that counts, and reports whether there was
// room for it.
func (e *entry) addBeside(runner string) (added bool) {
	if len(e.beside) >= maxBeside || e.knows(runner) {
		return false
	}
	e.beside = append(e.beside, runner)
	return true
}

// Runs returns the runs of parts that this tally has a report of, by runner, for transfer to another
// tally.
func (t *Tally) Runs() map[string][]Run {
	runs := make(map[string][]Run)
	for _, known := range t.entries {
		for runner, run := range known.runs {
			runs[runner] = append(runs[runner], run)
		}
	}
	return runs
}
