package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Long prompts and short ones are kept apart where a model has several runners. While
// prompts are read, each step of a runner's batch takes many times as long as one that
// only writes, so that the streams there stand still; a second long prompt on top makes
// their pauses longer than they should be. Answers to short prompts are mostly longer
// streams that somebody reads as they come.
//
// The runners that short prompts go to first are the same for all nodes, without a word
// between them: those first in an order of the runners by a hash of their names. The
// order is the same for all models, so what is kept free of one model's long prompts is
// not filled with those of another.
const (
	// apartPart is of how many of a model's runners one is kept for short prompts; of
	// fewer, but more than one, it is one too.
	apartPart = 4
	// shortPart is the part of the mean prompt up to which one is short.
	shortPart = 0.5
	// costOfMixing is the cost in milliseconds of a short prompt among long ones, or a
	// long one among short ones: about half the time that a long prompt takes to be
	// read, so that a queue of one outweighs it.
	costOfMixing = 120.0
)

// order is a runner's place in the order of all runners.
func order(id string) uint64 { return xxhash.Sum64String(id) }

// lastKept returns the place of the last runner, of those that may serve a request, that
// is kept for short prompts; false where none is.
func lastKept(runners []*runner) (place uint64, ok bool) {
	if len(runners) < 2 {
		return 0, false
	}
	places := make([]uint64, 0, len(runners))
	for _, known := range runners {
		places = append(places, known.order)
	}
	slices.Sort(places)
	return places[max(len(places)/apartPart, 1)-1], true
}

// short reports whether a prompt is short against the mean one.
func (f *Fleet) short(unread int) bool { return float64(unread) < shortPart*f.meanUnread }

// mixes reports whether a prompt would go where the other kind goes first.
func (f *Fleet) mixes(known *runner, unread int, lastKept uint64) bool {
	return f.short(unread) != (known.order <= lastKept)
}
