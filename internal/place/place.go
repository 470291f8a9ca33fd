// Package place defines zones and regions, and the regions in which something may be served.
// It does no I/O and keeps no state.
package place

import (
	"slices"
	"strings"
)

// Zone is the name of a zone: a group of machines that may fail or be taken out of service
// together.
type Zone string

// Region is the name of a region: a group of zones with low latency between them.
type Region string

// Map holds the region of each zone.
type Map map[Zone]Region

// Region returns the region of a zone; empty if not known.
func (m Map) Region(zone Zone) Region { return m[zone] }

// HasRegion reports whether the map has a zone in a region; false for the empty region.
func (m Map) HasRegion(region Region) bool {
	for _, of := range m {
		if of == region {
			return region != ""
		}
	}
	return false
}

// Homes are the only regions in which something may be served. The zero value allows all
// regions. Homes are comparable: equal values allow the same regions.
type Homes struct {
	restricted bool
	// regions holds the allowed regions, sorted, with a separator before and after each, so
	// that a lookup allocates nothing.
	regions string
}

// separator cannot occur in the name of a region: NewHomes drops such names.
const separator = "\x00"

// NewHomes returns homes that allow the given regions; the zero Homes if there are none.
// Invalid names, empty or with a separator, are dropped; if only such names are given, no
// region is allowed.
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
		return Homes{restricted: true}
	}
	return Homes{restricted: true, regions: separator + strings.Join(names, separator) + separator}
}

// Restricted reports whether the homes restrict anything.
func (h Homes) Restricted() bool { return h.restricted }

// Allows reports whether something may be served in a region. A region that is not known is in
// no homes.
func (h Homes) Allows(region Region) bool {
	if !h.restricted {
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

// Regions returns the allowed regions, sorted; nil if nothing is restricted.
func (h Homes) Regions() []Region {
	var regions []Region
	for name := range strings.SplitSeq(strings.Trim(h.regions, separator), separator) {
		if name != "" {
			regions = append(regions, Region(name))
		}
	}
	return regions
}

// Names returns the regions for messages: a single empty name if no region is allowed, nil if
// nothing is restricted.
func (h Homes) Names() []string {
	if h.restricted && h.regions == "" {
		return []string{""}
	}
	var names []string
	for _, region := range h.Regions() {
		names = append(names, string(region))
	}
	return names
}

// HomesFromNames parses what Names returns.
func HomesFromNames(names []string) Homes {
	regions := make([]Region, 0, len(names))
	for _, name := range names {
		regions = append(regions, Region(name))
	}
	return NewHomes(regions)
}

// Intersect returns the homes that both allow. If both are restricted and have no region in
// common, no region is allowed.
func (h Homes) Intersect(other Homes) Homes {
	switch {
	case !h.restricted:
		return other
	case !other.restricted, h == other:
		return h
	}
	common := slices.DeleteFunc(h.Regions(), func(region Region) bool { return !other.Allows(region) })
	if len(common) == 0 {
		return Homes{restricted: true}
	}
	return NewHomes(common)
}

// String lists the regions for logs: "any" if nothing is restricted, "none" if no region is
// allowed.
func (h Homes) String() string {
	if !h.restricted {
		return "any"
	}
	if h.regions == "" {
		return "none"
	}
	return strings.ReplaceAll(strings.Trim(h.regions, separator), separator, ",")
}
