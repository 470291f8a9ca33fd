package coldstart

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slottedShare is the fraction of the rate that nodes with time slots use together,
	// because a lease holder may lend the rate to other nodes at the same time.
	slottedShare = 0.5
	// openSlots is the mean number of nodes whose time slots are open at once, so that of
	// many nodes that had nothing to send for a long time not all send at the same moment.
	openSlots = 3
)

// timeSlots are the time slots of a node for one runner. One begins every interval and is open
// for a while. The offset depends on the node's name, so that the slots of different nodes
// begin at different times.
type timeSlots struct {
	interval time.Duration
	open     time.Duration
	offset   time.Duration
}

func (s TimeSliced) timeSlots(runner string, rate float64) timeSlots {
	nodes := s.Nodes
	if nodes <= 0 {
		nodes = assumedNodes
	}
	interval := seconds(float64(nodes) / (slottedShare * rate))
	return timeSlots{
		interval: interval, open: min(interval, seconds(openSlots/rate)),
		offset: time.Duration(float64(xxhash.Sum64String(s.Node+"/"+runner)) / math.MaxUint64 * float64(interval)),
	}
}

// seconds returns a duration of at most an hour.
func seconds(count float64) time.Duration {
	return time.Duration(min(count, time.Hour.Seconds()) * float64(time.Second))
}

// lastStart returns when the latest time slot began.
func (t timeSlots) lastStart(now time.Time) time.Time {
	return now.Add(-time.Duration((now.UnixNano() + int64(t.offset)) % int64(t.interval)))
}

// maySend reports whether a node that last sent at the given time may send now.
func (t timeSlots) maySend(sent, now time.Time) bool {
	lastStart := t.lastStart(now)
	return now.Sub(lastStart) < t.open && sent.Before(lastStart)
}

// next returns the time until the node may send.
func (t timeSlots) next(sent, now time.Time) time.Duration {
	if t.maySend(sent, now) {
		return 0
	}
	return t.lastStart(now).Add(t.interval).Sub(now)
}
