package dispatch

import (
	"errors"
	"strings"
	"syscall"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/poison"
)

// content returns what all tries of the request have in common. It is computed when it is
// first asked for: only requests that failed, or that may be like one that did, need it.
func (j *job) content() poison.Identity {
	if j.identified != nil && *j.identified == j.query.Unit {
		return j.identity
	}
	unit := j.query.Unit
	_, query, _ := strings.Cut(j.request.Target, "?")
	j.identity = poison.Content{
		Method: j.request.Method, Host: j.request.Host, Path: j.request.Path, Query: query, Caller: j.caller(), Unit: unit, Body: j.request.Body,
	}.Identity()
	j.identified = &unit
	return j.identity
}

// caller tells callers apart: by their tenant, as that keeps its name when it gets another
// key, or else by the key that they sent.
func (j *job) caller() string {
	if j.tenant != nil {
		return string(j.tenant.Name)
	}
	return j.request.Key
}

// noteBroken tells of an attempt that may have run and got no answer from its runner, as the
// runner may have ended under it, and reports whether it was one.
func (j *job) noteBroken(runner backend.Runner, ending Ending, err error) bool {
	if j.dispatcher.Crashes == nil {
		return false
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		j.dispatcher.Crashes.Refused(runner.ID)
	}
	if fault.OutcomeOf(err) != fault.Unknown {
		return false
	}
	switch ending {
	case EndedByRunner, EndedBySilence, EndedByTime:
		j.dispatcher.Crashes.Broke(runner, j.content(), j.engine)
		return true
	default:
		return false
	}
}
