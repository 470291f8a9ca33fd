// Package backend defines the interface to the runners: what they report about themselves, and
// the orders they accept. Runners do no fencing by themselves; an order carries the sequence
// number that its author expects, and the runner refuses any other.
package backend

import (
	"context"
	"strconv"
	"strings"
	"time"

	"lilacvane/internal/table"
)

// Runner is one incarnation of a runner as the platform lists it.
type Runner struct {
	// ID is unique for each incarnation; see IncarnationID.
	ID      string
	Service string
	// Born is the start time of the runner's process in Unix milliseconds; zero if not
	// reported. A runner that restarts may keep its name and then holds nothing.
	Born int64
	// Address is ip:port. It may later be assigned to another runner.
	Address string
	Zone    string
	// Region is the region of the zone; empty if not known.
	Region string
	// Slots is the number of requests it runs at once.
	Slots int
	// Build is the version of its software; empty if not reported.
	Build Build
	// Draining is set if the platform is removing the runner: nothing new is sent there.
	Draining bool
	// ColdFor is how much longer the runner reported to stay cold; until then it handles only
	// few requests a second.
	ColdFor time.Duration
	// Models is what the runner held when it last reported to the platform.
	Models []Holding
	// Copies lists the weights that the runner keeps in host memory and on disk.
	Copies Copies
	// Sequence is the number of orders it had accepted by then.
	Sequence uint64
	// Revision is the revision of the runner's row in the platform's list; zero if not known.
	Revision table.Revision
	// Missing is set if the platform dropped the runner without reporting that it left, at a
	// time when absence from the list does not prove that it did.
	Missing bool
}

// Build is a version of the runners' software, not of a model's weights. Builds are equal or not and
// have no order. What two of them write does not fit together.
type Build string

// IncarnationSeparator separates a runner's name from its start time in the identifier.
const IncarnationSeparator = "@"

// IncarnationID returns the identifier of one incarnation of a runner: its name on the
// platform, followed by its start time if it reported one. Everything known about a runner is
// stored under this identifier, so that nothing of an earlier incarnation applies to a later
// one.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + IncarnationSeparator + strconv.FormatInt(born, 10)
}

// Name returns the runner's name on the platform, which several incarnations may share.
func (r Runner) Name() string {
	if r.Born == 0 {
		return r.ID
	}
	return strings.TrimSuffix(r.ID, IncarnationSeparator+strconv.FormatInt(r.Born, 10))
}

// SupersededBy reports whether a runner of the same name that reports this start time is a
// later incarnation.
func (r Runner) SupersededBy(born int64) bool { return r.Born != 0 && born > r.Born }

// Holding is a loaded model with its loaded adapters.
type Holding struct {
	Model    string
	Adapters []string
}

// Copies lists the models whose weights are kept in host memory and on disk.
type Copies struct {
	Host []string
	Disk []string
}

// Report is a runner's report about itself. It lags by some hundred milliseconds.
type Report struct {
	Models []Holding
	// Pending lists the adapters being loaded.
	Pending []Unit
	Copies  Copies
	// Busy is set while a model is being loaded or unloaded.
	Busy bool
	// Sequence is the number of orders it has accepted.
	Sequence uint64
	// Queued and Active count the requests that wait and that run there.
	Queued int
	Active int
	// Slowness is as in Workload; zero if not reported.
	Slowness float64
	// CacheUsed and CacheTotal are the used and the total size of its KV cache in tokens.
	CacheUsed  int
	CacheTotal int
}

// Unit is a model, or an adapter of a model.
type Unit struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter string
}

// String returns the model's name, or model/adapter.
func (u Unit) String() string {
	if u.Adapter == "" {
		return u.Model
	}
	return u.Model + "/" + u.Adapter
}

// Action is what an order does.
type Action string

// The actions.
const (
	Load   Action = "load"
	Unload Action = "unload"
)

// Order loads or unloads a unit.
type Order struct {
	Action Action
	Unit   Unit
	// Expected is the only sequence number at which the runner may accept the order.
	Expected uint64
	// Owner and Token identify the lease under which the order is given.
	Owner string
	Token uint64
}

// Verdict is a runner's answer to an order.
type Verdict uint8

// The verdicts.
const (
	// Lost means that no usable answer arrived: the order may still be carried out, as long as
	// the runner's sequence number is the expected one.
	Lost Verdict = iota
	// Accepted means that the runner carries out the order.
	Accepted
	// AlreadyHeld means that nothing is left to do, as the runner is in the requested state.
	AlreadyHeld
	// Conflict means that the runner cannot take the order in its present state, for example
	// because its sequence number is not the expected one or because it is busy.
	Conflict
	// Refused means that the runner does not take the order for another reason, for example
	// because it is not the one that the order is for.
	Refused
	// NotSent means that no byte of the order left this process.
	NotSent
)

// String returns the name of the verdict.
func (v Verdict) String() string {
	return [...]string{"lost", "accepted", "already_held", "conflict", "refused", "not_sent"}[v]
}

// Control sends orders to runners and reads their reports.
type Control interface {
	// Order sends an order. The error explains every verdict except Accepted and AlreadyHeld.
	Order(ctx context.Context, runner Runner, order Order) (Verdict, error)
	// Report reads a runner's report. It fails with fault.CodeNotFound if the address belongs
	// to another runner or to a later incarnation of this one.
	Report(ctx context.Context, runner Runner) (Report, error)
}

// ReportLag is how far a report may lag behind the runner's state.
const ReportLag = 150 * time.Millisecond
