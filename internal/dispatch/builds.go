package dispatch

import (
	"context"
	"errors"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/origin"
)

// begins reports whether the request is a stream that a client may resume, and begins it.
func (j *job) begins() bool {
	return j.route.Kind == config.Stream && j.route.Resumable && j.request.ResumeAfter == ""
}

// bindToOrigin binds a request that resumes a stream to the build that began it. It returns the refusal
// if that is not known and several builds serve, or may have served lately: another node may know it.
func (j *job) bindToOrigin(ctx context.Context) *fault.Error {
	if j.dispatcher.Origins == nil || j.route.Kind != config.Stream || !j.route.Resumable || j.request.ResumeAfter == "" {
		return nil
	}
	var stream origin.Stream
	if j.request.Resumes != "" {
		stream = origin.NewStream(j.callerID(), j.request.Resumes)
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	found := j.dispatcher.Origins.Find(ctx, j.query.Service, stream)
	switch {
	case found.Known:
		j.query.Build = &found.Build
		return nil
	case found.Several:
		return fault.New(fault.CodeBuildUnknown, "resume stream", "several builds serve, and it is not known which one began the stream of request %q", j.request.Resumes)
	case found.Unsure:
		return fault.New(fault.CodeBuildUnknown, "resume stream", "it is not known which build began the stream of request %q, nor which ones served lately", j.request.Resumes)
	default:
		return nil
	}
}

// recordOrigin binds the request to the build whose runner brought its first event.
func (j *job) recordOrigin(build backend.Build, watch *silenceWatch) {
	if j.stream != nil {
		return
	}
	if j.query.Build == nil {
		j.query.Build = &build
		watch.bindBuild(&build)
	}
	if j.dispatcher.Origins != nil && j.begins() {
		j.dispatcher.Origins.Began(j.query.Service, origin.NewStream(j.callerID(), j.request.ID), build)
	}
}

// errBuildGone means that no runner of the build that began a stream can continue it.
var errBuildGone = errors.New("no runner of the build that began the stream is left")

// maxUnitWait is how long a request that is bound to a build waits until a runner of it is known to hold
// its unit: the lease holder tells within that time what runners hold.
const maxUnitWait = time.Second

// checkBuild ends the wait of a request that is bound to a build if no runner of it is left, or if only
// others hold its unit after maxUnitWait: they would write what does not fit. left is how long to wait at
// most until the next check; zero for any time.
func (j *job) checkBuild(waitsSince time.Time) (left time.Duration, err error) {
	if j.query.Build == nil {
		return 0, nil
	}
	switch j.dispatcher.Fleet.BuildState(j.query) {
	case fleet.BuildServes:
		return 0, nil
	case fleet.BuildLacksUnit:
		if left = maxUnitWait - time.Since(waitsSince); left > 0 {
			return left, nil
		}
	}
	ran := fault.NotDone
	if j.stream != nil {
		ran = fault.Done
	}
	return 0, fault.At(fault.CodeBuildGone, "wait for a runner", fault.Self, ran, errBuildGone)
}
