package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/place"
)

// TestZonesCountRunnersOnce checks that each listed runner counts in its zone under one state,
// and that a cold runner counts as ready once the time it reported has passed.
func TestZonesCountRunnersOnce(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	f := New("zone-a", c.read, drains{"r3": true})
	f.SetColdStarts(ColdStarts{Terms: func(string) coldstart.Terms { return coldTerms }})
	cold, leaving, other := listed("r1"), listed("r2"), listed("r4")
	cold.ColdFor = 2 * time.Second
	leaving.ColdFor, leaving.Draining = time.Minute, true
	other.Zone = "zone-b"
	f.Replace([]backend.Runner{cold, leaving, listed("r3"), other, listed("r5")}, false)
	f.Apply(nil, []string{"r5"}, false)
	c.now = c.now.Add(500 * time.Millisecond)
	assert.DeepEqual(t, f.Zones(), map[place.Zone]StateCounts{"zone-a": {Cold: 1, Draining: 2}, "zone-b": {Ready: 1}})
	assert.DeepEqual(t, f.Cold(), map[string]time.Duration{"r1": 1500 * time.Millisecond, "r2": time.Minute - 500*time.Millisecond})
	c.now = c.now.Add(1500 * time.Millisecond)
	assert.DeepEqual(t, f.Zones()["zone-a"], StateCounts{Ready: 1, Draining: 2})
	assert.Equal(t, f.Cold()["r1"], time.Duration(0))
}
