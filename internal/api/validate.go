package api

import (
	"bytes"
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"

	"lilacvane/internal/fault"
)

const stepValidate = "validate object"

// Validate checks an object that an operator submits: its kind must be known, its name
// valid, and its spec without unknown fields and with values within limits.
func Validate(object Object) error {
	if !slices.Contains(Kinds, object.Kind) {
		return fault.New(fault.CodeInvalid, stepValidate, "unknown kind %q", object.Kind)
	}
	if !ValidName(object.Name) {
		return fault.New(fault.CodeInvalid, stepValidate, "name %q: letters, digits, '.', '_', '-', '@', at most %d", object.Name, maximumNameLength)
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
	case KindService:
		return validateSpec(object, validateService)
	case KindRoute:
		return validateSpec(object, validateRoute)
	case KindTenant:
		return validateSpec(object, validateTenant)
	default:
		return validateSpec(object, validateDrain)
	}
}

// validateSpec decodes the spec of an object strictly and checks it. check returns the
// problem found, or "".
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
	if v.LoadSeconds < 0 || v.DiskLoadSeconds < 0 || v.HostLoadSeconds < 0 {
		return "load times must not be negative"
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

func validateService(s Service) string {
	switch {
	case s.MaximumConnections < 0:
		return "maximumConnections must not be negative"
	case s.Engine == nil:
		return ""
	case s.Engine.Slots < 1:
		return "engine.slots must be at least 1"
	case s.Engine.MemoryMiB <= 0 || s.Engine.MemoryMiB > maximumMemoryMiB:
		return "engine.memoryMiB must be 1 to 16777216"
	case s.Engine.AdapterSlots < 0:
		return "engine.adapterSlots must not be negative"
	case s.Engine.LoadsPerSecond <= 0:
		return "engine.loadsPerSecond must be above 0"
	default:
		return ""
	}
}

func validateRoute(r Route) string {
	switch {
	case r.Host == "":
		return "host must be given"
	case !strings.HasPrefix(r.PathPrefix, "/") || !strings.HasSuffix(r.PathPrefix, "/"):
		return "pathPrefix must begin and end with a slash"
	case r.Kind != "safe" && r.Kind != "unsafe" && r.Kind != "stream":
		return "kind must be safe, unsafe or stream"
	case r.Resumable && r.Kind != "stream":
		return "only a stream is resumable"
	case r.TimeoutSeconds < 0 || r.ObjectiveSeconds < 0 || r.PauseObjectiveSeconds < 0:
		return "times must not be negative"
	case r.Attempts < 1:
		return "attempts must be at least 1"
	}
	if problem := validateHomes(r.Homes); problem != "" {
		return problem
	}
	return validateBackends(r.Backends)
}

// maximumWeight is the maximum weight of a backend, so that sums of weights are exact.
const maximumWeight = 1_000_000_000

func validateBackends(backends []Backend) string {
	total := 0
	for _, backend := range backends {
		if !ValidName(backend.Service) || backend.Weight < 0 || backend.Weight > maximumWeight {
			return "backends must name services with weights of 0 to 1000000000"
		}
		total += backend.Weight
	}
	if total == 0 {
		return "the weights of the backends must add up to more than 0"
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

// digestPattern matches a SHA-256 digest in hexadecimal digits.
var digestPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// maximumKeys bounds the number of keys of a tenant.
const maximumKeys = 64

func validateTenant(t Tenant) string {
	switch {
	case t.Priority < 0:
		return "priority must not be negative"
	case len(t.Keys) > maximumKeys:
		return fmt.Sprintf("keys: at most %d", maximumKeys)
	}
	for i, key := range t.Keys {
		if !ValidName(key.ID) {
			return fmt.Sprintf("keys[%d].id must be a name", i)
		}
		if !digestPattern.MatchString(key.SHA256) {
			return fmt.Sprintf("keys[%d].sha256 must be 64 hexadecimal digits", i)
		}
		if slices.ContainsFunc(t.Keys[:i], func(k TenantKey) bool { return k.ID == key.ID || k.SHA256 == key.SHA256 }) {
			return fmt.Sprintf("keys[%d] is there twice", i)
		}
	}
	if problem := validateHomes(t.Homes); problem != "" {
		return problem
	}
	return validateLimit(t.Limit)
}

// maximumHomes bounds the number of home regions of a route or tenant.
const maximumHomes = 64

func validateHomes(homes []string) string {
	switch {
	case homes == nil:
		return ""
	case len(homes) == 0:
		return "homes must name a region; leave it out for all regions"
	case len(homes) > maximumHomes:
		return fmt.Sprintf("homes: at most %d", maximumHomes)
	}
	for i, region := range homes {
		if !ValidName(region) {
			return fmt.Sprintf("homes[%d] must name a region", i)
		}
		if slices.Contains(homes[:i], region) {
			return fmt.Sprintf("homes[%d] is there twice", i)
		}
	}
	return ""
}

func validateLimit(l *TenantLimit) string {
	switch {
	case l == nil:
		return ""
	case l.Unit != UnitRequests && l.Unit != UnitTokens:
		return "limit.unit must be requests or tokens"
	case l.Rate <= 0:
		return "limit.rate must be above 0"
	case l.Burst < 0:
		return "limit.burst must not be negative"
	case l.PlainCost < 0:
		return "limit.plainCost must not be negative"
	default:
		return ""
	}
}
