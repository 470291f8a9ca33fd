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

// content returns what all tries of the request have in common. It is computed when it is
// first asked for: only requests that failed, or that may be like one that did, need it.
func (j *job) content() poison.Identity {
	unit := backend.Unit{}
	if j.request.Resolve != nil {
		unit = j.query.Unit
	}
	if j.identified != nil && *j.identified == unit {
		return j.identity
	}
	_, query, _ := strings.Cut(j.request.Target, "?")
	j.identity = poison.Content{
		Method: j.request.Method, Host: strings.ToLower(j.request.Host), Path: j.request.Path, Query: query, Caller: j.caller(), Unit: unit, Body: j.request.Body,
	}.Identity()
	j.identified = &unit
	return j.identity
}

// caller tells callers apart: by their tenant, as that keeps its name when it gets another
// key, or else by the key that they sent, which may be a tenant's name.
func (j *job) caller() string {
	if j.tenant != nil {
		return "tenant " + string(j.tenant.Name)
	}
	return "key " + j.request.Key
}

// leftSilent is how long a runner was silent before its client left, so that the runner may
// have ended: clients leave for other reasons earlier.
const leftSilent = time.Second

// noteBroken tells of an attempt that may have run and got no answer from its runner, as the
// runner may have ended under it, and reports whether it was one.
func (j *job) noteBroken(runner backend.Runner, result exchanged, err error) bool {
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
		if result.silent < leftSilent {
			return false
		}
	default:
		return false
	}
	j.dispatcher.Crashes.Broke(runner, j.content(), j.wayToAsk(result.ending))
	return true
}

// wayToAsk is how to find out whether a runner ended: services of engines tell reports. Of the
// others only one that broke off itself is worth a connection, as many are just slow.
func (j *job) wayToAsk(ending Ending) crash.Way {
	switch {
	case j.engine:
		return crash.Report
	case ending == EndedByRunner:
		return crash.Connect
	default:
		return crash.Wait
	}
}

// quarantined refuses a request under which runners ended: at first with the time to come
// back, as tries that are running may yet end well, then for good.
func (j *job) quarantined() *fault.Error {
	mark, refused := j.mark()
	if !refused {
		return nil
	}
	const step = "check quarantine"
	now := time.Now()
	if mark.Provisional(now) {
		return fault.New(fault.CodeCrashSuspected, step, "%s", mark.Finding).WithRetryAfter(poison.Provisional - now.Sub(mark.Since))
	}
	return fault.New(fault.CodeCrashesRunners, step, "%s", mark.Finding)
}

// mark returns the mark of a request that is not to be run.
func (j *job) mark() (poison.Mark, bool) {
	if !j.watched() {
		return poison.Mark{}, false
	}
	return j.dispatcher.Quarantine.Refused(j.content())
}

// watched reports whether any request is known under which runners ended.
func (j *job) watched() bool {
	return j.dispatcher.Quarantine != nil && !j.dispatcher.Quarantine.Idle()
}

// noteRan tells of a request that ended well.
func (j *job) noteRan() {
	if j.watched() && j.outcome.Result == ResultServed && j.outcome.Status < http.StatusMultipleChoices {
		j.dispatcher.Quarantine.Ran(j.content())
	}
}
