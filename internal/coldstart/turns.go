package coldstart

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// sharedPart is the part of a rate that nodes with turns use together: a holder may lend the
	// rate to others meanwhile.
	sharedPart = 0.5
	// openTurns is how many nodes may have their turn at once, in the mean: of many nodes that had
	// nothing to send for long, not all send at the same moment.
	openTurns = 3
)

// turns are a node's at one runner: each begins every after the one before and stays open for a
// while. Those of different nodes begin at different times, by their names.
type turns struct {
	every time.Duration
	open  time.Duration
	shift time.Duration
}

func (s Shared) turns(runner string, rate float64) turns {
	nodes := s.Nodes
	if nodes <= 0 {
		nodes = assumedNodes
	}
	every := seconds(float64(nodes) / (sharedPart * rate))
	return turns{
		every: every, open: min(every, seconds(openTurns/rate)),
		shift: time.Duration(float64(xxhash.Sum64String(s.Node+"/"+runner)) / math.MaxUint64 * float64(every)),
	}
}

// seconds is a time of at most an hour.
func seconds(count float64) time.Duration {
	return time.Duration(min(count, time.Hour.Seconds()) * float64(time.Second))
}

// began is when the newest turn began.
func (t turns) began(now time.Time) time.Time {
	return now.Add(-time.Duration((now.UnixNano() + int64(t.shift)) % int64(t.every)))
}

// may reports whether a node that sent last at a time may send now.
func (t turns) may(sent, now time.Time) bool {
	began := t.began(now)
	return now.Sub(began) < t.open && sent.Before(began)
}

// next is the time until the node may send.
func (t turns) next(sent, now time.Time) time.Duration {
	if t.may(sent, now) {
		return 0
	}
	return t.began(now).Add(t.every).Sub(now)
}
