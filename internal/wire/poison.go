package wire

import "lilacvane/internal/poison"

// MethodPoison tells a node that counts besides the holder what a holder is told.
const MethodPoison = "poison/report"

// PoisonReport is what a node tells of requests that were at runners as these ended.
type PoisonReport struct {
	Crashes []CrashReport `cbor:"1,keyasint,omitempty"`
	// Cleared are requests of which a try ended well.
	Cleared []poison.Identity `cbor:"2,keyasint,omitempty"`
}

// CrashReport is a runner that ended and the node's requests that were there.
type CrashReport struct {
	// Runner identifies the incarnation that ended.
	Runner   string            `cbor:"1,keyasint"`
	Requests []poison.Identity `cbor:"2,keyasint"`
}

// PoisonRecord is the value of a row that names a request under which runners ended; the
// request is the row's key.
type PoisonRecord struct {
	Runners []string `cbor:"1,keyasint"`
}

// PoisonStatus is a request under which runners ended, as a node knows it.
type PoisonStatus struct {
	// Request is its identity in hexadecimal digits.
	Request string `json:"request"`
	// State is suspected or refused.
	State string `json:"state"`
	// Runners are the runners that ended under it, in order.
	Runners []string `json:"runners"`
	// RefusedMs is how long it has been refused, as far as the node knows.
	RefusedMs int64 `json:"refusedMs,omitempty"`
}

// The words of PoisonStatus.State.
const (
	PoisonSuspected = "suspected"
	PoisonRefused   = "refused"
)
