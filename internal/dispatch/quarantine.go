package dispatch

import (
	"errors"
	"net/http"
	"slices"
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

// partIdentities returns the identities of the parts of the prompt that other requests may share. It is
// called before the request is sent first, and by its hedges beside the job's goroutine.
func (j *job) partIdentities() []poison.Identity {
	j.identityMutex.Lock()
	defer j.identityMutex.Unlock()
	if j.parts == nil {
		j.parts = poison.PartIdentities(j.query.Service, j.sharedParts())
	}
	return j.parts
}

// refusedNow reports whether the request must not be sent to a runner of the unit.
func (j *job) refusedNow(unit backend.Unit) bool {
	_, _, refused := j.quarantineMark(unit)
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
	j.dispatcher.Crashes.Interrupted(runner, j.crashRequest(result), j.probeMethod(result.ending))
	return true
}

// crashRequest returns the request as one that its runner may have crashed by.
func (j *job) crashRequest(result attemptResult) crash.Request {
	return crash.Request{Content: j.contentIdentity(), Parts: j.partIdentities(), Sent: result.sent}
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

// quarantined returns the refusal of a request that crashed runners, or that holds a part by which others
// did: at first with a retry time, as attempts that are still running may end well, then for good.
func (j *job) quarantined() *fault.Error {
	mark, common, refused := j.quarantineMark(j.query.Unit)
	if !refused {
		return nil
	}
	const step = "check quarantine"
	now := time.Now()
	if mark.Provisional(now) {
		return fault.New(fault.CodeCrashSuspected, step, "%s", mark.Describe(common)).WithRetryAfter(poison.ProvisionalPeriod - now.Sub(mark.Since))
	}
	return fault.New(fault.CodeCrashesRunners, step, "%s", mark.Describe(common))
}

// quarantineMark returns the quarantine mark by which the request is not to be run by a runner of the
// unit, and what it shares with the requests that crashed runners.
func (j *job) quarantineMark(unit backend.Unit) (mark poison.Mark, common string, refused bool) {
	if !j.quarantineActive() {
		return poison.Mark{}, "", false
	}
	content := j.identityFor(unit)
	if mark, refused = j.dispatcher.Quarantine.Refused(content); refused {
		return mark, "this content", true
	}
	parts := j.partIdentities()
	for i, part := range parts {
		mark, refused = j.dispatcher.Quarantine.Refused(part)
		if refused && j.dispatcher.Quarantine.Blamed(mark, append(slices.Clone(parts), content)) {
			return mark, "part " + j.request.Prompt[i].ID + " of their prompts", true
		}
	}
	return poison.Mark{}, "", false
}

// quarantineActive reports whether any request is known that crashed runners.
func (j *job) quarantineActive() bool {
	return j.dispatcher.Quarantine != nil && !j.dispatcher.Quarantine.Idle()
}

// reportSuccess reports a request that succeeded to the quarantine. An answer that nothing shows to be
// complete may be a crash: the runner is asked instead.
func (j *job) reportSuccess(runner backend.Runner, result attemptResult) {
	if j.outcome.Result != ResultServed || j.outcome.Status >= http.StatusMultipleChoices {
		return
	}
	if j.outcome.Completeness == CompletenessUnknown {
		if j.dispatcher.Crashes != nil {
			j.dispatcher.Crashes.Interrupted(runner, j.crashRequest(result), j.probeMethod(EndedByRunner))
		}
		return
	}
	if j.dispatcher.Quarantine != nil && j.engine {
		j.dispatcher.Quarantine.Controlled(j.query.Service, j.sharedParts())
	}
	if !j.quarantineActive() {
		return
	}
	for _, identity := range append([]poison.Identity{j.contentIdentity()}, j.partIdentities()...) {
		if j.dispatcher.Quarantine.Succeeded(identity) {
			j.log.Info("crashes under request cleared by its success", "content", identity.Short(), "runner", j.outcome.Runner, "via", j.outcome.Via)
		}
	}
}
