// Package evacuation keeps which zones operators have taken out, as this node has heard:
// each goes from In to Leaving, in which models that only it serves are brought up
// elsewhere, to Out, in which nothing new goes there; and when it is taken back through
// Returning, in which demand comes back by degrees. It is pure: a Table never changes,
// each piece of news makes a new one, and the time is handed in.
package evacuation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"lilacvane/internal/place"
)

const (
	// sendMargin is the longest way of a request from the choice of its runner to its
	// arrival there: a connection may take 350 ms (upstream), the way some ms.
	sendMargin = 500 * time.Millisecond
	// answerAge is how old at most what an answer tells may be: a relay that heard of the
	// store 0.9 s ago still answers (relay), which takes a moment.
	answerAge = time.Second
	// returnRamp is the time in which a zone's share rises from nothing to all of it. A
	// runner that starts is slow for some seconds, and what it is sent at first shows
	// what it bears. The figure is measured, see docs/design/newcomers.md.
	returnRamp = 3 * time.Second
)

// State is how far a zone is out.
type State uint8

// The states of a zone.
const (
	// In is a zone as any other.
	In State = iota
	// Leaving is a zone that was taken out and that still serves what nobody else can.
	Leaving
	// Out is a zone to which nothing new goes.
	Out
	// Returning is a zone that was taken back and that is not yet given its full share.
	Returning
)

// String names the state as logs spell it.
func (s State) String() string {
	return [...]string{"in", "leaving", "out", "returning"}[s]
}

// Bounds are the times by which a zone's states change.
type Bounds struct {
	// Within is how late after a zone was taken out something may still arrive there.
	Within time.Duration
	// News is how long it takes at most until a node hears what operators wrote.
	News time.Duration
}

// lead is how long a zone is Leaving, given that nothing was heard for gap before its
// row: the row is no older than that and the age of an answer, which News bounds as long
// as answers come.
func (b Bounds) lead(gap time.Duration) time.Duration {
	return max(b.Within-max(b.News, gap+answerAge)-sendMargin, 0)
}

// Row is what operators wrote about a zone.
type Row struct {
	Zone     place.Zone
	Revision uint64
	// Back is set when the zone was taken back.
	Back bool
}

// Table is what is known of the zones. It never changes. A nil Table knows nothing, so
// that any zone may be out.
type Table struct {
	zones map[place.Zone]entry
}

// entry is a zone that was taken out once.
type entry struct {
	// revision is that of the newest word on it.
	revision uint64
	out      bool
	// heardAt is when it was heard that the zone is out; leftAt is when nothing more
	// goes there.
	heardAt time.Time
	leftAt  time.Time
	// returnedAt is when it was heard that the zone was taken back.
	returnedAt time.Time
}

// Whole takes all zones that are out; those that are missing were taken back. How old a
// row is that was not known before, a whole read does not tell, so such a zone is Out.
func (t *Table) Whole(rows []Row, now time.Time) *Table {
	next := t.copy()
	listed := make(map[place.Zone]bool, len(rows))
	for _, row := range rows {
		if row.Back {
			continue
		}
		listed[row.Zone] = true
		next.take(row, now, now)
	}
	for zone, known := range next.zones {
		if known.out && !listed[zone] {
			next.zones[zone] = known.back(known.revision, now)
		}
	}
	return next
}

// Changed takes changes, in their order. gap is how long nothing had been heard before.
// Before the zones were read whole, changes alone say nothing.
func (t *Table) Changed(rows []Row, gap time.Duration, bounds Bounds, now time.Time) *Table {
	if t == nil {
		return nil
	}
	next := t.copy()
	for _, row := range rows {
		known, seen := next.zones[row.Zone]
		switch {
		case seen && row.Revision <= known.revision:
			// Older news.
		case !row.Back:
			next.take(row, now, now.Add(bounds.lead(gap)))
		default:
			// The zone was out since, even where this is the first word of it: of each row
			// the last change alone is told.
			next.zones[row.Zone] = known.back(row.Revision, now)
		}
	}
	return next
}

func (t *Table) copy() *Table {
	if t == nil {
		return &Table{zones: make(map[place.Zone]entry)}
	}
	return &Table{zones: maps.Clone(t.zones)}
}

// take notes that a zone is out from leftAt on. News of a zone that is out already do
// not put that off.
func (t *Table) take(row Row, now, leftAt time.Time) {
	known, seen := t.zones[row.Zone]
	switch {
	case seen && known.out:
		known.revision = max(known.revision, row.Revision)
		t.zones[row.Zone] = known
	case seen && row.Revision <= known.revision:
		// The zone was taken back since.
	default:
		t.zones[row.Zone] = entry{revision: row.Revision, out: true, heardAt: now, leftAt: leftAt, returnedAt: known.returnedAt}
	}
}

func (e entry) back(revision uint64, now time.Time) entry {
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

// Read reports whether the zones were read whole.
func (t *Table) Read() bool { return t != nil }

// Quiet reports whether no zone was ever heard to be out.
func (t *Table) Quiet() bool { return t != nil && len(t.zones) == 0 }

// State returns how far a zone is out.
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

// Share is the part, 0 to 1, of what a zone would be given that it is to be given now,
// where there is a choice.
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

// ReturnedAt returns when a zone was last heard to be taken back; false when it never was,
// or is out again. What its runners said of themselves before need not hold any more.
func (t *Table) ReturnedAt(zone place.Zone) (time.Time, bool) {
	if t == nil {
		return time.Time{}, false
	}
	known := t.zones[zone]
	return known.returnedAt, !known.out && !known.returnedAt.IsZero()
}

// Status describes a zone that was taken out once.
type Status struct {
	Zone     place.Zone
	State    State
	Revision uint64
	// HeardAt is when the zone was heard to be out, LeftAt when it is Out, ReturnedAt when
	// it was heard to be taken back; zero where it was not.
	HeardAt    time.Time
	LeftAt     time.Time
	ReturnedAt time.Time
}

// Zones describes all zones that were taken out once, by name.
func (t *Table) Zones(now time.Time) []Status {
	if t == nil {
		return nil
	}
	statuses := make([]Status, 0, len(t.zones))
	for zone, known := range t.zones {
		statuses = append(statuses, Status{
			Zone: zone, State: known.state(now), Revision: known.revision, HeardAt: known.heardAt, LeftAt: known.leftAt, ReturnedAt: known.returnedAt,
		})
	}
	slices.SortFunc(statuses, func(a, b Status) int { return cmp.Compare(a.Zone, b.Zone) })
	return statuses
}

// CountOut returns how many zones are Leaving or Out.
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

// Next returns when a zone's state changes next without news; false when none does.
func (t *Table) Next(now time.Time) (next time.Time, ok bool) {
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
