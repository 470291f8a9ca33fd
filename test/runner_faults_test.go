package test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
)

// TestRestartedRunnerServedWithoutItsFaults: a runner that crashed got its faults back only after it had begun to
// serve, so that tests of crashing runners saw whole answers.
func TestRestartedRunnerServedWithoutItsFaults(t *testing.T) {
	t.Parallel()
	w := newWorld(t, nil)
	options := mailerOptions("mailer-1", zones[0])
	options.Restart = world.RestartPolicy{After: time.Millisecond}
	runner, err := w.StartRunner(options)
	assert.NilError(t, err)
	assert.NilError(t, w.SetRunnerFaults(options.Name, runnerstub.Faults{ErrorShare: 1}))
	const restarts = 20
	for range restarts {
		w.CrashRunner(options.Name)
		// The first answer counts, so there is no pause between two attempts.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			answer, err := http.Post("http://"+runner.Proxy.Address()+"/send/x", "text/plain", strings.NewReader("body"))
			if err != nil {
				return poll.Continue("no answer: %v", err)
			}
			defer answer.Body.Close()
			if answer.StatusCode != http.StatusInternalServerError {
				return poll.Error(fmt.Errorf("status %d without the fault", answer.StatusCode))
			}
			return poll.Success()
		}, poll.WithTimeout(waitTimeout), poll.WithDelay(0))
	}
}
