package node

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/fleet"
	"lilacvane/internal/table"
)

// TestOddRunnerWasLoggedOnEachRead checks that a row that describes no runner is reported once for each of its
// revisions, however often the list is read.
func TestOddRunnerWasLoggedOnEachRead(t *testing.T) {
	n := &Node{fleet: fleet.New("zone-a", time.Now, nil)}
	n.platform.Unreadable = &table.Unreadable{}
	n.platform.DecodeRunner = func(id string, _ []byte) (backend.Runner, error) {
		return backend.Runner{}, fault.New(fault.CodeInvalid, "decode runner", "%s is odd", id)
	}
	var reported []table.UnreadableRow
	n.platform.Unreadable.OnReport(func(row table.UnreadableRow) { reported = append(reported, row) })
	rows := []feed.Row{{Key: "a", Revision: 1}, {Key: "b", Revision: 2}}
	for range 3 {
		changed, removed, unusable := (*runnerHandler)(n).decode(rows)
		assert.Equal(t, len(changed)+len(removed)+len(unusable), 0)
	}
	assert.Equal(t, len(reported), 2)
	rows[1].Revision = 3
	(*runnerHandler)(n).decode(rows)
	assert.Equal(t, len(reported), 3)
	assert.Equal(t, reported[2].Key, "b")
}
