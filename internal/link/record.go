package link

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Reason is why a connection was dropped.
type Reason uint8

// The reasons.
const (
	// Unacknowledged means that the other machine stopped to acknowledge.
	Unacknowledged Reason = iota
	// Mute means that nothing came back on a connection that had rested.
	Mute
	// Distrusted means that others that rested as long were silent.
	Distrusted
	// Ended means that the other end closed it, or sent something, while it rested.
	Ended
	// Expired means that it rested as long as it may.
	Expired
	// Spare means that enough others rest.
	Spare
	// Unproved means that it rested for too long to be known to work, which its user asked for.
	Unproved
	reasons
)

// String returns the reason as it stands in logs and figures.
func (r Reason) String() string {
	switch r {
	case Unacknowledged:
		return "unacknowledged"
	case Mute:
		return "mute"
	case Distrusted:
		return "distrusted"
	case Ended:
		return "ended"
	case Expired:
		return "expired"
	case Unproved:
		return "unproved"
	default:
		return "spare"
	}
}

// Record counts connections that were dropped, and logs the silent ones. The zero
// value counts without a log, a nil one does nothing. Its methods may be called
// concurrently.
type Record struct {
	log     atomic.Pointer[logr.Logger]
	dropped [kinds][reasons]atomic.Uint64
	dialed  [kinds]atomic.Uint64
}

// Log sets where silent connections are told.
func (r *Record) Log(log logr.Logger) { r.log.Store(&log) }

// Dialed counts a new connection.
func (r *Record) Dialed(kind Kind) {
	if r != nil {
		r.dialed[kind].Add(1)
	}
}

// Drop counts connections that were dropped.
func (r *Record) Drop(kind Kind, reason Reason, count int) {
	if r != nil {
		r.dropped[kind][reason].Add(uint64(count))
	}
}

// Silent counts a connection that was found silent in a step at a peer, and tells
// it. after is the time since it was last used.
func (r *Record) Silent(kind Kind, reason Reason, step, peer string, after time.Duration, cause error) {
	if r == nil {
		return
	}
	r.dropped[kind][reason].Add(1)
	if log := r.log.Load(); log != nil {
		log.Info("connection silent", "kind", kind.String(), "reason", reason.String(), "step", step, "peer", peer,
			"afterMs", after.Milliseconds(), "error", cause.Error())
	}
}

// Each calls visit with all counts of dropped connections.
func (r *Record) Each(visit func(kind Kind, reason Reason, count uint64)) {
	for kind := range kinds {
		for reason := range reasons {
			visit(kind, reason, r.dropped[kind][reason].Load())
		}
	}
}

// Kinds calls visit with the number of connections that were made, by kind.
func (r *Record) Kinds(visit func(kind Kind, dialed uint64)) {
	for kind := range Client {
		visit(kind, r.dialed[kind].Load())
	}
}
