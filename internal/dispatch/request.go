// Package dispatch serves a client's request from its arrival to its one final outcome: it finds
// the route, waits for a runner, sends the request, retries or resumes it where that is allowed,
// and refuses it with an accurate reason and retry time.
package dispatch

import (
	"net/http"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/body"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/fleet"
	"lilacvane/internal/overload"
	"lilacvane/internal/place"
	"lilacvane/internal/stop"
	"lilacvane/internal/tenant"
	"lilacvane/internal/upstream"
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
	// Header holds the headers to forward.
	Header http.Header
	Body   body.Body
	// Arrived is when its header was read, Read when it was read whole.
	Arrived time.Time
	Read    time.Time
	// ResumeAfter is the last event that the client has of a stream that it resumes; empty for a new
	// one. Resumes is the ID of the request that brought the stream's first event; empty if the client
	// did not say.
	ResumeAfter string
	Resumes     string
	// Start is ended once the request is first sent to a runner or waits for one; nil if nobody counts
	// that.
	Start *overload.Start
	// Patience is how long the client waits, counted from Arrived; zero when it did not say.
	Patience time.Duration
	// Route and Service are set if the caller of Serve has chosen them; otherwise the route is
	// found by Host and Path.
	Route   *config.Route
	Service string
	// Resolve returns the unit that serves the request now; it is called before a runner is
	// selected and while the request waits. Its error ends the wait.
	Resolve func() (backend.Unit, error)
	// Refused is called right before the request is refused as not run, and returns the least time after which it may
	// come back; it may be nil.
	Refused func() time.Duration
	// OwnErrors is set when a runner's failure is answered with an error of this node instead of
	// the runner's answer.
	OwnErrors bool
	// StartWithin is how long the answer may take to begin; zero when only Patience bounds it.
	StartWithin time.Duration
	// EndsStream reports whether an event is the last one of a whole stream; nil where events do not
	// show that.
	EndsStream func(event []byte) bool
	// Unit is the requested model or adapter; empty for other services.
	Unit backend.Unit
	// Prompt holds the parts of the prompt in order.
	Prompt []fleet.Part
	// TokensIn and TokensOut are the sizes of the prompt and, at most, of the answer.
	TokensIn  int
	TokensOut int
	// Counts says whether the client sent TokensIn and TokensOut.
	Counts Counts
	// Key is the caller's key; empty when it sent none that can be parsed. It is never logged.
	Key string
}

// due returns when the request must have its final answer.
func (r *Request) due(route *config.Route) time.Time {
	limit := r.Patience
	if limit == 0 {
		limit = defaultPatience
	}
	if r.StartWithin > 0 {
		limit = r.StartWithin + maxAnswerTime
	}
	if route.Timeout > 0 && route.Timeout < limit {
		limit = route.Timeout
	}
	return r.Arrived.Add(limit)
}

// Counts says what a client sent as token counts.
type Counts uint8

// The states of token counts.
const (
	// CountsAbsent means that the client sent none.
	CountsAbsent Counts = iota
	// CountsGiven means that both counts are known.
	CountsGiven
	// CountsUnreadable means that the client sent something that is not two counts.
	CountsUnreadable
)

// Outcome is how a request ended, for the log and the metrics.
type Outcome struct {
	// Result is one of served, passed, refused, failed, broken, canceled.
	Result string
	Status int
	Step   string
	Reason string
	Runner string
	// Build is the build of that runner.
	Build backend.Build
	// Via is the address of the peer through which the last runner that answered was reached;
	// empty if directly.
	Via string
	// Framing says what marked the end of the last answer of a runner; empty if there was none.
	Framing upstream.Framing
	// Signed is set if the last answer of a runner carried its signature.
	Signed bool
	// Completeness says what showed that an answer with ResultServed is complete.
	Completeness Completeness
	// EndsWithConnection is set if the answer to the client has neither a length nor chunks.
	EndsWithConnection bool
	// UnfinishedBytes is what was left of an unfinished event at the end of a stream.
	UnfinishedBytes int
	Route           string
	// Attempts counts the runners it was sent to, Resumes those that continued it.
	Attempts int
	Resumes  int
	// Waited is how long no runner could take it.
	Waited time.Duration
	// Unplaced is why no runner could take it: when it began to wait, or when its wait ended
	// without one. It is nil for a request that never waited.
	Unplaced *Unplaced
	// Endings say who ended the failed attempts, in order.
	Endings []Ending
	// Events is how many times complete events of a stream were forwarded.
	Events int
	// Stop is set if the node was stopping when the request ended.
	Stop *StopOutcome
	// Problem is the error of a request that was not served.
	Problem *fault.Error
	// Placed is the time until a runner was first chosen.
	Placed time.Duration
	// First is the time to the first byte of the answer, Total the whole time.
	First time.Duration
	Total time.Duration
	// Pause is the longest time between two events of a stream.
	Pause time.Duration
	// Revision is the revision of the configuration that decided.
	Revision uint64
	// ConfigurationOrigin is the age and source of that configuration, for a request whose route or
	// key is not in it; nil for others.
	ConfigurationOrigin *ConfigurationOrigin
	// Tenant is the tenant that the request belongs to; empty when it is not known.
	Tenant tenant.Name
	// Homes are the only regions in which it may be served.
	Homes place.Homes
	// Cost is what the request costs, in the unit of its tenant's limit; Charged is set once that
	// was charged. AdmittedBy is the node whose share of the limit decided, or its address.
	Cost       float64
	Charged    bool
	AdmittedBy string
	// KeptTokens is how many tokens of its prompt its last runner was expected to have cached.
	KeptTokens int
}

// Denied reports whether the node itself ended the request as wrong, so that its client has no reason to
// come back.
func (o Outcome) Denied() bool { return o.Result == ResultRefused && permanent(o.Status) }

// StopOutcome relates a request to the stop of its node.
type StopOutcome struct {
	// Phase is the phase in which it was read.
	Phase stop.Phase
	// Read is when it was read and Ended when it ended, after the begin of the stop; Read is negative
	// if it was read before.
	Read  time.Duration
	Ended time.Duration
	// Idle is the time since a stream's last event; zero if there was none.
	Idle time.Duration
	// Cut is set if the answer had begun and the stop cut it off.
	Cut bool
}

// ConfigurationOrigin says where a node's configuration came from.
type ConfigurationOrigin struct {
	// Age is the time since the store last reported it.
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

// The values of Outcome.Result.
const (
	// ResultServed is a success that reached the client completely.
	ResultServed = "served"
	// ResultPassed is a runner's failure that was forwarded.
	ResultPassed = "passed"
	// ResultRefused is a request that did not run and will not.
	ResultRefused = "refused"
	// ResultFailed is a request without an answer that may have run.
	ResultFailed = "failed"
	// ResultBroken is an answer that ended early.
	ResultBroken = "broken"
	// ResultCanceled is a request whose client left.
	ResultCanceled = "canceled"
)
