// Package evacuation tracks the zones that operators have taken out, as known to this node. A
// zone goes from In to Leaving, during which models served only there are loaded elsewhere,
// and then to Out, where it gets no new requests. When it is taken back, it goes through
// Returning, during which its share of requests rises gradually. The package does no I/O and
// doesn't read the clock. A Table is immutable: each update returns a new one.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/place"
	"lilacvane/internal/table"
)

const (
	// sendMargin is the longest time from the choice of a runner until the request arrives
	// there: making a connection may take 350 ms (see package upstream), and the transfer
	// some ms.
	sendMargin = 500 * time.Millisecond
	// maxAnswerAge is the maximum age of the information in an answer: a relay still answers
	// 0.9 s after the store last answered it (see package relay), and its answer takes a moment.
	maxAnswerAge = time.Second
	// returnRamp is the time in which a zone's share rises from zero to one. A runner that
	// has just started is slow for some seconds, and the first requests show its capacity.
	// See docs/design/newcomers.md.
	returnRamp = 3 * time.Second
)

// State is the state of a zone: in use, out, or on the way between these.
type State uint8

// States of a zone.
const (
	// In is the normal state.
	In State = iota
	// Leaving is a zone that was taken out and still serves what no other zone can.
	Leaving
	// Out is a zone that gets no new requests.
	Out
	// Returning is a zone that was taken back and doesn't get its full share yet.
	Returning
)

// String returns the state as it is written in logs.
func (s State) String() string {
	return [...]string{"in", "leaving", "out", "returning"}[s]
}

// Bounds are the time limits of the state changes.
type Bounds struct {
	// Within is how long after a zone was taken out a request may still arrive there.
	Within time.Duration
	// PropagationDelay is the maximum time until a node receives what operators wrote.
	PropagationDelay time.Duration
}

// leavingTime returns how long a zone is Leaving if nothing was received for gap before its
// row. The row is at most as old as gap plus the age of an answer, which PropagationDelay
// limits as long as answers arrive.
func (b Bounds) leavingTime(gap time.Duration) time.Duration {
	return max(b.Within-max(b.PropagationDelay, gap+maxAnswerAge)-sendMargin, 0)
}

// Row is an operator's change of a zone.
type Row struct {
	Zone     place.Zone
	Revision table.Revision
	// Returned is set if the zone was taken back.
	Returned bool
}

// Table holds the known state of the zones. It is immutable. In a nil Table nothing is known,
// so any zone may be out.
type Table struct {
	zones map[place.Zone]entry
}

// entry is a zone that was taken out at least once.
type entry struct {
	// revision is the revision of the latest row of the zone.
	revision table.Revision
	out      bool
	// learnedAt is when this node learned that the zone is out. leftAt is when the zone becomes
	// Out.
	learnedAt time.Time
	leftAt    time.Time
	// returnedAt is when this node learned that the zone was taken back.
	returnedAt time.Time
}

// ApplySnapshot returns the table after a full read of the zones that are out. Zones missing
// from rows were taken back. A full read doesn't tell the age of its rows, so a zone not known
// to be out before is Out at once.
func (t *Table) ApplySnapshot(rows []Row, now time.Time) *Table {
	next := t.copy()
	listed := make(map[place.Zone]bool, len(rows))
	for _, row := range rows {
		if row.Returned {
			continue
		}
		listed[row.Zone] = true
		next.markOut(row, now, now)
	}
	for zone, known := range next.zones {
		if known.out && !listed[zone] {
			next.zones[zone] = known.markReturned(known.revision, now)
		}
	}
	return next
}

// ApplyChanges returns the table after changes, in their order. gap is how long nothing had
// been received before. Changes are ignored until the zones have been read in full.
func (t *Table) ApplyChanges(rows []Row, gap time.Duration, bounds Bounds, now time.Time) *Table {
	if t == nil {
		return nil
	}
	next := t.copy()
	for _, row := range rows {
		known, seen := next.zones[row.Zone]
		switch {
		case seen && row.Revision <= known.revision:
			// The row is outdated.
		case !row.Returned:
			next.markOut(row, now, now.Add(bounds.leavingTime(gap)))
		default:
			// The zone was out since the last known row, even if that was not received: of
			// each row only the last change is sent.
			next.zones[row.Zone] = known.markReturned(row.Revision, now)
		}
	}
	return next
}

// Contradicts reports whether a row tells the opposite of what is known of its zone.
func (t *Table) Contradicts(row Row) bool {
	if t == nil {
		return false
	}
	known, seen := t.zones[row.Zone]
	return seen && known.out == row.Returned
}

// copy returns a table that may be changed; an empty one for a nil Table.
func (t *Table) copy() *Table {
	if t == nil {
		return &Table{zones: make(map[place.Zone]entry)}
	}
	return &Table{zones: maps.Clone(t.zones)}
}

// markOut records that a zone is out from leftAt on. Further rows for a zone that is already
// out don't postpone that.
func (t *Table) markOut(row Row, now, leftAt time.Time) {
	known, seen := t.zones[row.Zone]
	switch {
	case seen && known.out:
		known.revision = max(known.revision, row.Revision)
		t.zones[row.Zone] = known
	case seen && row.Revision <= known.revision:
		// The zone was taken back after this row.
	default:
		t.zones[row.Zone] = entry{revision: row.Revision, out: true, learnedAt: now, leftAt: leftAt, returnedAt: known.returnedAt}
	}
}

// markReturned returns the entry with its zone taken back at now.
func (e entry) markReturned(revision table.Revision, now time.Time) entry {
	e.revision, e.out, e.returnedAt = revision, false, now
	return e
}

func (e entry) state(now time.Time) State {
	switch {
	case e.out && now.Before(e.leftAt):
		return Leaving
	case e.out:
		return Out
	case now.Before(e.returnedAt.Add(returnRamp)):
		return Returning
	default:
		return In
	}
}

// Read reports whether the zones have ever been read in full.
func (t *Table) Read() bool { return t != nil }

// NeverOut reports whether the zones have been read in full and none was ever out.
func (t *Table) NeverOut() bool { return t != nil && len(t.zones) == 0 }

// State returns the state of a zone; Out if the zones have not been read in full.
func (t *Table) State(zone place.Zone, now time.Time) State {
	if t == nil {
		return Out
	}
	known, seen := t.zones[zone]
	if !seen {
		return In
	}
	return known.state(now)
}

// Share returns the fraction, 0 to 1, of its normal requests that a zone should get now if
// there is a choice.
func (t *Table) Share(zone place.Zone, now time.Time) float64 {
	switch t.State(zone, now) {
	case Leaving, Out:
		return 0
	case Returning:
		return float64(now.Sub(t.zones[zone].returnedAt)) / float64(returnRamp)
	default:
		return 1
	}
}

// ReturnedAt returns when this node last learned that the zone was taken back. It returns
// false if it never was or is out again. Earlier statements of the zone's runners may no
// longer be valid.
func (t *Table) ReturnedAt(zone place.Zone) (time.Time, bool) {
	if t == nil {
		return time.Time{}, false
	}
	known := t.zones[zone]
	return known.returnedAt, !known.out && !known.returnedAt.IsZero()
}

// Status describes a zone that was taken out at least once.
type Status struct {
	Zone     place.Zone
	State    State
	Revision table.Revision
	// LearnedAt is when this node learned that the zone is out, LeftAt when it becomes Out,
	// and ReturnedAt when this node learned that it was taken back. They are zero if that
	// did not happen.
	LearnedAt  time.Time
	LeftAt     time.Time
	ReturnedAt time.Time
}

// Zones returns all zones that were taken out at least once, sorted by name.
func (t *Table) Zones(now time.Time) []Status {
	if t == nil {
		return nil
	}
	statuses := make([]Status, 0, len(t.zones))
	for zone, known := range t.zones {
		statuses = append(statuses, Status{
			Zone: zone, State: known.state(now), Revision: known.revision, LearnedAt: known.learnedAt, LeftAt: known.leftAt, ReturnedAt: known.returnedAt,
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Zone, b.Zone) })
	return statuses
}

// CountOut returns the number of zones that are Leaving or Out.
func (t *Table) CountOut() int {
	if t == nil {
		return 0
	}
	count := 0
	for _, known := range t.zones {
		if known.out {
			count++
		}
	}
	return count
}

// NextChange returns when the state of a zone changes next without further rows. It returns
// false if none will.
func (t *Table) NextChange(now time.Time) (next time.Time, ok bool) {
	if t == nil {
		return time.Time{}, false
	}
	for _, known := range t.zones {
		at := known.leftAt
		if !known.out {
			at = known.returnedAt.Add(returnRamp)
		}
		if at.After(now) && (!ok || at.Before(next)) {
			next, ok = at, true
		}
	}
	return next, ok
}
