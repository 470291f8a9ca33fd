package dispatch

import (
	"errors"
	"net/http"
	"strings"
	"syscall"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/crash"
	"lilacvane/internal/fault"
	"lilacvane/internal/poison"
)

// contentIdentity returns the digest of what all attempts of the request have in common. It is
// computed on first use: only requests that failed, or that may match one that did, need it.
func (j *job) contentIdentity() poison.Identity { return j.identityFor(j.query.Unit) }

// identityFor is contentIdentity of a request that is sent to a runner of the unit. Hedges call it
// beside the job's goroutine.
func (j *job) identityFor(unit backend.Unit) poison.Identity {
	if j.request.Resolve == nil {
		// The client chose the unit: it is part of the body.
		unit = backend.Unit{}
	}
	j.identityMutex.Lock()
	defer j.identityMutex.Unlock()
	if j.identityUnit != nil && *j.identityUnit == unit {
		return j.identity
	}
	_, query, _ := strings.Cut(j.request.Target, "?")
	j.identity = poison.Content{
		Method: j.request.Method, Host: strings.ToLower(j.request.Host), Path: j.request.Path, Query: query, Caller: j.callerID(), Unit: unit, Body: j.request.Body,
	}.Identity()
	j.identityUnit = &unit
	return j.identity
}

// refusedNow reports whether the request must not be sent to a runner of the unit.
func (j *job) refusedNow(unit backend.Unit) bool {
	if !j.quarantineActive() {
		return false
	}
	_, refused := j.dispatcher.Quarantine.Refused(j.identityFor(unit))
	return refused
}

// callerID identifies the caller: by its tenant, as that keeps its name when it gets another key,
// or else by the key that it sent. The prefixes keep the two kinds apart, as a key may equal a
// tenant's name.
func (j *job) callerID() string {
	if j.tenant != nil {
		return "tenant " + string(j.tenant.Name)
	}
	return "key " + j.request.Key
}

// sharedParts returns the parts of the prompt that other requests may share, by their names: all but the
// last one.
func (j *job) sharedParts() []string {
	var names []string
	for _, part := range j.request.Prompt[:max(len(j.request.Prompt)-1, 0)] {
		names = append(names, part.ID)
	}
	return names
}

// minSilenceBeforeCancel is how long a runner must have been silent before its client left to count
// as possibly crashed: clients leave for other reasons earlier.
const minSilenceBeforeCancel = time.Second

// reportPossibleCrash reports an attempt that may have run and got no answer from its runner, as
// the request may have crashed the runner. It returns whether the attempt was one.
func (j *job) reportPossibleCrash(runner backend.Runner, result attemptResult, err error) bool {
	if j.dispatcher.Crashes == nil {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		j.dispatcher.Crashes.Refused(runner.ID)
	}
	if fault.OutcomeOf(err) != fault.Unknown {
		return false
	}
	switch result.ending {
	case EndedByRunner, EndedBySilence, EndedByTime:
	case EndedByClient:
		if result.silent < minSilenceBeforeCancel {
			return false
		}
	default:
		return false
	}
	j.dispatcher.Crashes.Interrupted(runner, j.contentIdentity(), j.probeMethod(result.ending))
	return true
}

// probeMethod returns how to find out whether a runner crashed: runners of engine services are
// asked for a report. Of the others, only one that broke off the connection itself is worth a new
// connection, as many are just slow.
func (j *job) probeMethod(ending Ending) crash.ProbeMethod {
	switch {
	case j.engine:
		return crash.ProbeReport
	case ending == EndedByRunner:
		return crash.ProbeConnect
	default:
		return crash.ProbeNone
	}
}

// quarantined returns the refusal of a request that crashed runners: at first with a retry time, as
// attempts that are still running may end well, then for good.
func (j *job) quarantined() *fault.Error {
	mark, refused := j.quarantineMark()
	if !refused {
		return nil
	}
	const step = "check quarantine"
	now := time.Now()
	if mark.Provisional(now) {
		return fault.New(fault.CodeCrashSuspected, step, "%s", mark.Finding).WithRetryAfter(poison.ProvisionalPeriod - now.Sub(mark.Since))
	}
	return fault.New(fault.CodeCrashesRunners, step, "%s", mark.Finding)
}

// quarantineMark returns the quarantine mark of the request, if it is not to be run.
func (j *job) quarantineMark() (poison.Mark, bool) {
	if !j.quarantineActive() {
		return poison.Mark{}, false
	}
	return j.dispatcher.Quarantine.Refused(j.contentIdentity())
}

// quarantineActive reports whether any request is known that crashed runners.
func (j *job) quarantineActive() bool {
	return j.dispatcher.Quarantine != nil && !j.dispatcher.Quarantine.Idle()
}

// reportSuccess reports a request that succeeded to the quarantine. An answer that nothing shows to be
// complete may be a crash: the runner is asked instead.
func (j *job) reportSuccess(runner backend.Runner) {
	if j.outcome.Result != ResultServed || j.outcome.Status >= http.StatusMultipleChoices {
		return
	}
	if j.outcome.Completeness == CompletenessUnknown {
		if j.dispatcher.Crashes != nil {
			j.dispatcher.Crashes.Interrupted(runner, j.contentIdentity(), j.probeMethod(EndedByRunner))
		}
		return
	}
	if !j.quarantineActive() {
		return
	}
	content := j.contentIdentity()
	if j.dispatcher.Quarantine.Succeeded(content) {
		j.log.Info("crashes under request cleared by its success", "content", content.Short(), "runner", j.outcome.Runner, "via", j.outcome.Via)
	}
}
