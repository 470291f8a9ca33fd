package fleet

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/statement"
)

// TestStatesLimits checks which runners get no calls beyond clients' requests: those that stated limits, and cold
// ones.
func TestStatesLimits(t *testing.T) {
	f, registry, _ := statedFleet("free", "rests", "limited", "brittle")
	askRest(registry, "rests", "5")
	registry.ReadHeader(statement.Source{Runner: "limited"}, http.StatusOK, http.Header{limitHeader: {"3"}})
	registry.ReadHeader(statement.Source{Runner: "brittle"}, http.StatusOK, http.Header{brittleHeader: {"2"}})
	for name, want := range map[string]bool{"free": false, "rests": true, "limited": true, "brittle": true} {
		listed, present := f.Find(name)
		assert.Assert(t, present)
		assert.Equal(t, f.StatesLimits(listed), want, name)
	}
	f.SetColdStarts(ColdStarts{Terms: func(string) coldstart.Terms { return coldTerms }})
	newcomer, _ := f.Find("free")
	newcomer.ID = "cold"
	newcomer.Address = "127.0.0.9:1"
	f.Apply([]backend.Runner{newcomer}, nil, false)
	assert.Assert(t, f.StatesLimits(newcomer))
}
