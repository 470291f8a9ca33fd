// Package wait provides pauses that end early when a context is done, and retries with such pauses.
package wait

import (
	"context"
	"time"
)

// For returns after d, or as soon as ctx is done.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// Retry calls attempt until it succeeds or ctx is done. The pause after a failure is first, and doubles with each
// further one up to longest. attempt reports its failures itself.
func Retry(ctx context.Context, first, longest time.Duration, attempt func() error) {
	for pause := first; ctx.Err() == nil && attempt() != nil; pause = min(2*pause, longest) {
		For(ctx, pause)
	}
}
