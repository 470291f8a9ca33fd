package fleet

import "lilacvane/internal/place"

// noRules takes no runner and no zone out.
type noRules struct{}

func (noRules) Drained(_, _ string) bool { return false }

func (noRules) ZoneOut(place.Zone) bool { return false }

// drains is the set of runners that planned stops drain.
type drains map[string]bool

func (d drains) Drained(runner, _ string) bool { return d[runner] }

func (drains) ZoneOut(place.Zone) bool { return false }
