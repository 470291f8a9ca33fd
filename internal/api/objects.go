// Package api defines the objects operators declare, the records the system
// commits beside them, and the headers callers use.
package api

import (
	"encoding/json"
	"fmt"
	"regexp"

	"lilacvane/internal/fault"
)

// Kind names the type of an object.
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

// Model is a model that callers can name. Replicas is the number of replicas
// decided for it: at most that many are ever loaded.
type Model struct {
	// ActiveVersion names the Version that serves callers.
	ActiveVersion string `json:"activeVersion"`
	// Replicas is the largest number of replicas, 0 to MaximumReplicas.
	Replicas int `json:"replicas"`
	// Service names the Service whose runners hold the model. It may be left
	// out when there is only one service of engines.
	Service string `json:"service,omitempty"`
}

// Version is one checkpoint of a model.
type Version struct {
	// Model is the name of the model this is a version of.
	Model string `json:"model"`
	// Checkpoint is the name of the weights in the weight store.
	Checkpoint string `json:"checkpoint"`
	// MemoryMiB is what a replica takes on a runner in MiB, its smallest KV
	// cache included.
	MemoryMiB int64 `json:"memoryMiB"`
	// LoadSeconds, DiskLoadSeconds and HostLoadSeconds are the expected times of
	// a load from the weight store, a runner's disk and its host memory. Zero
	// means that it is not known; a load from the store is then taken to run at
	// one GiB a second.
	LoadSeconds     float64 `json:"loadSeconds,omitempty"`
	DiskLoadSeconds float64 `json:"diskLoadSeconds,omitempty"`
	HostLoadSeconds float64 `json:"hostLoadSeconds,omitempty"`
}

// Adapter is a small set of weights served on top of a model.
type Adapter struct {
	// Model is the base model.
	Model string `json:"model"`
	// Checkpoint is the name of the weights in the weight store.
	Checkpoint string `json:"checkpoint"`
	// MemoryMiB is what a replica takes on a runner in MiB.
	MemoryMiB int64 `json:"memoryMiB"`
	// Replicas is the largest number of replicas; zero forbids the adapter.
	Replicas int `json:"replicas"`
}

// Policy is a program that states how many replicas of the models it selects are
// to be kept ready at a time and place.
type Policy struct {
	// Models selects models by name; "*" selects all.
	Models []string `json:"models"`
	// Ready is a CEL expression of type int; see package policy.
	Ready string `json:"ready"`
}

// DrainTarget says what a Drain stops.
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

// Service is a set of runners of one kind.
type Service struct {
	// HealthPath answers whether a runner is healthy.
	HealthPath string `json:"healthPath,omitempty"`
	// MaximumConnections is how many connections a runner accepts; zero means no
	// limit.
	MaximumConnections int `json:"maximumConnections,omitempty"`
	// Engine is set for runners that hold models.
	Engine *Engine `json:"engine,omitempty"`
}

// Engine describes the runners of a service of model engines.
type Engine struct {
	// Slots is how many requests a runner runs at once.
	Slots int `json:"slots"`
	// MemoryMiB is a runner's memory for weights and adapters in MiB.
	MemoryMiB int64 `json:"memoryMiB"`
	// AdapterSlots is how many adapters a runner holds.
	AdapterSlots int `json:"adapterSlots,omitempty"`
	// LoadsPerSecond is what the weight store allows all runners together.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Host       string `json:"host"`
	PathPrefix string `json:"pathPrefix"`
	// Kind is safe, unsafe or stream.
	Kind      string `json:"kind"`
	Resumable bool   `json:"resumable,omitempty"`
	// TimeoutSeconds is the longest time a request is held; zero means no limit.
	TimeoutSeconds float64 `json:"timeoutSeconds,omitempty"`
	// ObjectiveSeconds is the time of a prompt answer or first event.
	ObjectiveSeconds float64 `json:"objectiveSeconds,omitempty"`
	// PauseObjectiveSeconds is the longest pause of a prompt stream.
	PauseObjectiveSeconds float64 `json:"pauseObjectiveSeconds,omitempty"`
	// Priority is the route's rank; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// Attempts is the largest number of runners a request may run at.
	Attempts int `json:"attempts"`
	// Public routes need no key.
	Public bool `json:"public,omitempty"`
	// Homes are the regions in which alone its requests are served; left out for all.
	Homes []string `json:"homes,omitempty"`
	// Backends share the requests by weight.
	Backends []Backend `json:"backends"`
}

// Backend is a service's share of a route.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Tenant is a caller with keys of its own. Once there is one, requests need a key that a
// tenant holds, but for those on public routes.
type Tenant struct {
	// Priority goes before that of routes; 0 is served first.
	Priority int `json:"priority,omitempty"`
	// Limit is what it may use over all nodes together; without one there is none.
	Limit *TenantLimit `json:"limit,omitempty"`
	// Homes are the regions in which alone its requests are served; left out for all.
	Homes []string    `json:"homes,omitempty"`
	Keys  []TenantKey `json:"keys,omitempty"`
}

// The units of a TenantLimit.
const (
	UnitRequests = "requests"
	UnitTokens   = "tokens"
)

// TenantLimit bounds what a tenant uses.
type TenantLimit struct {
	// Unit is requests or tokens.
	Unit string `json:"unit"`
	// Rate is units a second, Burst what may be used on top at once.
	Rate  float64 `json:"rate"`
	Burst float64 `json:"burst,omitempty"`
	// PlainCost is what a request without token counts costs, in tokens.
	PlainCost float64 `json:"plainCost,omitempty"`
}

// TenantKey is a key, known by its digest only.
type TenantKey struct {
	// ID names the key to operators.
	ID string `json:"id"`
	// SHA256 is the digest of the key, in hexadecimal digits.
	SHA256 string `json:"sha256"`
}

// Object is a named, versioned record of the configuration. Spec is the JSON of
// the type its Kind names.
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

// Key returns the identity of the object.
func (o Object) Key() Key { return Key{Kind: o.Kind, Name: o.Name} }

// String returns kind/name.
func (k Key) String() string { return string(k.Kind) + "/" + k.Name }

// Decode reads the Spec into a typed value.
func Decode[T any](object Object) (T, error) {
	var value T
	err := json.Unmarshal(object.Spec, &value)
	if err != nil {
		return value, fault.New(fault.CodeInvalid, "decode object", "%s: %v", object.Key(), err)
	}
	return value, nil
}

// NewObject builds an object around a typed spec.
func NewObject(kind Kind, name string, spec any) Object {
	content, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("api: spec of %s/%s cannot be encoded: %v", kind, name, err))
	}
	return Object{Kind: kind, Name: name, Spec: content}
}

// Limits of objects.
const (
	MaximumReplicas  = 1000
	maximumMemoryMiB = 16 << 20
	maximumName      = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9]([A-Za-z0-9._@-]*[A-Za-z0-9])?$`)

// ValidName reports whether a name may be given to an object.
func ValidName(name string) bool {
	return len(name) <= maximumName && namePattern.MatchString(name)
}
