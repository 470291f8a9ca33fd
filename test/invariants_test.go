package test

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/place"
)

// outage is an interval in which nothing new may be sent to the runners of a zone.
type outage struct {
	zone     place.Zone
	from, to time.Time
	// isolated are the nodes that were cut off for a part of it.
	isolated []string
}

// runnerZones returns the zone of each runner that ever ran in a world.
func runnerZones(w *world.World) map[string]place.Zone {
	zones := make(map[string]place.Zone)
	for name, runner := range w.Runners {
		zones[name] = runner.Zone()
	}
	return zones
}

// orderingNode returns the node that sent a request or ordered a load, or "" if the record
// does not name one.
func orderingNode(record journal.Record) string {
	if _, owner, ordered := strings.Cut(record.Detail, " owner "); ordered {
		return owner
	}
	if end := strings.LastIndex(record.Request, "-"); end > 0 {
		return record.Request[:end]
	}
	return ""
}

// checkOutage returns an error if a node that was not isolated sent something new to a zone
// during an outage.
func (h history) checkOutage(o outage, zones map[string]place.Zone) error {
	for _, record := range h.records {
		isNew := record.Event == journal.EventRun || record.Event == journal.EventLoad
		if !isNew || zones[record.Runner] != o.zone || record.Time.Before(o.from) || !record.Time.Before(o.to) {
			continue
		}
		if !slices.Contains(o.isolated, orderingNode(record)) {
			return fmt.Errorf("%s after nothing new may go to %s: %+v", record.Time.Sub(o.from), o.zone, record)
		}
	}
	return nil
}

// checkColdBound returns an error if a cold runner received more than most requests within
// one second.
func (h history) checkColdBound(most int) error {
	for _, record := range h.records {
		if record.Event != journal.EventColdPeak {
			continue
		}
		if count, err := strconv.Atoi(record.Detail); err != nil || count > most {
			return fmt.Errorf("%s requests within a second, at most %d: %+v", record.Detail, most, record)
		}
	}
	return nil
}

// checkHomes returns an error if a request of a tenant ran outside its home regions.
func (h history) checkHomes(tenant string, homes place.Homes, region func(runner string) place.Region) error {
	for _, record := range h.records {
		if record.Event == journal.EventRun && record.Tenant == tenant && !homes.Allows(region(record.Runner)) {
			return fmt.Errorf("ran in %q, outside %s: %+v", region(record.Runner), homes, record)
		}
	}
	return nil
}

// TestPartsAreChecked: the checks of outages, cold runners and home regions fail for
// violations and for nothing else.
func TestPartsAreChecked(t *testing.T) {
	t.Parallel()
	begin := time.Unix(1000, 0)
	zones := map[string]place.Zone{"r1": "zone-a", "r2": "zone-b"}
	o := outage{zone: "zone-a", from: begin, to: begin.Add(time.Second), isolated: []string{"node-2"}}
	record := func(after time.Duration, change func(*journal.Record)) history {
		r := journal.Record{Time: begin.Add(after), Runner: "r1", Event: journal.EventRun, Request: "node-1-X", Tenant: "club"}
		change(&r)
		return history{records: []journal.Record{r}}
	}
	unchanged := func(*journal.Record) {}
	for name, test := range map[string]struct {
		h      history
		passes bool
	}{
		"new in the outage":     {record(time.Millisecond, unchanged), false},
		"load in the outage":    {record(0, func(r *journal.Record) { r.Event, r.Request, r.Detail = journal.EventLoad, "", "store owner node-1" }), false},
		"before":                {record(-time.Millisecond, unchanged), true},
		"taken back":            {record(time.Second, unchanged), true},
		"another zone":          {record(0, func(r *journal.Record) { r.Runner = "r2" }), true},
		"the end of an old one": {record(0, func(r *journal.Record) { r.Event = journal.EventFinished }), true},
		"a node apart":          {record(0, func(r *journal.Record) { r.Request = "node-2-X" }), true},
		"an order of a node apart": {record(0, func(r *journal.Record) {
			r.Event, r.Request, r.Detail = journal.EventLoad, "", "store owner node-2"
		}), true},
	} {
		assert.Equal(t, test.h.checkOutage(o, zones) == nil, test.passes, name)
	}
	peak := record(0, func(r *journal.Record) { r.Event, r.Detail = journal.EventColdPeak, "7" })
	assert.NilError(t, peak.checkColdBound(7))
	assert.Assert(t, peak.checkColdBound(6) != nil)
	south := func(string) place.Region { return "south" }
	assert.NilError(t, record(0, unchanged).checkHomes("club", place.NewHomes([]place.Region{"south"}), south))
	assert.NilError(t, record(0, unchanged).checkHomes("other", place.NewHomes([]place.Region{"north"}), south))
	assert.Assert(t, record(0, unchanged).checkHomes("club", place.NewHomes([]place.Region{"north"}), south) != nil)
}
