package node

import (
	"context"
	"sync/atomic"
	"time"

	"lilacvane/internal/evacuation"
	"lilacvane/internal/place"
)

// zones tracks the zones that operators evacuated and notifies other components of changes. The
// follower of the operators' table writes it, run notifies, and any goroutine may read it.
type zones struct {
	node *Node
	// table is nil until the operators' table was read completely.
	table atomic.Pointer[evacuation.Table]
	// updated is signaled when the table changed.
	updated chan struct{}
	// keys maps the keys of the rows that evacuated zones to these.
	keys map[string]place.Zone
	// reported is the state of each zone that run last reported.
	reported map[place.Zone]evacuation.State
}

func newZones(n *Node) *zones {
	return &zones{node: n, updated: make(chan struct{}, 1), keys: make(map[string]place.Zone), reported: make(map[place.Zone]evacuation.State)}
}

// applySnapshot replaces the set of evacuated zones.
func (z *zones) applySnapshot(rows []evacuation.Row) {
	z.replaceTable(z.table.Load().ApplySnapshot(rows, time.Now()))
}

// applyChanges applies changed rows. gap is the time since the table was last confirmed.
func (z *zones) applyChanges(rows []evacuation.Row, gap time.Duration) {
	s := z.node.settings.Load()
	bounds := evacuation.Bounds{Within: s.Evacuation.Within, PropagationDelay: s.Configuration.Within}
	z.replaceTable(z.table.Load().ApplyChanges(rows, gap, bounds, time.Now()))
}

// contradicts reports whether a row tells the opposite of what is known of its zone.
func (z *zones) contradicts(row evacuation.Row) bool { return z.table.Load().Contradicts(row) }

// keysOut returns the keys of the rows by which zones are out.
func (z *zones) keysOut() []string {
	var keys []string
	for key, zone := range z.keys {
		if !z.contradicts(evacuation.Row{Zone: zone}) {
			keys = append(keys, key)
		}
	}
	return keys
}

func (z *zones) replaceTable(table *evacuation.Table) {
	z.table.Store(table)
	select {
	case z.updated <- struct{}{}:
	default:
	}
}

// state returns the evacuation state of a zone.
func (z *zones) state(zone place.Zone) evacuation.State {
	table := z.table.Load()
	if table.NeverOut() {
		return evacuation.In
	}
	return table.State(zone, time.Now())
}

// since returns the evacuation state of a zone and when this node learned of it, or the zero time
// if unknown.
func (z *zones) since(zone place.Zone) (evacuation.State, time.Time) {
	now := time.Now()
	table := z.table.Load()
	for _, status := range table.Zones(now) {
		if status.Zone != zone {
			continue
		}
		if status.State == evacuation.Returning {
			return status.State, status.ReturnedAt
		}
		return status.State, status.LearnedAt
	}
	return table.State(zone, now), time.Time{}
}

// Share returns which fraction of its usual traffic, 0 to 1, a zone should get now where there is a
// choice.
func (z *zones) Share(zone place.Zone) float64 {
	table := z.table.Load()
	if table.NeverOut() {
		return 1
	}
	return table.Share(zone, time.Now())
}

// returnedAt returns when the last evacuation of a zone ended, as known to this node, or the zero
// time if there was none.
func (z *zones) returnedAt(zone place.Zone) time.Time {
	at, _ := z.table.Load().ReturnedAt(zone)
	return at
}

// run reports each change of a zone's state until ctx ends.
func (z *zones) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-z.updated:
		case <-timer.C:
		}
		now := time.Now()
		z.reportChanges(now)
		if next, ok := z.table.Load().NextChange(now); ok {
			timer.Reset(time.Until(next))
		}
	}
}

// reportChanges wakes waiting requests and the controllers when a zone's state changed.
func (z *zones) reportChanges(now time.Time) {
	changed := false
	for _, status := range z.table.Load().Zones(now) {
		if z.reported[status.Zone] == status.State {
			continue
		}
		changed = true
		z.logChange(status, now)
		z.reported[status.Zone] = status.State
	}
	if changed {
		z.node.fleet.Wake()
		z.node.controls.wake()
	}
}

// logChange logs a change of a zone's state and its cause.
func (z *zones) logChange(status evacuation.Status, now time.Time) {
	runners := z.node.fleet.CountIn(status.Zone)
	region := z.node.settings.Load().Zones.Region(status.Zone)
	fields := []any{"zone", string(status.Zone), "before", z.reported[status.Zone].String(), "state", status.State.String(),
		"revision", status.Revision, "runners", runners, "known", region != "" || runners > 0}
	if status.State == evacuation.In || status.State == evacuation.Returning {
		fields = append(fields, "returnedMs", now.Sub(status.ReturnedAt).Milliseconds())
	} else {
		fields = append(fields, "heardMs", now.Sub(status.LearnedAt).Milliseconds(), "leftInMs", max(status.LeftAt.Sub(now), 0).Milliseconds())
	}
	z.node.log.Info("zone's state changed", fields...)
	z.node.recordDecision("zone/"+string(status.Zone), "change zone's state", status.State.String())
}
