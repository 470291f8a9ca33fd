package fleet

import "lilacvane/internal/place"

// noRules take nothing out.
type noRules struct{}

func (noRules) Drained(_, _ string) bool { return false }

func (noRules) ZoneOut(place.Zone) bool { return false }

// drains are the runners that planned stops empty.
type drains map[string]bool

func (d drains) Drained(runner, _ string) bool { return d[runner] }

func (drains) ZoneOut(place.Zone) bool { return false }
