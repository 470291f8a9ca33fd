package node

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/settings"
)

// A node with less spare capacity than others takes a lease later. One with as much as the best,
// however little that is, takes it at once.
func TestSmallNodesTakeLeasesLast(t *testing.T) {
	small, large := settings.Capacity{Cores: 0.2, LinkMbps: 20}, settings.Capacity{Cores: 0.8, LinkMbps: 200}
	for _, c := range []struct {
		capacity settings.Capacity
		best     float64
		later    time.Duration
	}{
		{large, 0, 0},
		{small, 0, 320 * time.Millisecond},
		{large, 1, 0},
		{large, 0.2, 0},
		{small, 0.2, 0},
		{small, 1, 1600 * time.Millisecond},
	} {
		n := &Node{}
		n.settings.Store(&settings.Settings{Capacity: c.capacity})
		n.bestSpare.Store(math.Float64bits(c.best))
		assert.Equal(t, n.takeoverDelay(), c.later, "%+v", c)
	}
}
