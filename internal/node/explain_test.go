package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/dispatch"
)

// The explanation of a request names its tenant, its cost and the node whose share admitted it.
func TestExplanationNamesTheTenant(t *testing.T) {
	text := describeOutcome(dispatch.Outcome{Result: dispatch.ResultRefused, Reason: "over", Tenant: "club", Cost: 9190, AdmittedBy: "node-2"})
	assert.Equal(t, text, "refused: over; tenant club, cost 9190, admitted by node-2")
	assert.Equal(t, describeOutcome(dispatch.Outcome{Result: dispatch.ResultRefused, Reason: "over"}), "refused: over")
}
