package control

import (
	"time"

	"lilacvane/internal/scheduler"
)

// plannedShift is how much the expected time of a planned load must change for the change to
// be published.
const plannedShift = 300 * time.Millisecond

// updatePlanned records when models with waiting requests are expected, and publishes the
// changes. The caller holds mutex.
func (c *Controller) updatePlanned(ready map[scheduler.Want]time.Duration, now time.Time) {
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
		c.publish(changed...)
	}
}

// announceYield tells waiting nodes at once that this holder no longer acts. The caller
// holds mutex.
func (c *Controller) announceYield() {
	leaseStatus, ok := c.Elector.Status()
	if !ok || !leaseStatus.Yielded || c.announcedYield == leaseStatus.Token {
		return
	}
	c.announcedYield = leaseStatus.Token
	c.publishToAll()
}
