package wire

import (
	"time"

	"lilacvane/internal/api"
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

// MethodExplain asks a node for the decisions it remembers about a subject.
const MethodExplain = "explain"

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
	// Obstacles are why no runner could take a request, where it is about one that waited.
	Obstacles []Obstacle `cbor:"7,keyasint,omitempty" json:"obstacles,omitempty"`
}

// Obstacle tells how many runners could not take a request for one reason.
type Obstacle struct {
	Reason  string `cbor:"1,keyasint" json:"reason"`
	Runners int    `cbor:"2,keyasint" json:"runners"`
	// Holding is how many of the runners held what the request names.
	Holding int `cbor:"3,keyasint" json:"holding"`
	// AgeMs is how long the node had not heard of the runner that it heard of longest ago.
	AgeMs int64 `cbor:"4,keyasint" json:"ageMs"`
}

// ExplainResponse carries the newest decisions first.
type ExplainResponse struct {
	Decisions []Decision `cbor:"1,keyasint"`
}

// MethodFleet asks the holder of a service's lease for its runners and for the
// nodes that reported to it lately.
const MethodFleet = "control/fleet"

// FleetRequest names the service.
type FleetRequest struct {
	Service string `cbor:"1,keyasint"`
}

// FleetResponse is the holder's account.
type FleetResponse struct {
	Members []Member       `cbor:"1,keyasint,omitempty"`
	Runners []RunnerStatus `cbor:"2,keyasint,omitempty"`
	Store   *StoreStatus   `cbor:"3,keyasint,omitempty"`
}

// StoreStatus is what a service's lease holder knows of the weight store.
type StoreStatus struct {
	Service string `cbor:"1,keyasint" json:"service"`
	// Limit is how many loads may be under way at once, Capacity how many the store
	// carries at full speed; zero while no load was slowed.
	Limit    int     `cbor:"2,keyasint" json:"limit"`
	Capacity float64 `cbor:"3,keyasint" json:"capacity"`
	// UnderWay is how many loads there are, Planned how many models are waited for
	// that nothing loads yet.
	UnderWay int `cbor:"4,keyasint" json:"underWay"`
	Planned  int `cbor:"5,keyasint" json:"planned"`
}

// Member is a node that reported to a lease holder lately.
type Member struct {
	Node string `cbor:"1,keyasint" json:"node"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Region is empty when it is not known.
	Region string `cbor:"5,keyasint,omitempty" json:"region,omitempty"`
	// Address is its peers' ip:port.
	Address string `cbor:"3,keyasint" json:"address"`
	// Holds lists the services whose lease it holds.
	Holds []string `cbor:"4,keyasint,omitempty" json:"holds,omitempty"`
}

// RunnerStatus is a runner as the lease holder of its service accounts it.
type RunnerStatus struct {
	Runner  string `cbor:"1,keyasint" json:"runner"`
	Service string `cbor:"2,keyasint" json:"service"`
	Zone    string `cbor:"3,keyasint" json:"zone"`
	Address string `cbor:"4,keyasint" json:"address"`
	// State is ready, draining, zone_out, resting (it wants nothing from the holder for a while),
	// silent or unknown (it has not reported yet).
	State string `cbor:"5,keyasint" json:"state"`
	// Running is the requests that nodes have under way there.
	Running int `cbor:"6,keyasint" json:"running"`
	// FreeMB is the memory that neither is taken nor may become taken.
	FreeMB   float64         `cbor:"7,keyasint" json:"freeMB"`
	Sequence uint64          `cbor:"8,keyasint" json:"sequence"`
	Units    []ReplicaStatus `cbor:"9,keyasint,omitempty" json:"units"`
	// ColdMs is how much longer it stays cold, as the node that was asked knows; zero when
	// it is not.
	ColdMs int64 `cbor:"10,keyasint,omitempty" json:"coldMs,omitempty"`
	// RestMs is how much longer it wants nothing from the node that was asked; zero when it
	// does not rest.
	RestMs int64 `cbor:"11,keyasint,omitempty" json:"restMs,omitempty"`
}

// ReplicaStatus is one unit on a runner: ready, loading, unloading or uncertain.
type ReplicaStatus struct {
	Unit  string `cbor:"1,keyasint" json:"unit"`
	State string `cbor:"2,keyasint" json:"state"`
}
