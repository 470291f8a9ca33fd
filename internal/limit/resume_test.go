package limit

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/table"
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

// TestDamagedDivisionWasNeverDividedAgain checks that a row which cannot be read is replaced: at once by the divider that
// wrote the last one, by others once nothing of it is in force, under a greater version.
func TestDamagedDivisionWasNeverDividedAgain(t *testing.T) {
	own := NewRecord()
	own.Version, own.Epoch = 6, 1
	damaged := NewUnreadable(table.NewRevision(1, 9))
	resumed, ok := Resume(damaged, own, 1, 0, time.Second)
	assert.Assert(t, ok && resumed == own)
	_, ok = Resume(damaged, nil, 1, Lifetime, time.Second)
	assert.Assert(t, !ok, "what it assigned may be in force")
	resumed, ok = Resume(damaged, nil, 1, LostRecordLifetime, time.Second)
	assert.Assert(t, ok && resumed.Version > own.Version && len(resumed.Tenants) == 0 && !resumed.IsLost(1))
	odd := NewRecord()
	odd.Version = math.MaxUint64
	assert.Assert(t, !odd.Check())
}
