package control

import (
	"time"

	"lilacvane/internal/scheduler"
)

// plannedShift is how far the expected time of a planned load moves before nodes
// are told at once.
const plannedShift = 300 * time.Millisecond

// notePlanned takes over when waited-for models are expected, and tells nodes when
// that changed. mutex is held.
func (c *Controller) notePlanned(ready map[scheduler.Want]time.Duration, now time.Time) {
	planned := make(map[scheduler.Want]time.Time, len(ready))
	var changed []string
	for want, in := range ready {
		at := now.Add(in)
		before, known := c.planned[want]
		if known && before.Sub(at).Abs() < plannedShift {
			at = before
		} else {
			changed = append(changed, want.Unit.Model)
		}
		planned[want] = at
	}
	c.planned = planned
	if len(changed) > 0 {
		c.tell(changed...)
	}
}

// tellYield lets waiting nodes hear at once that this holder acts no more. mutex is
// held.
func (c *Controller) tellYield() {
	word, ok := c.Lessor.Status()
	if !ok || !word.Yielded || c.toldYield == word.Token {
		return
	}
	c.toldYield = word.Token
	c.tellAll()
}
