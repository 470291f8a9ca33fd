// Package request carries one caller's request from its admission to its one
// final outcome.
package request

import (
	"lilacvane/internal/fault"
)

// State is where a request stands.
type State uint8

// The states of a request. Done, Refused and Uncertain are final.
const (
	// Queued: nothing has left this node.
	Queued State = iota
	// Claimed: the idempotency key is held; nothing was sent to a runner.
	Claimed
	// Sent: a runner may have the request.
	Sent
	// Answering: a runner is known to be running the request.
	Answering
	// Done: the whole answer was received.
	Done
	// Refused: the request was not run and never will be.
	Refused
	// Uncertain: the request may have run.
	Uncertain
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"queued", "claimed", "sent", "answering", "done", "refused", "uncertain"}[min(int(s), 6)]
}

// Event moves a request from state to state.
type Event uint8

// The events of a request.
const (
	// EventClaim: the key's group agreed on this attempt.
	EventClaim Event = iota
	// EventSend: the request is about to be sent to a runner.
	EventSend
	// EventNotRun: the runner stated that it did not and will not run it.
	EventNotRun
	// EventChunk: the runner answered with a part of the answer.
	EventChunk
	// EventFinish: the answer is whole.
	EventFinish
	// EventAbandon: an earlier send is given up although it may have run; only
	// a request that may be repeated goes on after this.
	EventAbandon
	// EventStop: the request ends here, with the outcome its state implies.
	EventStop
)

// Lifecycle is the state machine of one request. It is not safe for concurrent
// use. The zero value is a queued request that may be repeated.
type Lifecycle struct {
	state State
	// Once marks a request that may not be repeated.
	Once bool
	// claimed remembers that the key is held.
	claimed bool
	// started is set when any runner may have run the request.
	started bool
}

// State returns the current state.
func (l *Lifecycle) State() State { return l.state }

// Apply takes an event. An event that the state does not allow is an error and
// changes nothing.
func (l *Lifecycle) Apply(event Event) error {
	next, ok := l.next(event)
	if !ok {
		return fault.New(fault.CodeInternal, "request lifecycle", "event %d is not allowed in state %s", event, l.state)
	}
	l.state = next
	return nil
}

func (l *Lifecycle) next(event Event) (State, bool) {
	switch event {
	case EventClaim:
		l.claimed = l.claimed || l.state == Queued
		return Claimed, l.state == Queued && l.Once
	case EventSend:
		maySend := l.state == Queued && !l.Once || l.state == Claimed
		return Sent, maySend
	case EventNotRun:
		return l.waiting(), l.state == Sent
	case EventChunk:
		return Answering, l.state == Sent || l.state == Answering
	case EventFinish:
		return Done, l.state == Answering || l.state == Sent
	case EventAbandon:
		allowed := !l.Once && (l.state == Sent || l.state == Answering)
		l.started = l.started || allowed
		return Queued, allowed
	case EventStop:
		return l.stopped()
	default:
		return l.state, false
	}
}

func (l *Lifecycle) waiting() State {
	if l.claimed {
		return Claimed
	}
	return Queued
}

func (l *Lifecycle) stopped() (State, bool) {
	switch l.state {
	case Queued, Claimed:
		if l.started {
			return Uncertain, true
		}
		return Refused, true
	case Sent, Answering:
		return Uncertain, true
	default:
		return l.state, false
	}
}

// Ran tells what may be said of the request if it stopped now.
func (l *Lifecycle) Ran() fault.Outcome {
	switch {
	case l.state == Done:
		return fault.Done
	case l.state == Refused:
		return fault.NotDone
	case (l.state == Queued || l.state == Claimed) && !l.started:
		return fault.NotDone
	default:
		return fault.Unknown
	}
}
