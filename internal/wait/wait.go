// Package wait pauses a goroutine without holding up its end.
package wait

import (
	"context"
	"time"
)

// For returns after d, or as soon as ctx ends.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
