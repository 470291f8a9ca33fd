package place

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestHomesRestrictRegions(t *testing.T) {
	north, south := NewHomes([]Region{"north"}), NewHomes([]Region{"south"})
	both := NewHomes([]Region{"south", "north", "south"})
	for _, test := range []struct {
		name   string
		homes  Homes
		region Region
		want   bool
	}{
		{"no homes", Homes{}, "north", true},
		{"no homes, region not known", Homes{}, "", true},
		{"home", north, "north", true},
		{"not home", north, "south", false},
		{"part of a name", north, "nor", false},
		{"region not known", north, "", false},
		{"one of two", both, "south", true},
		{"both restricted", both.Intersect(south), "south", true},
		{"both restricted, other region", both.Intersect(south), "north", false},
		{"nothing in common", north.Intersect(south), "north", false},
		{"only one restricted", Homes{}.Intersect(south), "north", false},
		{"only invalid names", NewHomes([]Region{""}), "north", false},
		{"empty list", NewHomes([]Region{}), "north", true},
	} {
		t.Run(test.name, func(t *testing.T) { assert.Equal(t, test.homes.Allows(test.region), test.want) })
	}
}

func TestHomesAreComparable(t *testing.T) {
	assert.Equal(t, NewHomes([]Region{"a", "b"}), NewHomes([]Region{"b", "a", "b"}))
	assert.Equal(t, NewHomes([]Region{"a", "b"}).Intersect(NewHomes([]Region{"b", "c"})), NewHomes([]Region{"b"}))
	assert.Equal(t, NewHomes([]Region{"b", "a"}).String(), "a,b")
	assert.DeepEqual(t, NewHomes([]Region{"b", "a"}).Regions(), []Region{"a", "b"})
	assert.Equal(t, NewHomes([]Region{""}).String(), "none")
	for _, homes := range []Homes{{}, NewHomes([]Region{"b", "a"}), NewHomes([]Region{""})} {
		assert.Equal(t, HomesFromNames(homes.Names()), homes)
	}
	assert.Equal(t, len(Homes{}.Names()), 0)
}
