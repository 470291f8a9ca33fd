package node

import (
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/config"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// A route or tenant is listed if a region of its homes has no zone.
func TestUnknownHomesAreReported(t *testing.T) {
	zones := place.Map{"a": "north", "b": "south", "c": ""}
	homes := func(names ...string) place.Homes { return place.HomesFromNames(names) }
	directory, err := tenant.NewDirectory([]tenant.Tenant{{Name: "known", Homes: homes("north")}, {Name: "strange", Homes: homes("north", "west")}})
	assert.NilError(t, err)
	routes, tenants := unknownHomes(&config.Configuration{
		Routes:  []config.Route{{Name: "all"}, {Name: "north", Homes: homes("north")}, {Name: "west", Homes: homes("west")}, {Name: "none", Homes: homes("")}},
		Tenants: directory,
	}, zones)
	assert.DeepEqual(t, routes, []string{"west", "none"})
	assert.DeepEqual(t, tenants, []tenant.Name{"strange"})
	routes, tenants = unknownHomes(&config.Configuration{Routes: []config.Route{{Name: "all"}}}, nil)
	assert.Equal(t, len(routes)+len(tenants), 0)
}
