package control

import "time"

// plannedShift is how far the expected time of a planned load moves before nodes
// are told at once.
const plannedShift = 300 * time.Millisecond

// notePlanned takes over when waited-for models are expected, and tells nodes when
// that changed. mutex is held.
func (c *Controller) notePlanned(ready map[string]time.Duration, now time.Time) {
	planned := make(map[string]time.Time, len(ready))
	var changed []string
	for model, in := range ready {
		at := now.Add(in)
		before, known := c.planned[model]
		if known && before.Sub(at).Abs() < plannedShift {
			at = before
		} else {
			changed = append(changed, model)
		}
		planned[model] = at
	}
	c.planned = planned
	if len(changed) > 0 {
		c.tell(changed...)
	}
}

// tellYield lets waiting nodes hear at once that this holder acts no more. mutex is
// held.
func (c *Controller) tellYield() {
	word, ok := c.Lessor.Word()
	if !ok || !word.Yielded || c.toldYield == word.Token {
		return
	}
	c.toldYield = word.Token
	c.tellAll()
}
