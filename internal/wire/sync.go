package wire

import (
	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/backend"
	"lilacvane/internal/limit"
	"lilacvane/internal/table"
)

// MethodSync is the call by which a node reports the demand of its requests to the holder of the
// control lease of a service, and learns what the runners hold.
const MethodSync = "control/sync"

// SyncRequest is the demand of a node.
type SyncRequest struct {
	Service string `cbor:"1,keyasint"`
	Node    string `cbor:"2,keyasint"`
	// Zone and Address (ip:port for peers) are the location of the node.
	Zone    string `cbor:"10,keyasint,omitempty"`
	Address string `cbor:"11,keyasint,omitempty"`
	// Region is the region of the node; empty if it is not known.
	Region string `cbor:"16,keyasint,omitempty"`
	// Token and Version identify the newest response that the node has. The answer contains what
	// has changed since.
	Token   uint64 `cbor:"3,keyasint"`
	Version uint64 `cbor:"4,keyasint"`
	// HoldMs is how long the answer may wait for a change, in milliseconds.
	HoldMs int64 `cbor:"5,keyasint"`
	// Waiting are the requests that wait at the node, Usage those since its last report, and Running
	// those in progress at runners.
	Waiting []UnitWaiting `cbor:"6,keyasint,omitempty"`
	Usage   []UnitUsage   `cbor:"7,keyasint,omitempty"`
	Running []RunnerUsage `cbor:"8,keyasint,omitempty"`
	// Report is set when Waiting and Running are the complete demand of the node.
	Report bool `cbor:"9,keyasint,omitempty"`
	// Suspects are runners that did not answer a request of the node.
	Suspects []string `cbor:"12,keyasint,omitempty"`
	// Spare is the spare capacity of the machine of the node as a share, 0 to 1, of what a holder
	// should have (settings.Capacity).
	Spare float64 `cbor:"13,keyasint,omitempty"`
	// Limits is sent with reports to the holder that divides limits.
	Limits *LimitReport `cbor:"14,keyasint,omitempty"`
	// Permits are requested for requests that can only be served by runners that are cold or stated
	// a limit.
	Permits []PermitsWanted `cbor:"15,keyasint,omitempty"`
	// Poison is sent to the holder that counts the crashes of runners under requests.
	Poison *PoisonReport `cbor:"17,keyasint,omitempty"`
	// Partial is set while the node knows only some of the runners.
	Partial bool `cbor:"19,keyasint,omitempty"`
	// Leaving are runners that announced in answers that they are leaving although the list of the
	// platform does not show it yet.
	Leaving []RunnerLeaving `cbor:"18,keyasint,omitempty"`
	// Limited are runners that stated limits in answers.
	Limited []RunnerNumber `cbor:"20,keyasint,omitempty"`
	// Brittle are runners that stated in answers that they are brittle.
	Brittle []RunnerNumber `cbor:"23,keyasint,omitempty"`
	// NeighborsDigest is the digest of the neighbors that the node knows; zero for none.
	NeighborsDigest uint64 `cbor:"24,keyasint,omitempty"`
	// CutOff is set while the node itself reaches few of the runners that others reach.
	CutOff bool `cbor:"21,keyasint,omitempty"`
}

// RunnerNumber is a number that a runner stated in an answer.
type RunnerNumber struct {
	// Runner identifies the incarnation.
	Runner string `cbor:"1,keyasint"`
	// Value is the number: in Limited, the requests per second that it accepts from all nodes
	// together; in Brittle, the requests that it may reject within a second.
	Value float64 `cbor:"2,keyasint"`
	// AgeMs is how long ago it last stated the number, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// RunnerLeaving is a runner that announced in an answer that it is leaving.
type RunnerLeaving struct {
	// Runner identifies the incarnation.
	Runner string `cbor:"1,keyasint"`
	// AgeMs is how long ago it last announced that, in milliseconds.
	AgeMs int64 `cbor:"2,keyasint,omitempty"`
}

// PermitsWanted is the number of permits that a node requests for a runner that is cold or stated a
// limit.
type PermitsWanted struct {
	Runner string `cbor:"1,keyasint"`
	Count  int    `cbor:"2,keyasint"`
	// Rate is the limit that the runner stated, in requests per second; zero for none.
	Rate float64 `cbor:"3,keyasint,omitempty"`
}

// PermitsLent is the number of permits that the holder lends for a runner that is cold or stated a
// limit. They may be spent within a fixed time (coldstart.Validity) after the node sent its
// request.
type PermitsLent struct {
	Runner string `cbor:"1,keyasint"`
	Count  int    `cbor:"2,keyasint,omitempty"`
	// NextMs is the time until the holder can lend another permit, in milliseconds.
	NextMs int64 `cbor:"3,keyasint,omitempty"`
}

// UnitWaiting is the requests that wait for a unit at the node.
type UnitWaiting struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Count   int    `cbor:"3,keyasint"`
	// LeftMs is the time until the first of them times out, in milliseconds.
	LeftMs   int64 `cbor:"4,keyasint"`
	Priority int   `cbor:"5,keyasint"`
	// Homes are the only regions in which they may be served (place.Homes.Names).
	Homes []string `cbor:"6,keyasint,omitempty"`
}

// UnitUsage is the number of requests for a unit since the last report of the node.
type UnitUsage struct {
	Model    string `cbor:"1,keyasint"`
	Adapter  string `cbor:"2,keyasint,omitempty"`
	Requests int    `cbor:"3,keyasint"`
	// Tokens is the total size of their prompts.
	Tokens int `cbor:"4,keyasint"`
	// Homes are the only regions in which they may be served (place.Homes.Names).
	Homes []string `cbor:"5,keyasint,omitempty"`
}

// RunnerUsage is the number of requests that the node has in progress at a runner, by model.
type RunnerUsage struct {
	Runner string         `cbor:"1,keyasint"`
	Models map[string]int `cbor:"2,keyasint"`
	// Adapters counts the requests for adapters separately, by model/adapter.
	Adapters map[string]int `cbor:"3,keyasint,omitempty"`
}

// SyncResponse is the state of the runners as known to the holder.
type SyncResponse struct {
	Token   uint64       `cbor:"1,keyasint"`
	Version uint64       `cbor:"2,keyasint"`
	Runners []RunnerView `cbor:"4,keyasint,omitempty"`
	// ListRevision is the revision of the list of the platform up to which the holder has applied
	// all changes; see RunnerView.Listed.
	ListRevision uint64 `cbor:"19,keyasint,omitempty"`
	// ListEpoch is the epoch of ListRevision; zero if not known.
	ListEpoch table.Epoch `cbor:"25,keyasint,omitempty"`
	// Planned are the models that requests at the node wait for and that are not being loaded yet,
	// with the time until they are expected.
	Planned []PendingUnit `cbor:"9,keyasint,omitempty"`
	// Nodes is the number of nodes that reported recently.
	Nodes int `cbor:"5,keyasint"`
	// BestSpare is the largest Spare among the nodes that reported recently, excluding the holder.
	BestSpare float64 `cbor:"14,keyasint,omitempty"`
	// Standbys are addresses of the nodes that fall back to the store first when a holder is lost.
	// Sent in answer to reports.
	Standbys []string `cbor:"15,keyasint,omitempty"`
	// LeaseRenewal, LeaseYielded and LeaseQuietMs are the status of the holder's lease
	// (lease.HolderStatus), the one with Token.
	LeaseRenewal uint64 `cbor:"10,keyasint,omitempty"`
	LeaseYielded bool   `cbor:"11,keyasint,omitempty"`
	LeaseQuietMs int64  `cbor:"12,keyasint,omitempty"`
	// ActsInMs is the time until the holder gives orders, in milliseconds, while it waits for the
	// turn gap to pass.
	ActsInMs int64 `cbor:"13,keyasint,omitempty"`
	// Valid is set while the last lease renewal of the holder is valid.
	Valid bool `cbor:"6,keyasint,omitempty"`
	// StoreLimit and StoreCapacity are what the holder has learned about the weight store
	// (weightstore.Estimate), from which the next holder continues.
	StoreLimit    int     `cbor:"7,keyasint,omitempty"`
	StoreCapacity float64 `cbor:"8,keyasint,omitempty"`
	// LoadCrashes are the crashes of runners while they loaded models, from which the next holder
	// continues. Sent in answer to reports.
	LoadCrashes []ModelCrashes `cbor:"21,keyasint,omitempty"`
	// Limits answers the Limits of the request.
	Limits *limit.Grant `cbor:"16,keyasint,omitempty"`
	// Permits answers the Permits of the request.
	Permits []PermitsLent `cbor:"17,keyasint,omitempty"`
	// Leaving, Limited and Brittle are the runners that stated so to the holder itself or to other
	// nodes.
	Leaving []RunnerLeaving `cbor:"18,keyasint,omitempty"`
	Limited []RunnerNumber  `cbor:"20,keyasint,omitempty"`
	Brittle []RunnerNumber  `cbor:"23,keyasint,omitempty"`
	// TunnelPeers are the addresses of nodes through which the node may reach runners, nearest first.
	// Sent in answer to reports.
	TunnelPeers []string `cbor:"22,keyasint,omitempty"`
	// TunnelRegions are the regions of TunnelPeers, in the same order; an empty one is not known.
	TunnelRegions []string `cbor:"26,keyasint,omitempty"`
	// Neighbors are the addresses of the nodes to which the node passes urgent news on. Sent in answer
	// to reports whose NeighborsDigest is another one.
	Neighbors []string `cbor:"24,keyasint,omitempty"`
}

// NeighborsDigest returns the digest of a list of neighbors.
func NeighborsDigest(neighbors []string) uint64 {
	digest := xxhash.New()
	for _, address := range neighbors {
		_, _ = digest.WriteString(address + "\n")
	}
	return digest.Sum64()
}

// ModelCrashes is the number of runners that crashed, one after the other, while loading a model.
type ModelCrashes struct {
	Model string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
	// PauseMs is the time until the model may be loaded again, in milliseconds.
	PauseMs int64 `cbor:"3,keyasint,omitempty"`
}

// RunnerView is what a runner holds and what is being loaded there.
type RunnerView struct {
	Runner  string        `cbor:"1,keyasint"`
	Ready   []UnitHeld    `cbor:"2,keyasint,omitempty"`
	Pending []PendingUnit `cbor:"3,keyasint,omitempty"`
	// Silent is set while the runner does not answer the holder.
	Silent bool `cbor:"4,keyasint,omitempty"`
	// Listed is sent to a node that knows only some runners and waits for a model on this one.
	Listed *ListedRunner `cbor:"5,keyasint,omitempty"`
}

// ListedRunner is the entry of a runner in the list of the platform as of
// SyncResponse.ListRevision.
type ListedRunner struct {
	// Born is the start time of its process in Unix milliseconds; zero if unknown.
	Born int64 `cbor:"1,keyasint,omitempty"`
	// Address is ip:port.
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	Region  string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"`
	// Build is the version of its software.
	Build backend.Build `cbor:"7,keyasint,omitempty"`
	// Revision is the revision of its row, Epoch the epoch of that.
	Revision uint64      `cbor:"6,keyasint,omitempty"`
	Epoch    table.Epoch `cbor:"8,keyasint,omitempty"`
}

// UnitHeld is a loaded model with its adapters.
type UnitHeld struct {
	Model    string   `cbor:"1,keyasint"`
	Adapters []string `cbor:"2,keyasint,omitempty"`
}

// PendingUnit is a unit being loaded.
type PendingUnit struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	// InMs is the time until the load is expected to complete, in milliseconds.
	InMs int64 `cbor:"3,keyasint"`
	// Homes are the homes of the requests that a planned load serves (place.Homes.Names).
	Homes []string `cbor:"4,keyasint,omitempty"`
	// Firm is set if a planned load cannot happen sooner because loads of the model are paused.
	Firm bool `cbor:"5,keyasint,omitempty"`
}
