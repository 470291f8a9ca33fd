package wire

import (
	"slices"
	"time"

	"lilacvane/internal/poison"
)

// MethodPoison exchanges a PoisonReport for a PoisonAnswer with a node other than the holder.
const MethodPoison = "poison/report"

// MethodTrial asks a node for a trial with a TrialRequest; the answer is a TrialAnswer.
const MethodTrial = "poison/trial"

// TrialRequest asks to send a request that is held to one runner.
type TrialRequest struct {
	// Requests are the content and the parts that are held.
	Requests []poison.Identity `cbor:"1,keyasint"`
	// Ended says that the trial that was granted before is over, and its runner goes on.
	Ended bool `cbor:"2,keyasint,omitempty"`
	// Runner identifies the incarnation that it is sent to.
	Runner string `cbor:"3,keyasint"`
}

// TrialAnswer says whether a trial may begin.
type TrialAnswer struct {
	Granted bool `cbor:"1,keyasint,omitempty"`
}

// PoisonReport is what a node tells another one about requests that crash runners.
type PoisonReport struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	// Cleared are the requests of Struck, for nodes of earlier builds, which send Cleared alone: no
	// crash of these requests counts any more.
	Cleared []poison.Identity `cbor:"2,keyasint,omitempty"`
	// Marks are the requests that the sender refuses.
	Marks []PoisonMark `cbor:"3,keyasint,omitempty"`
	// Struck are crashes that no longer count.
	Struck []CrashesStruck `cbor:"4,keyasint,omitempty"`
	// Compare is set when the receiver is to answer with all requests that it refuses, unless their
	// digest is Digest.
	Compare bool   `cbor:"5,keyasint,omitempty"`
	Digest  uint64 `cbor:"6,keyasint,omitempty"`
}

// PoisonAnswer is what a node knows beyond a report.
type PoisonAnswer struct {
	// Marks are suspected or refused requests.
	Marks  []PoisonMark    `cbor:"1,keyasint,omitempty"`
	Struck []CrashesStruck `cbor:"2,keyasint,omitempty"`
	// Digest is that of the requests that the receiver refuses, if the report asked to compare.
	Digest uint64 `cbor:"3,keyasint,omitempty"`
}

// PoisonMark is a request and the runners that crashed while running it.
type PoisonMark struct {
	Request poison.Identity `cbor:"1,keyasint"`
	// Runners identify the incarnations.
	Runners []string `cbor:"2,keyasint"`
	// AgeMs is how long the request has been marked, in milliseconds.
	AgeMs int64 `cbor:"3,keyasint,omitempty"`
	// Beside are runners that ended at the same time as one of Runners, which do not count.
	Beside []string `cbor:"4,keyasint,omitempty"`
	// Controlled is as in poison.Finding.
	Controlled bool `cbor:"5,keyasint,omitempty"`
	// Runs are when the request ran on Runners, in their order; empty if that is not known.
	Runs []Run `cbor:"6,keyasint,omitempty"`
	// BesideRuns is the same for Beside.
	BesideRuns []Run `cbor:"7,keyasint,omitempty"`
}

// CrashesStruck are crashes of a request that no longer count, as an attempt of it succeeded, an operator
// lifted its quarantine, or an outage explains them.
type CrashesStruck struct {
	Request poison.Identity `cbor:"1,keyasint"`
	// Runners identify the incarnations that had crashed.
	Runners []string `cbor:"2,keyasint"`
	// Outage is set if many runners ended at the same time as each of Runners: that says nothing of the
	// request's other crashes.
	Outage bool `cbor:"3,keyasint,omitempty"`
}

// CrashReport is a crashed runner and the requests of the node that were running there.
type CrashReport struct {
	// Runner identifies the incarnation that crashed.
	Runner   string            `cbor:"1,keyasint"`
	Requests []poison.Identity `cbor:"2,keyasint"`
	// Parts are the parts of their prompts.
	Parts []Run `cbor:"3,keyasint,omitempty"`
	// Contents are when those of Requests ran of which that is known.
	Contents []Run `cbor:"4,keyasint,omitempty"`
	// At is when the ages of Parts and Contents were taken, at the node that keeps the report.
	At time.Time `cbor:"-"`
}

// Aged returns the report with the ages of now.
func (r CrashReport) Aged(now time.Time) CrashReport {
	later := now.Sub(r.At).Milliseconds()
	r.Parts, r.Contents = aged(r.Parts, later), aged(r.Contents, later)
	r.At = now
	return r
}

// aged returns runs with ages that are larger by some milliseconds.
func aged(runs []Run, laterMs int64) []Run {
	older := slices.Clone(runs)
	for i := range older {
		older[i].SentMs += laterMs
		older[i].EndedMs += laterMs
	}
	return older
}

// Run is a content, or a part of prompts, that a runner was running when it ended.
type Run struct {
	Request poison.Identity `cbor:"1,keyasint"`
	// SentMs is how long ago the last request with it was sent to the runner, EndedMs how long ago
	// its answer broke off, in milliseconds.
	SentMs  int64 `cbor:"2,keyasint"`
	EndedMs int64 `cbor:"3,keyasint"`
	// Trial is as in poison.Run.
	Trial bool `cbor:"4,keyasint,omitempty"`
}

// PoisonRecord is the value of a row for a request under which runners crashed. The request is the
// key of the row.
type PoisonRecord struct {
	Runners []string `cbor:"1,keyasint"`
	// Beside and Runs are as in PoisonMark; the ages are those of when the row was written.
	Beside []string `cbor:"2,keyasint,omitempty"`
	Runs   []Run    `cbor:"3,keyasint,omitempty"`
	// BesideRuns is as in PoisonMark.
	BesideRuns []Run `cbor:"4,keyasint,omitempty"`
	// Controlled is as in poison.Finding.
	Controlled bool `cbor:"5,keyasint,omitempty"`
}

// PoisonStatus is what a node knows about a request under which runners crashed.
type PoisonStatus struct {
	// Request is the identity of the request in hexadecimal digits.
	Request string `json:"request"`
	// State is suspected or refused.
	State string `json:"state"`
	// Runners are the runners that crashed under it, in order.
	Runners []string `json:"runners"`
	// RefusedMs is how long it has been refused, as far as the node knows, in milliseconds.
	RefusedMs int64 `json:"refusedMs,omitempty"`
}

// The values of PoisonStatus.State.
const (
	PoisonSuspected = "suspected"
	PoisonRefused   = "refused"
)
