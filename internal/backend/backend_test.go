package backend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestIncarnationsOfARunner checks that a later start is another incarnation of the same name,
// and that a runner that reports no start time has only one incarnation.
func TestIncarnationsOfARunner(t *testing.T) {
	first := Runner{ID: IncarnationID("r", 1000), Born: 1000}
	second := Runner{ID: IncarnationID("r", 2000), Born: 2000}
	assert.Assert(t, first.ID != second.ID)
	assert.Equal(t, first.Name(), "r")
	assert.Equal(t, second.Name(), "r")
	assert.Assert(t, first.SupersededBy(second.Born))
	assert.Assert(t, !second.SupersededBy(first.Born))
	assert.Assert(t, !first.SupersededBy(first.Born))

	plain := Runner{ID: IncarnationID("r@2000", 0)}
	assert.Equal(t, plain.Name(), "r@2000", "a name may contain the separator")
	assert.Assert(t, !plain.SupersededBy(2000))
}
