package api

import (
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

// TestValidateRefusesBadObjects checks that each invalid object is refused with the
// code fault.CodeInvalid.
func TestValidateRefusesBadObjects(t *testing.T) {
	good := NewObject(KindModel, "redactor", Model{ActiveVersion: "redactor-v1", Replicas: 2})
	assert.NilError(t, Validate(good))
	unknownField := good
	unknownField.Spec = []byte(`{"activeVersion":"v","replicas":1,"replica":2}`)
	for name, object := range map[string]Object{
		"unknown kind": {Kind: "Modell", Name: "m", Spec: good.Spec},
		"no slots":     NewObject(KindService, "s", Service{Engine: &Engine{MemoryMiB: 1, LoadsPerSecond: 1}}),
		"bad prefix":   NewObject(KindRoute, "r", Route{Host: "h", PathPrefix: "/p", Kind: "safe", Attempts: 1}),
		"no backends":  NewObject(KindRoute, "r", Route{Host: "h", PathPrefix: "/p/", Kind: "safe", Attempts: 1}),
		"resumable unsafe": NewObject(KindRoute, "r", Route{
			Host: "h", PathPrefix: "/p/", Kind: "unsafe", Resumable: true, Attempts: 1, Backends: []Backend{{Service: "s", Weight: 1}},
		}),
		"bad name":      {Kind: KindModel, Name: "a/b", Spec: good.Spec},
		"unknown field": unknownField,
		"too many":      NewObject(KindModel, "m", Model{ActiveVersion: "v", Replicas: MaximumReplicas + 1}),
		"no memory":     NewObject(KindVersion, "v", Version{Model: "m", Checkpoint: "c"}),
		"no base":       NewObject(KindAdapter, "a", Adapter{Checkpoint: "c", MemoryMiB: 1}),
		"no selection":  NewObject(KindPolicy, "p", Policy{Ready: "1"}),
		"empty homes":   {Kind: KindTenant, Name: "t", Spec: []byte(`{"homes":[]}`)},
		"nameless home": {Kind: KindTenant, Name: "t", Spec: []byte(`{"homes":[""]}`)},
		"twice at home": NewObject(KindTenant, "t", Tenant{Homes: []string{"north", "north"}}),
		"bad home": NewObject(KindRoute, "r", Route{
			Host: "h", PathPrefix: "/p/", Kind: "safe", Attempts: 1, Backends: []Backend{{Service: "s", Weight: 1}}, Homes: []string{"a b"},
		}),
		"bad target": NewObject(KindDrain, "d", Drain{Target: "rack", Name: "r"}),
	} {
		err := Validate(object)
		assert.Assert(t, fault.IsCode(err, fault.CodeInvalid), "%s: %v", name, err)
	}
}
