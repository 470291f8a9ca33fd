package node

import (
	"context"
	"sync/atomic"
	"time"

	"lilacvane/internal/evacuation"
	"lilacvane/internal/place"
)

// zones keeps which zones operators have taken out, and tells the parts of the node when
// that changes. The follower of the operators' table writes, run tells, anybody reads.
type zones struct {
	node *Node
	// table is nil until the operators' table was read whole.
	table atomic.Pointer[evacuation.Table]
	// news holds a word when the table changed and run has not looked yet.
	news chan struct{}
	// told is what run last told of each zone.
	told map[place.Zone]evacuation.State
}

func newZones(n *Node) *zones {
	return &zones{node: n, news: make(chan struct{}, 1), told: make(map[place.Zone]evacuation.State)}
}

// whole takes all zones that are out.
func (z *zones) whole(rows []evacuation.Row) { z.put(z.table.Load().Whole(rows, time.Now())) }

// changed takes changes. gap is how long nothing had been heard before.
func (z *zones) changed(rows []evacuation.Row, gap time.Duration) {
	s := z.node.settings.Load()
	bounds := evacuation.Bounds{Within: s.Evacuation.Within, News: s.Configuration.Within}
	z.put(z.table.Load().Changed(rows, gap, bounds, time.Now()))
}

func (z *zones) put(table *evacuation.Table) {
	z.table.Store(table)
	select {
	case z.news <- struct{}{}:
	default:
	}
}

// state returns how far a zone is out.
func (z *zones) state(zone place.Zone) evacuation.State {
	table := z.table.Load()
	if table.Quiet() {
		return evacuation.In
	}
	return table.State(zone, time.Now())
}

// since returns how far a zone is out, and when that was heard; the zero time when that is
// not known.
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
		return status.State, status.HeardAt
	}
	return table.State(zone, now), time.Time{}
}

// Share is the part, 0 to 1, of what a zone would be given that it is to be given now,
// where there is a choice.
func (z *zones) Share(zone place.Zone) float64 {
	table := z.table.Load()
	if table.Quiet() {
		return 1
	}
	return table.Share(zone, time.Now())
}

// returned returns when a zone was heard to be taken back last; the zero time for never.
func (z *zones) returned(zone place.Zone) time.Time {
	at, _ := z.table.Load().ReturnedAt(zone)
	return at
}

// run tells the parts of the node of each change of a zone's state until ctx ends.
func (z *zones) run(ctx context.Context) {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-z.news:
		case <-timer.C:
		}
		now := time.Now()
		z.tell(now)
		if next, ok := z.table.Load().Next(now); ok {
			timer.Reset(time.Until(next))
		}
	}
}

// tell wakes what waits, and the controllers, when a zone's state changed.
func (z *zones) tell(now time.Time) {
	changed := false
	for _, status := range z.table.Load().Zones(now) {
		if z.told[status.Zone] == status.State {
			continue
		}
		changed = true
		z.note(status, now)
		z.told[status.Zone] = status.State
	}
	if changed {
		z.node.fleet.Wake()
		z.node.controls.wake()
	}
}

// note logs a change of a zone's state with what it came from.
func (z *zones) note(status evacuation.Status, now time.Time) {
	runners := z.node.fleet.CountIn(status.Zone)
	region := z.node.settings.Load().Zones.Region(status.Zone)
	fields := []any{"zone", string(status.Zone), "before", z.told[status.Zone].String(), "state", status.State.String(),
		"revision", status.Revision, "runners", runners, "known", region != "" || runners > 0}
	if status.State == evacuation.In || status.State == evacuation.Returning {
		fields = append(fields, "returnedMs", now.Sub(status.ReturnedAt).Milliseconds())
	} else {
		fields = append(fields, "heardMs", now.Sub(status.HeardAt).Milliseconds(), "leftInMs", max(status.LeftAt.Sub(now), 0).Milliseconds())
	}
	z.node.log.Info("zone's state changed", fields...)
	z.node.decide("zone/"+string(status.Zone), "change zone's state", status.State.String())
}
