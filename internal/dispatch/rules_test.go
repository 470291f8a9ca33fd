package dispatch

import "lilacvane/internal/place"

// noRules exclude nothing.
type noRules struct{}

func (noRules) Drained(_, _ string) bool { return false }

func (noRules) ZoneOut(place.Zone) bool { return false }
