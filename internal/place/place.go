// Package place names where machines and runners stand, and in which regions
// something may be served. It is pure.
package place

import (
	"slices"
	"strings"
)

// Zone names a zone: machines that may be lost or taken out together.
type Zone string

// Region names a region: zones with short ways between them.
type Region string

// Map tells the region of each zone.
type Map map[Zone]Region

// Region returns the region of a zone; empty when it is not known.
func (m Map) Region(zone Zone) Region { return m[zone] }

// Knows reports whether a zone lies in a region.
func (m Map) Knows(region Region) bool {
	for _, of := range m {
		if of == region {
			return region != ""
		}
	}
	return false
}

// Homes are the regions in which alone something may be served. The zero Homes bounds
// nothing. Homes are comparable: equal ones allow the same regions.
type Homes struct {
	bound bool
	// regions are those allowed, sorted, each between separators, so that a look-up
	// needs no memory.
	regions string
}

// separator cannot be a part of a region's name: NewHomes leaves such names out.
const separator = "\x00"

// NewHomes returns homes in the regions named; none for no regions.
func NewHomes(regions []Region) Homes {
	if len(regions) == 0 {
		return Homes{}
	}
	names := make([]string, 0, len(regions))
	for _, region := range regions {
		if region != "" && !strings.Contains(string(region), separator) {
			names = append(names, string(region))
		}
	}
	slices.Sort(names)
	names = slices.Compact(names)
	if len(names) == 0 {
		return Homes{bound: true}
	}
	return Homes{bound: true, regions: separator + strings.Join(names, separator) + separator}
}

// Bound reports whether the homes bound anything.
func (h Homes) Bound() bool { return h.bound }

// Allows reports whether something may be served in a region. A region that is not known
// is in no homes.
func (h Homes) Allows(region Region) bool {
	if !h.bound {
		return true
	}
	if region == "" {
		return false
	}
	for rest := h.regions; len(rest) > len(separator); {
		rest = rest[len(separator):]
		end := strings.Index(rest, separator)
		if rest[:end] == string(region) {
			return true
		}
		rest = rest[end:]
	}
	return false
}

// Regions lists the regions allowed, sorted; none when nothing is bound.
func (h Homes) Regions() []Region {
	var regions []Region
	for name := range strings.SplitSeq(strings.Trim(h.regions, separator), separator) {
		if name != "" {
			regions = append(regions, Region(name))
		}
	}
	return regions
}

// Names lists the regions for messages; one empty name when no region is allowed, none
// when nothing is bound.
func (h Homes) Names() []string {
	if h.bound && h.regions == "" {
		return []string{""}
	}
	var names []string
	for _, region := range h.Regions() {
		names = append(names, string(region))
	}
	return names
}

// HomesOf reads what Names lists.
func HomesOf(names []string) Homes {
	regions := make([]Region, 0, len(names))
	for _, name := range names {
		regions = append(regions, Region(name))
	}
	return NewHomes(regions)
}

// And returns the homes that both allow. Where both bind and have no region in common,
// nothing may be served.
func (h Homes) And(other Homes) Homes {
	switch {
	case !h.bound:
		return other
	case !other.bound, h == other:
		return h
	}
	common := slices.DeleteFunc(h.Regions(), func(region Region) bool { return !other.Allows(region) })
	if len(common) == 0 {
		return Homes{bound: true}
	}
	return NewHomes(common)
}

// String lists the regions for logs; "any" when nothing is bound, "none" when
// no region is allowed.
func (h Homes) String() string {
	if !h.bound {
		return "any"
	}
	if h.regions == "" {
		return "none"
	}
	return strings.ReplaceAll(strings.Trim(h.regions, separator), separator, ",")
}
