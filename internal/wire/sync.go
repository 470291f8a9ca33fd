package wire

import "lilacvane/internal/limit"

// MethodSync is the call by which a node tells the holder of a service's control
// lease what its requests need, and learns what the runners hold.
const MethodSync = "control/sync"

// SyncRequest is a node's demand.
type SyncRequest struct {
	Service string `cbor:"1,keyasint"`
	Node    string `cbor:"2,keyasint"`
	// Zone and Address (ip:port for peers) tell where the node is.
	Zone    string `cbor:"10,keyasint,omitempty"`
	Address string `cbor:"11,keyasint,omitempty"`
	// Region is the node's; empty when it is not known.
	Region string `cbor:"16,keyasint,omitempty"`
	// Token and Version name the newest account the node has; the answer holds
	// what changed since.
	Token   uint64 `cbor:"3,keyasint"`
	Version uint64 `cbor:"4,keyasint"`
	// HoldMs is how long the answer may wait for a change, in milliseconds.
	HoldMs  int64         `cbor:"5,keyasint"`
	Waiting []UnitWaiting `cbor:"6,keyasint,omitempty"`
	Usage   []UnitUsage   `cbor:"7,keyasint,omitempty"`
	Running []RunnerUsage `cbor:"8,keyasint,omitempty"`
	// Report is set when Waiting and Running are the whole of the node's demand.
	Report bool `cbor:"9,keyasint,omitempty"`
	// Suspects are runners that left a request of the node without an answer.
	Suspects []string `cbor:"12,keyasint,omitempty"`
	// Spare is the part, 0 to 1, that the node's machine has of what a holder should
	// have (settings.Capacity).
	Spare float64 `cbor:"13,keyasint,omitempty"`
	// Limits is told with reports to the holder that divides limits.
	Limits *LimitReport `cbor:"14,keyasint,omitempty"`
	// Permits are wanted for requests that only runners could serve that are cold, or named a limit.
	Permits []PermitsWanted `cbor:"15,keyasint,omitempty"`
	// Poison is told to the holder that counts the ends of runners under requests.
	Poison *PoisonReport `cbor:"17,keyasint,omitempty"`
	// Partial is set while the node knows only some of the runners.
	Partial bool `cbor:"19,keyasint,omitempty"`
	// Leaving are runners that said in answers that they leave, which the platform's list does
	// not tell yet.
	Leaving []RunnerLeaving `cbor:"18,keyasint,omitempty"`
	// Limited are runners that named limits in answers.
	Limited []RunnerLimit `cbor:"20,keyasint,omitempty"`
}

// RunnerLimit is the limit that a runner named in an answer.
type RunnerLimit struct {
	// Runner identifies the incarnation.
	Runner string `cbor:"1,keyasint"`
	// Rate is how many requests a second it takes from all nodes together.
	Rate float64 `cbor:"2,keyasint"`
	// AgeMs is how long ago it said so last, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
}

// RunnerLeaving is a runner that said in an answer that it leaves.
type RunnerLeaving struct {
	// Runner identifies the incarnation.
	Runner string `cbor:"1,keyasint"`
	// AgeMs is how long ago it said so last, in milliseconds.
	AgeMs int64 `cbor:"2,keyasint,omitempty"`
}

// PermitsWanted is how many permits a node wants for a runner that is cold, or named a limit.
type PermitsWanted struct {
	Runner string `cbor:"1,keyasint"`
	Count  int    `cbor:"2,keyasint"`
	// Rate is the limit that the runner named, in requests a second; zero for none.
	Rate float64 `cbor:"3,keyasint,omitempty"`
}

// PermitsLent is how many permits the holder lends for such a runner. They may be spent
// within a set time (coldstart.Validity) after the node sent its question.
type PermitsLent struct {
	Runner string `cbor:"1,keyasint"`
	Count  int    `cbor:"2,keyasint,omitempty"`
	// NextMs is the time until it can lend another one, in milliseconds.
	NextMs int64 `cbor:"3,keyasint,omitempty"`
}

// UnitWaiting is what waits for a unit at the node.
type UnitWaiting struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	Count   int    `cbor:"3,keyasint"`
	// LeftMs is the time until the first of them is given up, in milliseconds.
	LeftMs   int64 `cbor:"4,keyasint"`
	Priority int   `cbor:"5,keyasint"`
	// Homes are the regions in which alone they may be served (place.Homes.Names).
	Homes []string `cbor:"6,keyasint,omitempty"`
}

// UnitUsage is how often a unit was asked for since the node's last report.
type UnitUsage struct {
	Model    string `cbor:"1,keyasint"`
	Adapter  string `cbor:"2,keyasint,omitempty"`
	Requests int    `cbor:"3,keyasint"`
	// Tokens is the size of their prompts.
	Tokens int `cbor:"4,keyasint"`
	// Homes are the regions in which alone they may be served (place.Homes.Names).
	Homes []string `cbor:"5,keyasint,omitempty"`
}

// RunnerUsage is the node's requests under way at a runner, by model.
type RunnerUsage struct {
	Runner string         `cbor:"1,keyasint"`
	Models map[string]int `cbor:"2,keyasint"`
	// Adapters counts those for adapters apart, by model/adapter.
	Adapters map[string]int `cbor:"3,keyasint,omitempty"`
}

// SyncResponse is the holder's account of the runners.
type SyncResponse struct {
	Token   uint64       `cbor:"1,keyasint"`
	Version uint64       `cbor:"2,keyasint"`
	Runners []RunnerView `cbor:"4,keyasint,omitempty"`
	// ListRevision is the revision of the platform's list up to which the holder has taken all
	// changes; see RunnerView.Listed.
	ListRevision uint64 `cbor:"19,keyasint,omitempty"`
	// Planned are the models that the node waits for and that nothing loads yet,
	// with the time until they are expected.
	Planned []UnitComing `cbor:"9,keyasint,omitempty"`
	// Nodes is how many nodes reported lately.
	Nodes int `cbor:"5,keyasint"`
	// BestSpare is the largest Spare among the nodes that reported lately, the holder
	// left out.
	BestSpare float64 `cbor:"14,keyasint,omitempty"`
	// Standbys are addresses of the nodes that turn to the store first when a holder is
	// lost; told in answer to reports.
	Standbys []string `cbor:"15,keyasint,omitempty"`
	// LeaseRenewal, LeaseYielded and LeaseQuietMs are the holder's word of its lease
	// (lease.Word), of the lease Token.
	LeaseRenewal uint64 `cbor:"10,keyasint,omitempty"`
	LeaseYielded bool   `cbor:"11,keyasint,omitempty"`
	LeaseQuietMs int64  `cbor:"12,keyasint,omitempty"`
	// ActsInMs is the time until the holder gives orders, in milliseconds: while it
	// waits out the turn gap.
	ActsInMs int64 `cbor:"13,keyasint,omitempty"`
	// Valid is set while the holder's last renewal of the lease is valid.
	Valid bool `cbor:"6,keyasint,omitempty"`
	// StoreLimit and StoreCapacity are what the holder has learned of the weight
	// store (weightstore.Estimate), for the next holder to go on from.
	StoreLimit    int     `cbor:"7,keyasint,omitempty"`
	StoreCapacity float64 `cbor:"8,keyasint,omitempty"`
	// LoadEnds are the runners that ended as they loaded models, for the next holder to go on
	// from; told in answer to reports.
	LoadEnds []LoadEnds `cbor:"21,keyasint,omitempty"`
	// Limits answers the request's.
	Limits *limit.Grant `cbor:"16,keyasint,omitempty"`
	// Permits answer those wanted.
	Permits []PermitsLent `cbor:"17,keyasint,omitempty"`
	// Leaving and Limited are those that the holder knows of, from its own answers and other nodes.
	Leaving []RunnerLeaving `cbor:"18,keyasint,omitempty"`
	Limited []RunnerLimit   `cbor:"20,keyasint,omitempty"`
}

// LoadEnds is how many runners ended, one after the other, as they loaded a model.
type LoadEnds struct {
	Model string `cbor:"1,keyasint"`
	Count int    `cbor:"2,keyasint"`
	// PauseMs is the time until the model may be loaded again, in milliseconds.
	PauseMs int64 `cbor:"3,keyasint,omitempty"`
}

// RunnerView is what a runner holds and what is being loaded there.
type RunnerView struct {
	Runner string       `cbor:"1,keyasint"`
	Ready  []UnitHeld   `cbor:"2,keyasint,omitempty"`
	Coming []UnitComing `cbor:"3,keyasint,omitempty"`
	// Silent is set while the runner does not answer the holder.
	Silent bool `cbor:"4,keyasint,omitempty"`
	// Listed is told to a node that knows only some runners and waits for a model here.
	Listed *ListedRunner `cbor:"5,keyasint,omitempty"`
}

// ListedRunner is what the platform lists of a runner, as of SyncResponse.ListRevision.
type ListedRunner struct {
	// Born is the start of its process in Unix milliseconds; zero when it did not tell.
	Born int64 `cbor:"1,keyasint,omitempty"`
	// Address is ip:port.
	Address string `cbor:"2,keyasint"`
	Zone    string `cbor:"3,keyasint,omitempty"`
	Region  string `cbor:"4,keyasint,omitempty"`
	Slots   int    `cbor:"5,keyasint,omitempty"`
	// Revision is that of its row.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
}

// UnitHeld is a loaded model with its adapters.
type UnitHeld struct {
	Model    string   `cbor:"1,keyasint"`
	Adapters []string `cbor:"2,keyasint,omitempty"`
}

// UnitComing is a unit being loaded.
type UnitComing struct {
	Model   string `cbor:"1,keyasint"`
	Adapter string `cbor:"2,keyasint,omitempty"`
	// InMs is the time until it is expected to be loaded, in milliseconds.
	InMs int64 `cbor:"3,keyasint"`
	// Homes are those of the requests that a planned load is for (place.Homes.Names).
	Homes []string `cbor:"4,keyasint,omitempty"`
	// Firm is set where a planned load cannot be sooner, as the model's loads rest.
	Firm bool `cbor:"5,keyasint,omitempty"`
}
