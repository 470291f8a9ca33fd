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

// The kinds of objects. Grant and ClaimGroup are written by nodes, the others by
// operators.
const (
	KindModel      Kind = "Model"
	KindVersion    Kind = "Version"
	KindAdapter    Kind = "Adapter"
	KindPolicy     Kind = "Policy"
	KindDrain      Kind = "Drain"
	KindGrant      Kind = "Grant"
	KindClaimGroup Kind = "ClaimGroup"
)

// OperatorKinds lists the kinds that operators may write.
var OperatorKinds = []Kind{KindModel, KindVersion, KindAdapter, KindPolicy, KindDrain}

// Model is a model that callers can name. Replicas is the number of replicas
// decided for it: at most that many are ever loaded.
type Model struct {
	// ActiveVersion names the Version that serves callers.
	ActiveVersion string `json:"activeVersion"`
	// Replicas is the number of grants, 0 to MaximumReplicas.
	Replicas int `json:"replicas"`
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
}

// Adapter is a small set of weights served on top of a model.
type Adapter struct {
	// Model is the base model.
	Model string `json:"model"`
	// Checkpoint is the name of the weights in the weight store.
	Checkpoint string `json:"checkpoint"`
	// MemoryMiB is what a replica takes on a runner in MiB.
	MemoryMiB int64 `json:"memoryMiB"`
	// Replicas is the number of grants.
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

// Grant is the committed decision which runners may hold replicas of a unit.
type Grant struct {
	Items []GrantItem `json:"items"`
}

// GrantItem allows one incarnation of a runner to hold one replica.
type GrantItem struct {
	// Runner is the runner's machine identifier.
	Runner string `json:"runner"`
	// Incarnation is the identifier of the runner process; a restarted runner
	// has another one and holds nothing.
	Incarnation string `json:"incarnation"`
	// Address is the runner's ip:port.
	Address string `json:"address"`
	// Zone and Region are where the runner is.
	Zone   string `json:"zone"`
	Region string `json:"region"`
	// Generation is the generation of the Grant object that added this item.
	// The runner fences by it.
	Generation uint64 `json:"generation"`
	// Revoking is set once the item is to be taken back. The item stays until
	// the runner confirmed that it holds and accepts no replica any more.
	Revoking bool `json:"revoking,omitempty"`
}

// ClaimGroup is the set of nodes that keep the claims of one shard.
type ClaimGroup struct {
	Members []ClaimMember `json:"members"`
	// Staging is the identifier of the claim state that the members installed
	// before this record was committed.
	Staging string `json:"staging"`
}

// ClaimMember is one incarnation of a node.
type ClaimMember struct {
	Node        string `json:"node"`
	Incarnation string `json:"incarnation"`
	Address     string `json:"address"`
	Zone        string `json:"zone"`
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
