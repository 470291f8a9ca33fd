// Package api defines the objects that operators declare, their validation, and the
// headers and bodies of callers' requests.
package api

import (
	"encoding/json"
	"fmt"
	"regexp"

	"lilacvane/internal/fault"
)

// Kind is the type of an object.
type Kind string

// The kinds of objects.
const (
	KindModel   Kind = "Model"
	KindVersion Kind = "Version"
	KindAdapter Kind = "Adapter"
	KindPolicy  Kind = "Policy"
	KindDrain   Kind = "Drain"
	KindService Kind = "Service"
	KindRoute   Kind = "Route"
	KindTenant  Kind = "Tenant"
)

// Kinds lists all kinds.
var Kinds = []Kind{KindModel, KindVersion, KindAdapter, KindPolicy, KindDrain, KindService, KindRoute, KindTenant}

// Model is a model that callers can name.
type Model struct {
	// ActiveVersion is the name of the Version that serves callers.
	ActiveVersion string `json:"activeVersion"`
	// Replicas is the maximum number of replicas, 0 to MaximumReplicas. More are
	// never loaded.
	Replicas int `json:"replicas"`
	// Service is the name of the Service whose runners hold the model. It is
	// optional if there is only one engine service.
	Service string `json:"service,omitempty"`
}

// Version is one checkpoint of a model.
type Version struct {
	// Model is the name of the Model that this is a version of.
	Model string `json:"model"`
	// Checkpoint is the name of the weights in the weight store.
	Checkpoint string `json:"checkpoint"`
	// MemoryMiB is the memory of a replica on a runner in MiB, including its
	// minimum KV cache.
	MemoryMiB int64 `json:"memoryMiB"`
	// LoadSeconds, DiskLoadSeconds and HostLoadSeconds are the expected times of
	// a load from the weight store, a runner's disk and its host memory. Zero
	// means unknown; loads from the store are then assumed to run at one GiB per
	// second.
	LoadSeconds     float64 `json:"loadSeconds,omitempty"`
	DiskLoadSeconds float64 `json:"diskLoadSeconds,omitempty"`
	HostLoadSeconds float64 `json:"hostLoadSeconds,omitempty"`
}

// Adapter is a small set of weights served on top of a model.
type Adapter struct {
	// Model is the name of the base Model.
	Model string `json:"model"`
	// Checkpoint is the name of the weights in the weight store.
	Checkpoint string `json:"checkpoint"`
	// MemoryMiB is the memory of a replica on a runner in MiB.
	MemoryMiB int64 `json:"memoryMiB"`
	// Replicas is the maximum number of replicas; zero forbids the adapter.
	Replicas int `json:"replicas"`
}

// Policy is a program that returns how many replicas of the selected models to keep
// ready, by time and region.
type Policy struct {
	// Models selects models by name; "*" selects all.
	Models []string `json:"models"`
	// Ready is a CEL expression of type int; see package policy.
	Ready string `json:"ready"`
}

// DrainTarget is the type of what a Drain stops.
type DrainTarget string

// The targets of a Drain.
const (
	DrainNode   DrainTarget = "node"
	DrainRunner DrainTarget = "runner"
	DrainZone   DrainTarget = "zone"
)

// Drain is a planned stop of a node, a runner or all runners of a zone.
type Drain struct {
	Target DrainTarget `json:"target"`
	Name   string      `json:"name"`
}

// Service is a set of similar runners.
type Service struct {
	// HealthPath is the path of a runner's health check.
	HealthPath string `json:"healthPath,omitempty"`
	// MaximumConnections is the number of connections that a runner accepts; zero
	// means no limit.
	MaximumConnections int `json:"maximumConnections,omitempty"`
	// Engine is set if the runners hold models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the runners of a service of model engines.
type Engine struct {
	// Slots is the number of requests that a runner runs concurrently.
	Slots int `json:"slots"`
	// MemoryMiB is a runner's memory for weights and adapters in MiB.
	MemoryMiB int64 `json:"memoryMiB"`
	// AdapterSlots is the number of adapters that a runner can hold.
	AdapterSlots int `json:"adapterSlots,omitempty"`
	// LoadsPerSecond is the rate of loads that the weight store allows for all
	// runners together.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	// Kind is safe, unsafe or stream.
	Kind      string `json:"kind"`
	Resumable bool   `json:"resumable,omitempty"`
	// TimeoutSeconds bounds the time that a request is held; zero means no limit.
	TimeoutSeconds float64 `json:"timeoutSeconds,omitempty"`
	// ObjectiveSeconds is the latency objective for an answer or the first event of
	// a stream.
	ObjectiveSeconds float64 `json:"objectiveSeconds,omitempty"`
	// PauseObjectiveSeconds is the latency objective between two events of a stream.
	PauseObjectiveSeconds float64 `json:"pauseObjectiveSeconds,omitempty"`
	// Priority orders the routes; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// Attempts is the maximum number of runners that a request is sent to.
	Attempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Homes are the only regions in which the route's requests are served. If left
	// out, all regions serve them.
	Homes []string `json:"homes,omitempty"`
	// Backends share the requests by weight.
	Backends []Backend `json:"backends"`
}

// Backend is a service's share of a route.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Tenant is a caller with its own keys. If there is any tenant, requests need a tenant's
// key, except on public routes.
type Tenant struct {
	// Priority takes precedence over that of routes; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// Limit bounds what the tenant uses at all nodes together. If left out, there is
	// no limit.
	Limit *TenantLimit `json:"limit,omitempty"`
	// Homes are the only regions in which the tenant's requests are served. If left
	// out, all regions serve them.
	Homes []string    `json:"homes,omitempty"`
	Keys  []TenantKey `json:"keys,omitempty"`
}

// The units of a TenantLimit.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens"
)

// TenantLimit is a rate limit for a tenant.
type TenantLimit struct {
	// Unit is requests or tokens.
	Unit string `json:"unit"`
	// Rate is in units per second; Burst is the amount on top of it that may be used
	// at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
	// PlainCost is the cost of a request without token counts, in tokens.
	PlainCost float64 `json:"plainCost,omitempty"`
}

// TenantKey is an API key of a tenant, stored only as a digest.
type TenantKey struct {
	// ID is the operators' name for the key.
	ID string `json:"id"`
	// SHA256 is the digest of the key, in hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Object is a named, versioned record of the configuration. Spec is the JSON encoding
// of the type that Kind names.
type Object struct {
	Kind       Kind            `json:"kind"`
	Name       string          `json:"name"`
	Generation uint64          `json:"generation"`
	Spec       json.RawMessage `json:"spec"`
}

// Key identifies an object.
type Key struct {
	Kind Kind
	Name string
}

// Key returns the key of the object.
func (o Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// String returns the key as kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Decode decodes the Spec of an object.
func Decode[T any](object Object) (T, error) {
	var value T
	err := json.Unmarshal(object.Spec, &value)
	if err != nil {
		return value, fault.New(fault.CodeInvalid, "decode object", "%s: %v", object.Key(), err)
	}
	return value, nil
}

// NewObject returns an object with the given spec, which must be encodable as JSON.
func NewObject(kind Kind, name string, spec any) Object {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("api: spec of %s/%s cannot be encoded: %v", kind, name, err))
	}
	return Object{Kind: kind, Name: name, Spec: content}
}

// Limits of objects.
const (
	MaximumReplicas   = 1000
	maximumMemoryMiB  = 16 << 20
	maximumNameLength = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._@-]*[A-Za-z0-9])?$`)

// ValidName reports whether name is a valid object name.
func ValidName(name string) bool {
	return len(name) <= maximumNameLength && namePattern.MatchString(name)
}
