package wire

import "lilacvane/internal/poison"

// MethodPoison sends a PoisonReport to a node that counts crashes in addition to the holder.
const MethodPoison = "poison/report"

// PoisonReport lists the requests of a node that were running on runners when these crashed.
type PoisonReport struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	// Cleared are requests of which an attempt ended normally.
	Cleared []poison.Identity `cbor:"2,keyasint,omitempty"`
}

// CrashReport is a crashed runner and the requests of the node that were running there.
type CrashReport struct {
	// Runner identifies the incarnation that crashed.
	Runner   string            `cbor:"1,keyasint"`
	Requests []poison.Identity `cbor:"2,keyasint"`
}

// PoisonRecord is the value of a row for a request under which runners crashed. The request is the
// key of the row.
type PoisonRecord struct {
	Runners []string `cbor:"1,keyasint"`
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
