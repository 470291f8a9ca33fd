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

// Size returns the size of the objects of an entry in bytes.
func (e Entry) Size() int {
	size := 0
	for _, change := range e.Changes {
		size += len(change.Object.Spec) + len(change.Object.Name)
	}
	return size
}

// MethodExplain asks a node for the decisions it has logged about a subject.
const MethodExplain = "explain"

// ExplainRequest is the request of MethodExplain.
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
	// Obstacles are the reasons why no runner could take a request, for decisions about a request
	// that waited.
	Obstacles []Obstacle `cbor:"7,keyasint,omitempty" json:"obstacles,omitempty"`
}

// Obstacle is the number of runners that could not take a request for one reason.
type Obstacle struct {
	Reason  string `cbor:"1,keyasint" json:"reason"`
	Runners int    `cbor:"2,keyasint" json:"runners"`
	// Holding is how many of the runners are believed to have the model or adapter of the request
	// loaded; all of them if it names none.
	Holding int `cbor:"3,keyasint" json:"holding"`
	// AgeMs is the longest time since the node last received data about one of these runners, in
	// milliseconds.
	AgeMs int64 `cbor:"4,keyasint" json:"ageMs"`
}

// ExplainResponse carries the newest decisions first.
type ExplainResponse struct {
	Decisions []Decision `cbor:"1,keyasint"`
}

// MethodFleet asks the holder of a service's lease for its runners and for the nodes that reported
// to it recently.
const MethodFleet = "control/fleet"

// FleetRequest names the service.
type FleetRequest struct {
	Service string `cbor:"1,keyasint"`
}

// FleetResponse is the state of the service as known to the holder.
type FleetResponse struct {
	Members []Member       `cbor:"1,keyasint,omitempty"`
	Runners []RunnerStatus `cbor:"2,keyasint,omitempty"`
	Store   *StoreStatus   `cbor:"3,keyasint,omitempty"`
}

// StoreStatus is what the lease holder of a service knows about the weight store.
type StoreStatus struct {
	Service string `cbor:"1,keyasint" json:"service"`
	// Limit is the maximum number of concurrent loads. Capacity is the number of loads that the
	// store serves at full speed; zero until a load was slowed.
	Limit    int     `cbor:"2,keyasint" json:"limit"`
	Capacity float64 `cbor:"3,keyasint" json:"capacity"`
	// UnderWay is the number of loads in progress. Planned is the number of models that requests
	// wait for and that are not being loaded yet.
	UnderWay int `cbor:"4,keyasint" json:"underWay"`
	Planned  int `cbor:"5,keyasint" json:"planned"`
}

// Member is a node that reported to a lease holder recently.
type Member struct {
	Node string `cbor:"1,keyasint" json:"node"`
	Zone string `cbor:"2,keyasint" json:"zone"`
	// Region is empty when it is not known.
	Region string `cbor:"5,keyasint,omitempty" json:"region,omitempty"`
	// Address is the ip:port for its peers.
	Address string `cbor:"3,keyasint" json:"address"`
	// Holds lists the services whose lease it holds.
	Holds []string `cbor:"4,keyasint,omitempty" json:"holds,omitempty"`
}

// RunnerStatus is the state of a runner as known to the lease holder of its service.
type RunnerStatus struct {
	Runner  string `cbor:"1,keyasint" json:"runner"`
	Service string `cbor:"2,keyasint" json:"service"`
	Zone    string `cbor:"3,keyasint" json:"zone"`
	Address string `cbor:"4,keyasint" json:"address"`
	// State is ready, draining, zone_out, resting (it accepts nothing from the holder for a while),
	// silent or unknown (it has not reported yet).
	State string `cbor:"5,keyasint" json:"state"`
	// Running is the number of requests that nodes have in progress there.
	Running int `cbor:"6,keyasint" json:"running"`
	// FreeMB is the memory, in MB, that is not in use and that no outstanding order may use.
	FreeMB   float64         `cbor:"7,keyasint" json:"freeMB"`
	Sequence uint64          `cbor:"8,keyasint" json:"sequence"`
	Units    []ReplicaStatus `cbor:"9,keyasint,omitempty" json:"units"`
	// ColdMs is how much longer it stays cold according to the node that was asked, in milliseconds;
	// zero if it is not cold.
	ColdMs int64 `cbor:"10,keyasint,omitempty" json:"coldMs,omitempty"`
	// RestMs is how much longer it accepts nothing from the node that was asked, in milliseconds; zero
	// if it does not rest.
	RestMs int64 `cbor:"11,keyasint,omitempty" json:"restMs,omitempty"`
}

// ReplicaStatus is the state of one unit on a runner: ready, loading, unloading or uncertain.
type ReplicaStatus struct {
	Unit  string `cbor:"1,keyasint" json:"unit"`
	State string `cbor:"2,keyasint" json:"state"`
}
