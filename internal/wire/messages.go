package wire

import (
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/machines"
)

// Empty is a message without content.
type Empty struct{}

// Change is one object written or deleted by a log entry.
type Change struct {
	Object  api.Object `cbor:"1,keyasint" json:"object"`
	Deleted bool       `cbor:"2,keyasint,omitempty" json:"deleted,omitempty"`
}

// Entry is one committed revision of the configuration log.
type Entry struct {
	Revision  uint64    `cbor:"1,keyasint" json:"revision"`
	Operation string    `cbor:"2,keyasint" json:"operation"`
	Author    string    `cbor:"3,keyasint" json:"author"`
	Time      time.Time `cbor:"4,keyasint" json:"time"`
	Changes   []Change  `cbor:"5,keyasint" json:"changes"`
}

// Size is the size of an entry's objects in bytes.
func (e Entry) Size() int {
	size := 0
	for _, change := range e.Changes {
		size += len(change.Object.Spec) + len(change.Object.Name)
	}
	return size
}

// PullRequest asks a peer for the log entries after a revision.
type PullRequest struct {
	After uint64 `cbor:"1,keyasint"`
	Limit int    `cbor:"2,keyasint"`
}

// PullResponse carries entries in order. Snapshot is set when the entries asked
// for are no longer kept and the asker must read a snapshot.
type PullResponse struct {
	Head     uint64  `cbor:"1,keyasint"`
	Entries  []Entry `cbor:"2,keyasint"`
	Snapshot bool    `cbor:"3,keyasint"`
}

// SnapshotRequest asks for one page of objects after a key (kind/name).
type SnapshotRequest struct {
	After string `cbor:"1,keyasint"`
	Limit int    `cbor:"2,keyasint"`
}

// SnapshotResponse is one page of objects as of Revision or later.
type SnapshotResponse struct {
	Revision uint64       `cbor:"1,keyasint"`
	Objects  []api.Object `cbor:"2,keyasint"`
	More     bool         `cbor:"3,keyasint"`
}

// MemberState is a node's state as its peers see it.
type MemberState uint8

// The states of a member.
const (
	MemberAlive MemberState = iota
	MemberSuspect
	MemberLeaving
	MemberDead
)

// String returns the state's name.
func (s MemberState) String() string {
	return [...]string{"alive", "suspect", "leaving", "dead"}[s&3]
}

// Member describes one node. Update orders statements about one incarnation; the
// higher one wins.
type Member struct {
	Node        string      `cbor:"1,keyasint" json:"node"`
	Incarnation string      `cbor:"2,keyasint" json:"incarnation"`
	Address     string      `cbor:"3,keyasint" json:"address"`
	Zone        string      `cbor:"4,keyasint" json:"zone"`
	Region      string      `cbor:"5,keyasint" json:"region"`
	Started     int64       `cbor:"6,keyasint" json:"started"`
	Update      uint64      `cbor:"7,keyasint" json:"update"`
	State       MemberState `cbor:"8,keyasint" json:"state"`
}

// ProbeKind distinguishes the datagrams of the membership protocol.
type ProbeKind uint8

// The kinds of membership datagrams.
const (
	ProbePing ProbeKind = iota
	ProbeAck
	ProbeRequest // asks the receiver to ping Target for the sender
)

// Probe is the one datagram of the membership protocol. Updates has a bounded
// number of members whatever the size of the fleet.
type Probe struct {
	Kind     ProbeKind `cbor:"1,keyasint"`
	Sequence uint64    `cbor:"2,keyasint"`
	From     string    `cbor:"3,keyasint"`
	Target   string    `cbor:"4,keyasint,omitempty"`
	Revision uint64    `cbor:"5,keyasint"`
	Updates  []Member  `cbor:"6,keyasint,omitempty"`
	// Machines is the sender's version of the machine list.
	Machines uint64 `cbor:"7,keyasint,omitempty"`
	// Entries are the newest log entries, when they are small enough to come
	// along; the receiver need not ask for them.
	Entries []Entry `cbor:"8,keyasint,omitempty"`
}

// MembersRequest asks a peer for one page of its member list after a node name.
type MembersRequest struct {
	Self  Member `cbor:"1,keyasint"`
	After string `cbor:"2,keyasint"`
}

// MembersResponse is one page of members.
type MembersResponse struct {
	Members []Member `cbor:"1,keyasint"`
	More    bool     `cbor:"2,keyasint"`
}

// ReplicaState is the state of a unit on a runner.
type ReplicaState uint8

// The states of a replica.
const (
	ReplicaSleeping ReplicaState = iota
	ReplicaLoading
	ReplicaReady
	ReplicaUnloading
	ReplicaDraining
	ReplicaUnreachable
)

// String returns the state's name.
func (s ReplicaState) String() string {
	return [...]string{"sleeping", "loading", "ready", "unloading", "draining", "unreachable"}[min(int(s), 5)]
}

// Tier is where a checkpoint is found, nearest first.
type Tier uint8

// The tiers of checkpoint locality.
const (
	TierMemory Tier = iota
	TierDisk
	TierRemote
)

// Replica describes one granted replica as its runner's owner sees it.
type Replica struct {
	Unit        string       `cbor:"1,keyasint" json:"unit"`
	Runner      string       `cbor:"2,keyasint" json:"runner"`
	Incarnation string       `cbor:"3,keyasint" json:"incarnation"`
	Address     string       `cbor:"4,keyasint" json:"address"`
	Zone        string       `cbor:"5,keyasint" json:"zone"`
	State       ReplicaState `cbor:"6,keyasint" json:"state"`
	Version     string       `cbor:"7,keyasint" json:"version"`
	Tier        Tier         `cbor:"8,keyasint" json:"tier"`
	Active      int          `cbor:"9,keyasint" json:"active"`
	Slots       int          `cbor:"10,keyasint" json:"slots"`
	FreeMiB     int64        `cbor:"11,keyasint" json:"freeMiB"`
	ReadyIn     int64        `cbor:"12,keyasint" json:"readyInMilliseconds"`
	Owner       string       `cbor:"13,keyasint" json:"owner"`
	IdleSince   int64        `cbor:"14,keyasint" json:"idleSince"`
	Region      string       `cbor:"15,keyasint" json:"region"`
}

// DemandReport tells a unit's coordinator what waits at a node. Waiting counts
// requests per class; Deadline is the oldest deadline in milliseconds from now.
type DemandReport struct {
	Unit     string              `cbor:"1,keyasint"`
	Node     string              `cbor:"2,keyasint"`
	Address  string              `cbor:"3,keyasint"`
	Waiting  [api.ClassCount]int `cbor:"4,keyasint"`
	Active   int                 `cbor:"5,keyasint"`
	Deadline int64               `cbor:"6,keyasint"`
	Revision uint64              `cbor:"7,keyasint"`
	// Doubted are runners that refused a request though they were shown as
	// ready, at most MaximumStatus.
	Doubted []string `cbor:"8,keyasint,omitempty"`
}

// UnitStatus answers a DemandReport, and is pushed to the nodes that reported
// demand when a replica changes state. Replicas is bounded by MaximumStatus.
type UnitStatus struct {
	Unit     string    `cbor:"1,keyasint"`
	Replicas []Replica `cbor:"2,keyasint"`
	Reason   string    `cbor:"3,keyasint"`
	Revision uint64    `cbor:"4,keyasint"`
}

// MaximumStatus bounds the replicas named in one UnitStatus.
const MaximumStatus = 16

// WakeRequest asks a runner's owner for the state of a unit on it, and to load
// the unit when Load is set.
type WakeRequest struct {
	Unit     string `cbor:"1,keyasint"`
	Runner   string `cbor:"2,keyasint"`
	Load     bool   `cbor:"3,keyasint"`
	Revision uint64 `cbor:"4,keyasint"`
	// Coordinator is the address that wants to hear of changes.
	Coordinator string `cbor:"5,keyasint"`
	// Class is the most pressing class that waits for the unit.
	Class uint8 `cbor:"7,keyasint"`
	// KeepMilliseconds protects the replica from sleeping for a while.
	KeepMilliseconds int64 `cbor:"6,keyasint"`
}

// WakeResponse is the owner's view of the replica.
type WakeResponse struct {
	Replica Replica `cbor:"1,keyasint"`
}

// ReplicaReport tells a coordinator that a replica changed state.
type ReplicaReport struct {
	Replica Replica `cbor:"1,keyasint"`
}

// ClaimRequest is one phase of agreeing on the attempt that may run a key.
type ClaimRequest struct {
	Shard      uint32 `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
	Key        string `cbor:"3,keyasint"`
	Round      uint32 `cbor:"4,keyasint"`
	Ballot     Ballot `cbor:"5,keyasint"`
	Attempt    string `cbor:"6,keyasint,omitempty"`
}

// Ballot orders proposals; Node breaks ties.
type Ballot struct {
	Number uint64 `cbor:"1,keyasint"`
	Node   string `cbor:"2,keyasint"`
}

// Less reports whether b is ordered before other.
func (b Ballot) Less(other Ballot) bool {
	if b.Number != other.Number {
		return b.Number < other.Number
	}
	return b.Node < other.Node
}

// ClaimOutcome is what the holder of a claim reported about its attempt.
type ClaimOutcome uint8

// The outcomes of a claimed attempt.
const (
	ClaimOpen ClaimOutcome = iota
	ClaimNotRun
	ClaimRan
)

// ClaimResponse answers a prepare or accept. Accepted and Attempt are the
// highest proposal the member accepted, Promised the highest ballot it promised.
type ClaimResponse struct {
	Granted  bool         `cbor:"1,keyasint"`
	Promised Ballot       `cbor:"2,keyasint"`
	Accepted Ballot       `cbor:"3,keyasint"`
	Attempt  string       `cbor:"4,keyasint"`
	Outcome  ClaimOutcome `cbor:"5,keyasint"`
}

// ClaimReport records the outcome of a claimed attempt with the members.
type ClaimReport struct {
	Shard      uint32       `cbor:"1,keyasint"`
	Generation uint64       `cbor:"2,keyasint"`
	Key        string       `cbor:"3,keyasint"`
	Round      uint32       `cbor:"4,keyasint"`
	Attempt    string       `cbor:"5,keyasint"`
	Outcome    ClaimOutcome `cbor:"6,keyasint"`
}

// ClaimRecord is the state of one key and round at one member.
type ClaimRecord struct {
	Key      string       `cbor:"1,keyasint"`
	Round    uint32       `cbor:"2,keyasint"`
	Promised Ballot       `cbor:"3,keyasint"`
	Accepted Ballot       `cbor:"4,keyasint"`
	Attempt  string       `cbor:"5,keyasint"`
	Outcome  ClaimOutcome `cbor:"6,keyasint"`
	Age      int64        `cbor:"7,keyasint"`
}

// SealRequest stops a shard's generation at a member and asks for its records.
type SealRequest struct {
	Shard      uint32 `cbor:"1,keyasint"`
	Generation uint64 `cbor:"2,keyasint"`
}

// SealResponse carries all records of the sealed shard.
type SealResponse struct {
	Records []ClaimRecord `cbor:"1,keyasint"`
}

// InstallRequest stages a shard's records at a future member.
type InstallRequest struct {
	Shard   uint32        `cbor:"1,keyasint"`
	Staging string        `cbor:"2,keyasint"`
	Records []ClaimRecord `cbor:"3,keyasint"`
}

// ExplainRequest asks a node for the decisions it logged about a subject.
type ExplainRequest struct {
	Subject string `cbor:"1,keyasint"`
	Limit   int    `cbor:"2,keyasint"`
}

// Decision is one entry of a node's decision log.
type Decision struct {
	Time     time.Time `cbor:"1,keyasint" json:"time"`
	Node     string    `cbor:"2,keyasint" json:"node"`
	Subject  string    `cbor:"3,keyasint" json:"subject"`
	Step     string    `cbor:"4,keyasint" json:"step"`
	Reason   string    `cbor:"5,keyasint" json:"reason"`
	Revision uint64    `cbor:"6,keyasint" json:"revision"`
}

// ExplainResponse carries the newest decisions first.
type ExplainResponse struct {
	Decisions []Decision `cbor:"1,keyasint"`
}

// RunnersRequest asks a node for the runners it owns.
type RunnersRequest struct {
	Runner string `cbor:"1,keyasint"`
}

// RunnerStatus is an owner's view of one runner.
type RunnerStatus struct {
	Runner      string    `cbor:"1,keyasint" json:"runner"`
	Incarnation string    `cbor:"2,keyasint" json:"incarnation"`
	Address     string    `cbor:"3,keyasint" json:"address"`
	Zone        string    `cbor:"4,keyasint" json:"zone"`
	Owner       string    `cbor:"5,keyasint" json:"owner"`
	Epoch       uint64    `cbor:"6,keyasint" json:"epoch"`
	State       string    `cbor:"7,keyasint" json:"state"`
	MemoryMiB   int64     `cbor:"8,keyasint" json:"memoryMiB"`
	ReservedMiB int64     `cbor:"9,keyasint" json:"reservedMiB"`
	Replicas    []Replica `cbor:"10,keyasint" json:"replicas"`
	Region      string    `cbor:"11,keyasint" json:"region"`
}

// RunnersResponse lists runners.
type RunnersResponse struct {
	Runners []RunnerStatus `cbor:"1,keyasint"`
}

// MachinesRequest asks a node of the same zone for the machine list's changes
// after a version.
type MachinesRequest struct {
	Since uint64 `cbor:"1,keyasint"`
}

// MachinesResponse carries the changes.
type MachinesResponse struct {
	Changes machines.Changes `cbor:"1,keyasint"`
}

// PermitRequest asks for, or gives back, the permit for a load from the region's
// weight store.
type PermitRequest struct {
	Holder string `cbor:"1,keyasint"`
	Class  uint8  `cbor:"2,keyasint"`
}

// PermitResponse tells when to ask again; zero means that the permit is held.
type PermitResponse struct {
	WaitMilliseconds int64 `cbor:"1,keyasint"`
}

// CommitRequest asks the fleet's committer to commit an operation.
type CommitRequest struct {
	ID       string         `cbor:"1,keyasint"`
	Author   string         `cbor:"2,keyasint"`
	Changes  []CommitChange `cbor:"3,keyasint"`
	Requires []CommitChange `cbor:"4,keyasint,omitempty"`
}

// CommitChange is one object written, deleted or, in Requires, only compared.
type CommitChange struct {
	Kind     api.Kind `cbor:"1,keyasint"`
	Name     string   `cbor:"2,keyasint"`
	Expected uint64   `cbor:"3,keyasint"`
	Spec     []byte   `cbor:"4,keyasint,omitempty"`
	Delete   bool     `cbor:"5,keyasint,omitempty"`
}

// CommitResponse tells the revision, with the entry if this call wrote it.
type CommitResponse struct {
	Revision uint64 `cbor:"1,keyasint"`
	Entry    *Entry `cbor:"2,keyasint,omitempty"`
}
