package relay

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/table"
	"lilacvane/internal/wire"
)

// TestOddResponseOfRelayWasApplied checks that a response with a revision, an epoch or an age out of range is an error:
// applied, it would hide all later changes, or pass for new.
func TestOddResponseOfRelayWasApplied(t *testing.T) {
	for _, odd := range []wire.FollowResponse{
		{Revision: math.MaxUint64}, {Revision: table.MaxNumber + 1}, {Revision: 5, Epoch: table.MaxEpoch + 1}, {Revision: 5, AgeMs: -1}, {Revision: 5, AgeMs: math.MinInt64}, {Revision: 5, AgeMs: math.MaxInt64},
	} {
		err := checkNumbers(&odd, Peer{Address: "relay"})
		assert.Check(t, fault.IsCode(err, fault.CodeInvalid), "%+v: %v", odd, err)
	}
	assert.NilError(t, checkNumbers(&wire.FollowResponse{Revision: table.MaxNumber, Epoch: table.MaxEpoch, AgeMs: time.Hour.Milliseconds()}, Peer{}))
}
