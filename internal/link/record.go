package link

import (
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
)

// Reason is why a connection was dropped.
type Reason uint8

// The reasons for dropping a connection.
const (
	// Unacknowledged means that the other machine stopped acknowledging.
	Unacknowledged Reason = iota
	// Mute means that no answer came on a connection that had been idle.
	Mute
	// Distrusted means that other connections that had been idle as long were silent.
	Distrusted
	// Ended means that the other end closed it, or sent data, while it was idle.
	Ended
	// Expired means that it reached its maximum idle time.
	Expired
	// Spare means that there are enough other idle connections.
	Spare
	// Unproved means that it was idle for too long to be known to work, which its user required.
	Unproved
	reasons
)

// String returns the name of the reason in logs and metrics.
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

// Record counts dropped connections and logs silent ones. The zero value counts without logging; a
// nil Record does nothing. It is safe for concurrent use.
type Record struct {
	log     atomic.Pointer[logr.Logger]
	dropped [kinds][reasons]atomic.Uint64
	dialed  [kinds]atomic.Uint64
}

// SetLogger sets the logger for silent connections.
func (r *Record) SetLogger(log logr.Logger) { r.log.Store(&log) }

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

// Silent counts and logs a connection that was found silent in a step at a peer. after is the time
// since it was last used.
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

// Each calls visit with every count of dropped connections.
func (r *Record) Each(visit func(kind Kind, reason Reason, count uint64)) {
	for kind := range kinds {
		for reason := range reasons {
			visit(kind, reason, r.dropped[kind][reason].Load())
		}
	}
}

// Kinds calls visit with the number of connections made, for each kind that dials.
func (r *Record) Kinds(visit func(kind Kind, dialed uint64)) {
	for kind := range Client {
		visit(kind, r.dialed[kind].Load())
	}
}
