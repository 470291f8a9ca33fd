package quarantine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/poison"
)

// TestSuccessBeforeSuspicionControlsAPart checks that a request without a part that succeeded shortly before
// the part became suspected shows that not all requests fail, and that an older one does not.
func TestSuccessBeforeSuspicionControlsAPart(t *testing.T) {
	now := time.Now()
	part := poison.PartIdentity("s", "a")
	marks := poison.NewMarks()
	marks.Put([]poison.Finding{{Request: part, Runners: []string{"r1", "r2"}}}, now)
	kept := &successes{}
	kept.add("s", []string{"b"}, now.Add(-2*controlWindow))
	kept.add("s", []string{"a", "c"}, now)
	kept.add("another", []string{"b"}, now)
	assert.Equal(t, len(kept.control(marks, now)), 0)
	for range 2 * keptSuccesses {
		kept.add("s", []string{"b"}, now.Add(-controlWindow/2))
	}
	assert.Assert(t, len(kept.control(marks, now)) > 0)
	assert.Equal(t, len(kept.last["s"]), keptSuccesses)
}
