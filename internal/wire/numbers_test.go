package wire

import (
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestFieldNumbersAreUnique checks that no two fields of a message have the same number. The codec
// silently omits such fields.
func TestFieldNumbersAreUnique(t *testing.T) {
	for _, message := range []any{
		SyncRequest{}, SyncResponse{}, FleetResponse{}, ExplainResponse{}, Entry{}, Decision{}, Obstacle{}, Member{},
		RunnerStatus{}, ReplicaStatus{}, StoreStatus{}, PermitsWanted{}, PermitsLent{}, UnitWaiting{}, UnitUsage{},
		RunnerUsage{}, RunnerView{}, UnitHeld{}, PendingUnit{}, ZoneStatus{}, LimitReport{},
		PoisonReport{}, PoisonAnswer{}, PoisonMark{}, CrashesStruck{}, CrashReport{}, ListedRunner{},
		OriginRequest{}, OriginRecord{}, OriginAnswer{},
	} {
		assertUnique(t, reflect.TypeOf(message))
	}
}

func assertUnique(t *testing.T, of reflect.Type) {
	t.Helper()
	named := make(map[string]string)
	for field := range of.Fields() {
		number, _, _ := strings.Cut(field.Tag.Get("cbor"), ",")
		if number == "" || number == "-" {
			continue
		}
		assert.Check(t, named[number] == "", "%s: %s and %s have number %s", of, named[number], field.Name, number)
		named[number] = field.Name
	}
}

// TestReportsCarryRegionAndPermits checks that the report of a node carries both its region and the
// permits it wants.
func TestReportsCarryRegionAndPermits(t *testing.T) {
	sent := SyncRequest{Service: "s", Node: "n", Region: "north", Permits: []PermitsWanted{{Runner: "r", Count: 2}}}
	content, err := Encode(sent)
	assert.NilError(t, err)
	var received SyncRequest
	assert.NilError(t, Decode(content, "peer", &received))
	assert.DeepEqual(t, received, sent)
}
