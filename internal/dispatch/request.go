// Package dispatch carries a client's request from its arrival to its one final
// outcome: it finds the route, waits for a runner, sends the request, sends it
// again or resumes it where that is allowed, and refuses it truthfully.
package dispatch

import (
	"net/http"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// Request is one request of a client.
type Request struct {
	// ID is the client's identifier of this request.
	ID     string
	Method string
	// Target is the path and query as sent; Path is the path alone.
	Target string
	Path   string
	Host   string
	// Header are the headers to forward.
	Header http.Header
	Body   []byte
	// Arrived is when its header was read.
	Arrived time.Time
	// Patience is how long the client waits, counted from Arrived; zero when it
	// did not say.
	Patience time.Duration
	// Route and Service are set when something else than host and path decides
	// where the request goes.
	Route   *config.Route
	Service string
	// Resolve tells which unit serves the request now; it is asked before the
	// request is placed and while it waits. Its error ends the wait.
	Resolve func() (backend.Unit, error)
	// OwnErrors is set when a runner's failure is answered with an error of the
	// product's own instead of the runner's answer.
	OwnErrors bool
	// StartWithin is how long the answer may take to begin; zero when only
	// Patience bounds it.
	StartWithin time.Duration
	// Unit is the model or adapter asked for; empty for other services.
	Unit backend.Unit
	// Prompt are the parts of the prompt in order.
	Prompt []fleet.Part
	// TokensIn and TokensOut are the sizes of the prompt and, at most, of the
	// answer.
	TokensIn  int
	TokensOut int
	// Counts says whether the client told TokensIn and TokensOut.
	Counts Counts
	// Key is the caller's key; empty when it sent none that can be read. It is never
	// logged.
	Key string
}

// Counts says what a client told of a request's token counts.
type Counts uint8

// What may have been told.
const (
	// CountsAbsent means that the client told none.
	CountsAbsent Counts = iota
	// CountsGiven means that both counts are known.
	CountsGiven
	// CountsUnreadable means that the client told something that is not two counts.
	CountsUnreadable
)

// Outcome is how a request ended, for the log and the figures.
type Outcome struct {
	// Result is a short word: served, passed, refused, failed, broken, canceled.
	Result string
	Status int
	Step   string
	Reason string
	Runner string
	Route  string
	// Attempts counts the runners it was sent to, Resumes those that continued it.
	Attempts int
	Resumes  int
	// Waited is how long no runner could take it.
	Waited time.Duration
	// Unplaced is why no runner could take it: as it began to wait, or as its wait ended
	// without one. It is not set for a request that never waited.
	Unplaced *Unplaced
	// Endings say who ended the attempts that failed, in their order.
	Endings []Ending
	// Events is how often whole events of a stream were passed on.
	Events int
	// Problem is the error of a request that was not served.
	Problem *fault.Error
	// Placed is the time until a runner was first chosen.
	Placed time.Duration
	// First is the time to the first byte of the answer, Total the whole time.
	First time.Duration
	Total time.Duration
	// Pause is the longest time between two events of a stream.
	Pause time.Duration
	// Revision is the configuration that decided.
	Revision uint64
	// Knowledge is how old that was, for a request whose route or key it does not have; nil for
	// others.
	Knowledge *Knowledge
	// Tenant is the tenant that the request belongs to; empty when it is not known.
	Tenant tenant.Name
	// Homes are the regions in which alone it may be served.
	Homes place.Homes
	// Cost is what it costs of its tenant's limit, in the limit's unit, Charged is set once
	// that was spent, AdmittedBy is the node whose share was asked, or its address.
	Cost       float64
	Charged    bool
	AdmittedBy string
	// KeptTokens is what its last runner was believed to keep of its prompt.
	KeptTokens int
}

// Knowledge is what a node knew the configuration from.
type Knowledge struct {
	// Age is the time since the store told it.
	Age time.Duration
	// Source is the node's upstream for the store's tables.
	Source string
}

// Unplaced is why no runner could take a request.
type Unplaced struct {
	Obstacles fleet.Obstacles
	// At is the time since the request's arrival.
	At time.Duration
}

// The words of Outcome.Result.
const (
	// ResultServed is a success that reached the client whole.
	ResultServed = "served"
	// ResultPassed is a runner's failure that was passed on.
	ResultPassed = "passed"
	// ResultRefused is a request that did not run and will not.
	ResultRefused = "refused"
	// ResultFailed is a request that may have run without an answer.
	ResultFailed = "failed"
	// ResultBroken is an answer that ended early.
	ResultBroken = "broken"
	// ResultCanceled is a request whose client left.
	ResultCanceled = "canceled"
)
