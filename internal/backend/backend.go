// Package backend is the seam to the runners: what they tell of themselves, and
// the orders they take. Runners themselves fence nothing; an order carries the
// sequence number its author expects, and the runner refuses any other.
package backend

import (
	"context"
	"strconv"
	"strings"
	"time"
)

// Runner is one incarnation of a runner as the platform lists it.
type Runner struct {
	// ID is unique for each incarnation; see IncarnationID.
	ID      string
	Service string
	// Born is the start of the runner's process, in Unix milliseconds; zero when it did not
	// tell. One that starts again may keep its name, and holds nothing then.
	Born int64
	// Address is ip:port. It may be given to another runner later.
	Address string
	Zone    string
	// Region is where the zone lies; empty when it is not known.
	Region string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining is set when the platform takes it away: nothing new goes there.
	Draining bool
	// ColdFor is how much longer the runner said it stays cold: it bears only few
	// requests a second until then.
	ColdFor time.Duration
	// Models is what the runner held when it last told the platform.
	Models []Holding
	// Copies are the weights the runner keeps near.
	Copies Copies
	// Sequence is the number of orders it had taken by then.
	Sequence uint64
	// Revision is that of the row; zero where it is not known.
	Revision uint64
	// Missing is set when the platform dropped the runner without saying that
	// it left, in a time when the platform's word is not proof.
	Missing bool
}

// incarnationMark stands between a runner's name and its start in its identifier.
const incarnationMark = "@"

// IncarnationID identifies one incarnation of a runner: its name on the platform, and its start where it
// told that. All that is known of a runner is kept by it, so that nothing of an earlier incarnation
// counts for a later one.
func IncarnationID(name string, born int64) string {
	if born == 0 {
		return name
	}
	return name + incarnationMark + strconv.FormatInt(born, 10)
}

// Name is the runner's name on the platform, which several incarnations may have.
func (r Runner) Name() string {
	if r.Born == 0 {
		return r.ID
	}
	return strings.TrimSuffix(r.ID, incarnationMark+strconv.FormatInt(r.Born, 10))
}

// EndedBy reports whether a runner of this name that tells this start is a later incarnation.
func (r Runner) EndedBy(born int64) bool { return r.Born != 0 && born > r.Born }

// Holding is a loaded model with its loaded adapters.
type Holding struct {
	Model    string
	Adapters []string
}

// Copies lists weights kept in host memory and on disk.
type Copies struct {
	Host []string
	Disk []string
}

// Report is a runner's account of itself. It lags by some hundred milliseconds.
type Report struct {
	Models []Holding
	// Pending are adapters on their way.
	Pending []Unit
	Copies  Copies
	// Busy is set while a model is loaded or unloaded.
	Busy bool
	// Sequence is the number of orders it has taken.
	Sequence uint64
	// Queued and Active are requests that wait and that run there.
	Queued int
	Active int
	// Slowness is that of Workload; zero where it was not told.
	Slowness float64
	// CacheUsed and CacheTotal are tokens.
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
	// Expected is the sequence number at which the runner may accept the order.
	Expected uint64
	// Owner and Token name the lease under which the order is given.
	Owner string
	Token uint64
}

// Verdict is a runner's answer to an order.
type Verdict uint8

// The verdicts. Lost means that no answer came: the order may be carried out
// later, as long as the runner's sequence number is still the expected one.
const (
	Lost Verdict = iota
	Accepted
	AlreadyHeld
	Conflict
	Refused
	// NotSent means that no byte of the order left this process.
	NotSent
)

// String names the verdict.
func (v Verdict) String() string {
	return [...]string{"lost", "accepted", "already_held", "conflict", "refused", "not_sent"}[v]
}

// Control gives orders to runners and reads their reports.
type Control interface {
	// Order gives an order. The error explains every verdict but Accepted and
	// AlreadyHeld.
	Order(ctx context.Context, runner Runner, order Order) (Verdict, error)
	// Report reads a runner's report. It fails with fault.CodeNotFound when another runner
	// has the address, or a later incarnation of this one.
	Report(ctx context.Context, runner Runner) (Report, error)
}

// ReportLag is how far a report may be behind the runner's state.
const ReportLag = 150 * time.Millisecond
