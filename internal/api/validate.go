package api

import (
	"bytes"
	"encoding/json"
	"slices"

	"lilacvane/internal/fault"
)

const stepValidate = "validate object"

// Validate checks an object an operator submits: a known kind, a usable name, a
// spec with no unknown field and values within limits.
func Validate(object Object) error {
	if !slices.Contains(OperatorKinds, object.Kind) {
		return fault.New(fault.CodeInvalid, stepValidate, "unknown kind %q", object.Kind)
	}
	if !ValidName(object.Name) {
		return fault.New(fault.CodeInvalid, stepValidate, "name %q: letters, digits, '.', '_', '-', '@', at most %d", object.Name, maximumName)
	}
	switch object.Kind {
	case KindModel:
		return validateSpec(object, validateModel)
	case KindVersion:
		return validateSpec(object, validateVersion)
	case KindAdapter:
		return validateSpec(object, validateAdapter)
	case KindPolicy:
		return validateSpec(object, validatePolicy)
	default:
		return validateSpec(object, validateDrain)
	}
}

func validateSpec[T any](object Object, check func(T) string) error {
	var spec T
	decoder := json.NewDecoder(bytes.NewReader(object.Spec))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&spec); err != nil {
		return fault.New(fault.CodeInvalid, stepValidate, "%s: %v", object.Key(), err)
	}
	if problem := check(spec); problem != "" {
		return fault.New(fault.CodeInvalid, stepValidate, "%s: %s", object.Key(), problem)
	}
	return nil
}

func validateModel(m Model) string {
	if !ValidName(m.ActiveVersion) {
		return "activeVersion must name a Version"
	}
	return validateReplicas(m.Replicas)
}

func validateVersion(v Version) string {
	if !ValidName(v.Model) {
		return "model must name a Model"
	}
	return validateWeights(v.Checkpoint, v.MemoryMiB)
}

func validateAdapter(a Adapter) string {
	if !ValidName(a.Model) {
		return "model must name the base Model"
	}
	if problem := validateReplicas(a.Replicas); problem != "" {
		return problem
	}
	return validateWeights(a.Checkpoint, a.MemoryMiB)
}

func validatePolicy(p Policy) string {
	if len(p.Models) == 0 {
		return "models must select at least one model, \"*\" for all"
	}
	if p.Ready == "" {
		return "ready must be a CEL expression of type int"
	}
	return ""
}

func validateDrain(d Drain) string {
	if d.Target != DrainNode && d.Target != DrainRunner && d.Target != DrainZone {
		return "target must be node, runner or zone"
	}
	if d.Name == "" {
		return "name must name the target"
	}
	return ""
}

func validateReplicas(replicas int) string {
	if replicas < 0 || replicas > MaximumReplicas {
		return "replicas must be 0 to 1000"
	}
	return ""
}

func validateWeights(checkpoint string, memoryMiB int64) string {
	if checkpoint == "" {
		return "checkpoint must name the weights"
	}
	if memoryMiB <= 0 || memoryMiB > maximumMemoryMiB {
		return "memoryMiB must be 1 to 16777216"
	}
	return ""
}
