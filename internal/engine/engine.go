// Package engine is the seam to the model engines ("runners"): fenced control
// orders, state reports and inference streams over HTTP with JSON and SSE.
package engine

import (
	"context"
	"time"
)

// The headers of an inference call. Priority is 0 (most pressing) to 3.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderUnit     = "X-Unit"
	HeaderVersion  = "X-Version"
	HeaderPriority = "X-Priority"
	HeaderActive   = "X-Active"
)

// The paths of an engine's interface.
const (
	PathState      = "/control/state"
	PathOrders     = "/control/orders"
	PathChat       = "/v1/chat/completions"
	PathCompletion = "/v1/completions"
	PathStreams    = "/v1/streams/"
	PathCaches     = "/control/caches/"
	PathEvents     = "/control/cache-events"
)

// OrderKind is what an order does.
type OrderKind string

// The kinds of orders.
const (
	// OrderFence raises the owner epoch. It succeeds if Epoch is above the
	// engine's; all orders of lower epochs are refused from then on.
	OrderFence OrderKind = "fence"
	// OrderBarrier changes nothing; orders of a lower sequence that arrive
	// later are refused.
	OrderBarrier OrderKind = "barrier"
	// OrderLoad starts to load a unit.
	OrderLoad OrderKind = "load"
	// OrderUnload refuses new work for a unit, lets running work finish and
	// frees the unit's memory.
	OrderUnload OrderKind = "unload"
	// OrderRevoke unloads, and refuses for ever loads of the unit with a grant
	// generation up to the one given.
	OrderRevoke OrderKind = "revoke"
	// OrderRole changes the engine's role.
	OrderRole OrderKind = "role"
)

// Role tells whether an engine takes new work.
type Role string

// The roles of an engine.
const (
	RoleServing  Role = "serving"
	RoleDraining Role = "draining"
)

// Order is a fenced order. The engine refuses it with stale_epoch when Epoch is
// below its own or Sequence is not above the last of the epoch, with
// stale_incarnation when Incarnation is not its own, with stale_grant when
// GrantGeneration has been revoked.
type Order struct {
	Kind            OrderKind `json:"kind"`
	Epoch           uint64    `json:"epoch"`
	Sequence        uint64    `json:"sequence"`
	Incarnation     string    `json:"incarnation"`
	Owner           string    `json:"owner,omitempty"`
	Unit            string    `json:"unit,omitempty"`
	Version         string    `json:"version,omitempty"`
	Checkpoint      string    `json:"checkpoint,omitempty"`
	Base            string    `json:"base,omitempty"`
	MemoryMiB       int64     `json:"memoryMiB,omitempty"`
	GrantGeneration uint64    `json:"grantGeneration,omitempty"`
	Role            Role      `json:"role,omitempty"`
}

// UnitState is the state of a unit on an engine.
type UnitState string

// The states of a unit.
const (
	UnitLoading   UnitState = "loading"
	UnitReady     UnitState = "ready"
	UnitUnloading UnitState = "unloading"
)

// Unit is one unit that takes memory on an engine.
type Unit struct {
	Name            string    `json:"name"`
	Version         string    `json:"version"`
	Base            string    `json:"base,omitempty"`
	State           UnitState `json:"state"`
	MemoryMiB       int64     `json:"memoryMiB"`
	GrantGeneration uint64    `json:"grantGeneration"`
	Active          int       `json:"active"`
	// LastUsedAgo is the time since the last request ended, in milliseconds.
	LastUsedAgo int64 `json:"lastUsedAgoMilliseconds"`
	// ReadyIn is the expected rest of the load, in milliseconds.
	ReadyIn int64 `json:"readyInMilliseconds"`
}

// State is an engine's report on itself. It may lag, except as the answer to an
// order.
type State struct {
	Runner      string            `json:"runner"`
	Incarnation string            `json:"incarnation"`
	Epoch       uint64            `json:"epoch"`
	Sequence    uint64            `json:"sequence"`
	Owner       string            `json:"owner"`
	Role        Role              `json:"role"`
	MemoryMiB   int64             `json:"memoryMiB"`
	Slots       int               `json:"slots"`
	Active      int               `json:"active"`
	Units       []Unit            `json:"units"`
	Revoked     map[string]uint64 `json:"revoked"`
	// Cached tells where checkpoints are found: 0 memory, 1 disk; the rest are
	// remote.
	Cached map[string]int `json:"cached"`
}

// Find returns the unit of that name.
func (s State) Find(name string) (Unit, bool) {
	for _, unit := range s.Units {
		if unit.Name == name {
			return unit, true
		}
	}
	return Unit{}, false
}

// Control is the fenced control interface of one engine.
type Control interface {
	// State reads the engine's report.
	State(ctx context.Context) (State, error)
	// Send carries out an order and returns the state after it.
	Send(ctx context.Context, order Order) (State, error)
}

// Chunk is one event of an inference stream. Sequence counts from zero without
// gaps; the last chunk has Finish set and Total, the number of chunks before it.
type Chunk struct {
	Request  string `json:"id"`
	Sequence int    `json:"sequence"`
	Text     string `json:"text"`
	Finish   string `json:"finish,omitempty"`
	Total    int    `json:"total,omitempty"`
}

// Call is one inference request.
type Call struct {
	Request  string
	Unit     string
	Version  string
	Priority int
	Path     string
	Body     []byte
}

// Stream yields the chunks of an answer.
type Stream interface {
	// Next returns the next chunk. An error's outcome tells whether the engine
	// may have run the request.
	Next() (Chunk, error)
	// Active is the number of requests the engine was running when it answered.
	Active() int
	// Close gives the stream up without cancelling the request on the engine.
	Close()
}

// Inference is the data interface of one engine.
type Inference interface {
	// Start runs a request.
	Start(ctx context.Context, call Call) (Stream, error)
	// Resume continues the stream of a request from a sequence number.
	Resume(ctx context.Context, request string, from int) (Stream, error)
	// Cancel stops a request.
	Cancel(ctx context.Context, request string) error
}

// Timeouts of engine calls.
const (
	ControlTimeout = 2 * time.Second
	HeaderTimeout  = 30 * time.Second
)
