package dispatch

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
)

// TestHugeWeightsPanicked checks that weights whose sum overflows are no valid configuration, and that
// requests are split by the largest valid ones.
func TestHugeWeightsPanicked(t *testing.T) {
	for _, weight := range []int{1, 1_000_000_000, 1_000_000_001, 1 << 62, math.MaxInt} {
		c := &config.Configuration{Revision: 1, Services: map[string]*config.Service{"a": {}, "b": {}}}
		c.Routes = []config.Route{{Host: "h", PathPrefix: "/", Kind: config.Safe, Attempts: 1, Backends: []config.Backend{{Service: "a", Weight: weight}, {Service: "b", Weight: weight}}}}
		err := c.Validate()
		assert.Equal(t, err == nil, weight <= 1_000_000_000, "%d: %v", weight, err)
		if err == nil {
			var s splitter
			for range 10 {
				s.pick(c.Routes[0].Backends)
			}
		}
	}
}
