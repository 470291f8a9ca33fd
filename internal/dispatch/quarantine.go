package dispatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/crash"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
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

// refusedNow reports whether the request must not be sent to a runner of the unit, but for a trial.
func (j *job) refusedNow(unit backend.Unit) bool {
	verdict := j.quarantineDecision(unit).Verdict
	return verdict == poison.Refused || (verdict == poison.Held && j.trial == nil && !j.heldLong)
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
	return crash.Request{Content: j.contentIdentity(), Parts: j.partIdentities(), Sent: result.sent, Trial: result.trial}
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
	decision := j.quarantineDecision(j.query.Unit)
	if decision.Verdict != poison.Refused {
		return nil
	}
	now := time.Now()
	if decision.Mark.Provisional(now) {
		return j.crashSuspected(decision, poison.ProvisionalPeriod-now.Sub(decision.Mark.Since))
	}
	return fault.New(fault.CodeCrashesRunners, stepQuarantine, "%s", decision.Mark.Describe(j.common(decision.Mark)))
}

// stepQuarantine is the step of refusals by the quarantine.
const stepQuarantine = "check quarantine"

// crashSuspected returns the refusal of a request that may be cleared by then.
func (j *job) crashSuspected(decision poison.Decision, retryAfter time.Duration) *fault.Error {
	return fault.New(fault.CodeCrashSuspected, stepQuarantine, "%s", decision.Mark.Describe(j.common(decision.Mark))).WithRetryAfter(retryAfter)
}

// common describes what the request shares with those under which runners ended.
func (j *job) common(mark poison.Mark) string {
	if part := slices.Index(j.partIdentities(), mark.Request); part >= 0 {
		return "part " + j.request.Prompt[part].ID + " of their prompts"
	}
	return "this content"
}

// quarantineDecision returns whether the request may be sent to a runner of the unit.
func (j *job) quarantineDecision(unit backend.Unit) poison.Decision {
	if !j.quarantineActive() {
		return poison.Decision{}
	}
	return j.dispatcher.Quarantine.Check(j.identityFor(unit), j.partIdentities())
}

// beginTrial prepares an attempt at a runner that was chosen: a request that is held needs a trial. Without
// one the runner is released, and the request waits for the outcome of the trial that is under way. Once it has
// waited as long as it would for a runner, it is sent like any other: nothing proves that it is to be refused.
func (j *job) beginTrial(ctx context.Context, choice fleet.Choice) (ready, again bool) {
	decision := j.quarantineDecision(j.query.Unit)
	if decision.Verdict != poison.Held || j.heldLong {
		return true, false
	}
	// What clears the request meanwhile must not be missed.
	changed := j.dispatcher.Fleet.Changed()
	granted, retryAfter := j.dispatcher.Quarantine.Trial(ctx, decision.Held, choice.Runner.ID)
	if granted {
		j.trial = decision.Held
		j.log.Info("held request tried alone", "content", decision.Mark.Request.Short(), "runner", choice.Runner.ID, "ended", decision.Mark.Runners)
		return true, false
	}
	until := j.latestStart()
	if j.stream != nil {
		// A stream that has begun waits as long as its client does.
		until = j.deadline
	}
	if retryAfter > time.Until(until) {
		j.log.Info("held request sent without a trial", "content", decision.Mark.Request.Short(), "runner", choice.Runner.ID, "ended", decision.Mark.Runners)
		j.heldLong = true
		return true, false
	}
	j.dispatcher.Fleet.Release(choice, j.query)
	j.request.Start.End()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-time.After(retryAfter):
	}
	return false, true
}

// endTrial ends the trial of an attempt, if it was one. Unless the request may have crashed its runner, others
// may be tried at once.
func (j *job) endTrial(runner string, err error) {
	held := j.trial
	j.trial = nil
	if held == nil || fault.OutcomeOf(err) == fault.Unknown {
		return
	}
	j.dispatcher.Quarantine.TrialEnded(held, runner)
}

// succeeded reports whether the client got a runner's success.
func (j *job) succeeded() bool {
	return j.outcome.Result == ResultServed && j.outcome.Status < http.StatusMultipleChoices
}

// quarantineActive reports whether any request is known that crashed runners.
func (j *job) quarantineActive() bool {
	return j.dispatcher.Quarantine != nil && !j.dispatcher.Quarantine.Idle()
}

// reportSuccess reports a request that succeeded to the quarantine. An answer that nothing shows to be
// complete may be a crash: the runner is asked instead.
func (j *job) reportSuccess(runner backend.Runner, result attemptResult) {
	if !j.succeeded() {
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
