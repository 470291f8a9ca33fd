package limit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDivisionOfCopyWasTakenForCurrent: the copy of a restored store lacked parts that nodes had in force, and
// the next divider gave them to other nodes as well.
func TestDivisionOfCopyWasTakenForCurrent(t *testing.T) {
	read := NewRecord()
	read.Version, read.Epoch = 4, 2
	own := NewRecord()
	own.Version, own.Epoch = 6, 2
	resumed, ok := Resume(read, nil, 2, 0, time.Second)
	assert.Assert(t, ok && resumed == read, "nothing is lost in one epoch")
	_, ok = Resume(read, nil, 3, Lifetime, time.Second)
	assert.Assert(t, !ok, "lost parts may be in force")
	resumed, ok = Resume(read, own, 3, 0, time.Second)
	assert.Assert(t, ok && resumed == own, "the divider knows what it assigned")
	resumed, ok = Resume(read, nil, 3, LostRecordLifetime, time.Second)
	assert.Assert(t, ok && resumed.Version > own.Version && len(resumed.Tenants) == 0)
	assert.Equal(t, resumed.FilledAt, time.Second, "buckets are not filled again")
}
