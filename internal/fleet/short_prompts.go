package fleet

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Long and short prompts are sent to separate runners where a model has several. While a
// runner reads a prompt, each step of its batch takes many times as long as a step that only
// generates, so its streams stall; a second long prompt at the same time makes the pauses
// longer than they should be. Short prompts mostly have longer answers, which somebody reads
// while they are streamed.
//
// All nodes prefer the same runners for short prompts, without communicating: the first ones
// when runners are sorted by a hash of their identifiers. The order is the same for all
// models, so the runners kept free of one model's long prompts are not filled with those of
// another.
const (
	// shortPoolDivisor is the number of a model's runners for each one that is kept for short
	// prompts. A model with fewer runners, but more than one, also has one kept.
	shortPoolDivisor = 4
	// shortPromptRatio is the share of the mean prompt length up to which a prompt is short.
	shortPromptRatio = 0.5
	// costMixedPrompts is the cost in milliseconds of a short prompt on a runner for long ones
	// or the reverse: about half the time in which a long prompt is read, so that one queued
	// prompt outweighs it.
	costMixedPrompts = 120.0
)

// hashID returns the hash by which all nodes sort runners in the same order.
func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// shortPoolLimit returns the largest hash among the runners kept for short prompts, out of
// those that may serve a request; false if none is kept.
func shortPoolLimit(runners []*runner) (hash uint64, ok bool) {
	if len(runners) < 2 {
		return 0, false
	}
	hashes := make([]uint64, 0, len(runners))
	for _, known := range runners {
		hashes = append(hashes, known.hash)
	}
	slices.Sort(hashes)
	return hashes[max(len(hashes)/shortPoolDivisor, 1)-1], true
}

// isShortPrompt reports whether a prompt with that many unread tokens is short compared to the
// mean.
func (f *Fleet) isShortPrompt(unread int) bool {
	return float64(unread) < shortPromptRatio*f.meanUnread
}

// mixesPromptLengths reports whether sending a prompt to a runner would mix short and long
// prompts: the runner is kept for the other kind.
func (f *Fleet) mixesPromptLengths(known *runner, unread int, limit uint64) bool {
	return f.isShortPrompt(unread) != (known.hash <= limit)
}
