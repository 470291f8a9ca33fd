package dispatch

import (
	"errors"

	"lilacvane/internal/fault"
)

// errBuildGone means that no runner of the build that began a stream can continue it.
var errBuildGone = errors.New("no runner of the build that began the stream is left")

// checkBuild ends the wait of a request that is bound to a build if no runner of it is left: others
// would write what does not fit.
func (j *job) checkBuild() error {
	if j.query.Build == nil || j.dispatcher.Fleet.BuildLeft(j.query) {
		return nil
	}
	ran := fault.NotDone
	if j.stream != nil {
		ran = fault.Done
	}
	return fault.At(fault.CodeBuildGone, "wait for a runner", fault.Self, ran, errBuildGone)
}
