package runner

import (
	"context"

	"lilacvane/internal/api"
	"lilacvane/internal/engine"
)

func (o *owner) permitHolder(unit string) string { return o.machine.Incarnation + "/" + unit }

// permitted tells whether a load may start now: one from the runner's own disk
// always may, one from the weight store needs a permit.
func (o *owner) permitted(ctx context.Context, order engine.Order) bool {
	o.mutex.Lock()
	_, local := o.state.Cached[order.Checkpoint]
	class := api.ClassPatient
	if wish, known := o.wishes[order.Unit]; known {
		class = wish.class
	}
	o.mutex.Unlock()
	if local {
		return true
	}
	if o.permits.Acquire(ctx, o.permitHolder(order.Unit), class) > 0 {
		return false
	}
	o.permitMutex.Lock()
	defer o.permitMutex.Unlock()
	o.held[order.Unit] = struct{}{}
	return true
}

// releasePermits gives the permits back of loads that are not under way any
// more.
func (o *owner) releasePermits(underWay func(unit string) bool) {
	o.permitMutex.Lock()
	defer o.permitMutex.Unlock()
	for unit := range o.held {
		if !underWay(unit) {
			delete(o.held, unit)
			o.permits.Release(o.permitHolder(unit))
		}
	}
}
