package dispatch

import (
	"context"
	"errors"
)

// Ending says who ended an attempt that gave no complete answer.
type Ending string

// The endings.
const (
	// EndedByRunner means that the runner failed or refused, or that the connection to it failed.
	EndedByRunner Ending = "runner"
	// EndedBySilence means that the node turned to another runner, as this one was silent.
	EndedBySilence Ending = "silence"
	// EndedByAnswer means that another runner answered first.
	EndedByAnswer Ending = "answer"
	// EndedByTime means that the request's deadline passed.
	EndedByTime Ending = "time"
	// EndedByClient means that the client left.
	EndedByClient Ending = "client"
	// EndedByStop means that the node's grace period was over.
	EndedByStop Ending = "stop"
)

// endingOf derives an attempt's ending from its context: if that is not done, the runner ended the
// attempt.
func endingOf(ctx context.Context) Ending {
	cause := context.Cause(ctx)
	switch {
	case cause == nil:
		return EndedByRunner
	case errors.Is(cause, errSilent):
		return EndedBySilence
	case errors.Is(cause, errAnswered):
		return EndedByAnswer
	case errors.Is(cause, errTimeout):
		return EndedByTime
	case errors.Is(cause, errClosing):
		return EndedByStop
	default:
		return EndedByClient
	}
}
