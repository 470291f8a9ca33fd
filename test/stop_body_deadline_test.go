package test

import (
	"testing"
	"time"
)

// TestStopCutStreamWhoseDeadlineIsCountedFromItsHead: a body ends after the notice, and its stream is due before the
// last answers if its deadline is counted from its head, but not if it is counted from its last byte. It is refused
// as not run.
func TestStopCutStreamWhoseDeadlineIsCountedFromItsHead(t *testing.T) {
	t.Parallel()
	w, nodes := startStopWorld(t, longStop, 2, 3)
	checkStop(t, w, nodes[0], []slowRequest{
		{name: "body that ends after the notice", path: "/reply/x", events: endlessEvents, dial: 0, send: 500 * time.Millisecond, bodyEnd: 3500 * time.Millisecond, deadline: 6 * time.Second},
	}, longStop)
}
