package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr/funcr"
	"gotest.tools/v3/assert"

	"lilacvane/internal/dispatch"
	"lilacvane/internal/fault"
)

// TestMarginToTheBoundOfDenialsIsLogged checks that denied requests are logged by code, at most once in
// denialReportInterval, with how many more of them the platform allows.
func TestMarginToTheBoundOfDenialsIsLogged(t *testing.T) {
	var lines []string
	d := &denials{log: funcr.New(func(_, line string) { lines = append(lines, line) }, funcr.Options{})}
	now := time.Now()
	end := func(code fault.Code, after time.Duration) {
		d.observe(dispatch.Outcome{Result: dispatch.ResultRefused, Status: fault.Status(code), Problem: fault.New(code, "step", "")}, now.Add(after))
	}
	for range deniedShare - 3 {
		d.observe(dispatch.Outcome{Result: dispatch.ResultServed, Status: http.StatusOK}, now)
	}
	end(fault.CodeDeadline, 0)
	assert.Equal(t, len(lines), 0, "a refusal promises that the request did not run, and denies nothing")
	end(fault.CodeNotFound, 0)
	end(fault.CodeCrashesRunners, denialReportInterval/2)
	assert.Equal(t, len(lines), 1)
	end(fault.CodeCrashesRunners, denialReportInterval)
	assert.Equal(t, len(lines), 2)
	assert.Assert(t, strings.Contains(lines[0], `"margin"=5`), "%s", lines[0])
	assert.Assert(t, strings.Contains(lines[1], `"margin"=4`), "%s", lines[1])
	assert.Assert(t, strings.Contains(lines[1], `"crashes_runners"=2`), "%s", lines[1])
}
