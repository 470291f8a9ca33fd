// Package wait provides a pause that ends early when a context is done.
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
