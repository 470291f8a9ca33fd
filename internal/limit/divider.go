package limit

import (
	"slices"
	"time"

	"lilacvane/internal/tenant"
)

const (
	// lenderSilence is how long a lender may be silent before another one is chosen:
	// eight reports.
	lenderSilence = 2 * time.Second
	// reserveAfter is how long a divider gathers reports before it divides the reserve: parts
	// for too few nodes would have to be taken back.
	reserveAfter = 3 * time.Second
	// reserveRoom is for how many times as many nodes the reserve is divided, so that some
	// may join before parts are taken back.
	reserveRoom = 1.25
	// silenceMargin is how much longer than Lifetime a silent node's part is kept.
	silenceMargin = time.Second
	// startSpread is how long after it took over a divider lets buckets begin with
	// something: the nodes that were started with it have found it by then.
	startSpread = 2 * time.Second
	// startMargin is what may lie between the reading of the row and the divider's begin:
	// two calls to the store, and some.
	startMargin = 3 * time.Second
	// startedShare is the part of the nodes that have parts that must be started anew.
	startedShare = 0.5
)

// Divider divides limits among nodes. It works on a row (Record) that holds what nodes
// may have in force; its user writes what Next returns on condition that the row is still
// the one written before, and says with Confirmed that it was. When a write fails, or its
// outcome is not known, a new divider begins. It is not safe for concurrent use.
type Divider struct {
	// record is the row as it was read or confirmed last, next the one being written.
	record    *Record
	next      *Record
	nodes     map[string]*member
	tolerance tenant.Tolerance
	// began is when this divider took over: nodes may have been told something just
	// before. readAt is that on the clock of the row's table, or a little sooner.
	began  time.Time
	readAt time.Duration
	// startVersion is that of the row that lets buckets begin with something: what they
	// begin with goes by its parts, so that it is no more than the whole.
	startVersion Version
}

// NewDivider returns a divider that goes on from a row that was read at a time of the
// table's clock. Nothing may be told of a row that was only read, as what is read may be
// old: its user first writes the record that Begin makes of it, on condition that the row
// is still the one read.
func NewDivider(begun *Record, readAt time.Duration, tolerance tenant.Tolerance, now time.Time) *Divider {
	return &Divider{record: begun, nodes: make(map[string]*member), tolerance: tolerance, began: now, readAt: readAt}
}

// Begin returns the record that a new divider writes over the one it read; an empty one
// where there is none.
func Begin(read *Record) *Record {
	begun := read.clone()
	begun.Version++
	return begun
}

// Young reports whether the divider may still let buckets begin with something.
func (d *Divider) Young(now time.Time) bool { return now.Sub(d.began) < startSpread }

// claimStart says in the row that buckets begin with something, where most nodes were
// started anew and none did so within a window. It returns whether it did.
func (d *Divider) claimStart(next *Record, now time.Time) bool {
	if !d.Young(now) || d.startVersion > 0 {
		return false
	}
	if next.StartedAt > 0 && d.readAt-next.StartedAt < d.tolerance.Window+startSpread+startMargin {
		return false
	}
	fresh := 0
	for _, m := range d.nodes {
		if m.fresh {
			fresh++
		}
	}
	if fresh == 0 || float64(fresh) < startedShare*float64(len(next.Reserve)) {
		return false
	}
	next.StartedAt = max(d.readAt, time.Millisecond)
	d.startVersion = next.Version
	return true
}

// Report takes a node's report and returns what it is to have in force.
func (d *Divider) Report(report Report, now time.Time) Grant {
	m := d.nodes[report.Node]
	if m == nil {
		m = &member{fresh: report.Version == 0, process: report.Process, replaced: make(map[string]bool), used: make(map[tenant.Name]*flow)}
		d.nodes[report.Node] = m
	}
	if m.replaced[report.Process] {
		// An old process's word that came late.
		return Grant{Same: true}
	}
	if m.process != report.Process {
		m.replaced[m.process] = true
		m.process, m.acked = report.Process, 0
	}
	m.address, m.region, m.spare, m.heard = report.Address, report.Region, report.Spare, now
	m.acked = max(m.acked, report.Version)
	for _, use := range report.Asked {
		m.flow(use.Tenant, now).add(use.Cost, float64(use.Requests), now)
	}
	starts := m.fresh && !m.started && d.startVersion > 0 && d.record.Version == d.startVersion && d.Young(now)
	if !starts && report.Version > 0 && report.Version >= d.record.changed(report.Node) {
		return Grant{Version: d.record.Version, Same: true}
	}
	if d.next != nil {
		// The row being written may give to others what a node had that was silent for long.
		return Grant{Same: true}
	}
	m.started = m.started || starts
	return Grant{Version: d.record.Version, Shares: d.record.shares(report.Node, report.Region), Reserve: d.record.Reserve.at(report.Node).Told, Start: starts}
}

// Asked is what is asked of a tenant's limit, in units a second.
func (d *Divider) Asked(name tenant.Name, now time.Time) float64 {
	sum := 0.0
	for _, m := range d.nodes {
		if used := m.used[name]; used != nil {
			sum += used.perSecond(now)
		}
	}
	return sum
}

// Lenders are the nodes that lend a tenant's limit.
func (d *Divider) Lenders(name tenant.Name) []string {
	var nodes []string
	if division := d.record.Tenants[name]; division != nil {
		for _, lender := range division.Lenders {
			nodes = append(nodes, lender.Node)
		}
	}
	return nodes
}

// Next returns the row that is to be written now; nil when nothing changes. limited are
// the tenants that have a limit.
func (d *Divider) Next(limited []*tenant.Tenant, now time.Time) *Record {
	d.next = nil
	next := d.record.clone()
	next.Version++
	d.settle(next, now)
	d.seed(next, limited, now)
	changed := false
	for _, t := range limited {
		if d.divide(t, next, now) {
			changed = true
		}
	}
	if d.withdraw(next, limited) {
		changed = true
	}
	if d.divideReserve(next, now) {
		changed = true
	}
	if d.claimStart(next, now) {
		changed = true
	}
	if !changed {
		// What nodes have given back is noted in memory; the next row holds it.
		next.Version--
		d.record = next
		return nil
	}
	d.next = next
	return next
}

// withdraw takes back the parts of tenants that have no limit any more.
func (d *Divider) withdraw(next *Record, limited []*tenant.Tenant) (changed bool) {
	for name, division := range next.Tenants {
		if slices.ContainsFunc(limited, func(t *tenant.Tenant) bool { return t.Name == name }) {
			continue
		}
		for _, entry := range division.Nodes {
			if entry.Told > 0 {
				entry.tell(0, next.Version)
				changed = true
			}
		}
		if len(division.Nodes) == 0 {
			delete(next.Tenants, name)
			changed = true
		}
	}
	return changed
}

// seed gives nodes that are new to this divider the weight by which an earlier one gave
// them their parts.
func (d *Divider) seed(record *Record, limited []*tenant.Tenant, now time.Time) {
	for node, m := range d.nodes {
		if m.seeded {
			continue
		}
		m.seeded = true
		for _, t := range limited {
			division := record.division(t.Name)
			entry := division.Nodes[node]
			if entry == nil || division.lends(node) {
				continue
			}
			m.flow(t.Name, now).addRate(float64(entry.Told)/float64(Whole)/ownHeadroom*t.Limit.Rate, now)
		}
	}
}

// Confirmed notes that the row returned by Next was written.
func (d *Divider) Confirmed() { d.record, d.next = d.next, nil }

// settle notes what nodes gave back of all pools. What was spent of a reserve before it was
// given back counts for a window from then on.
func (d *Divider) settle(next *Record, now time.Time) {
	for _, division := range next.Tenants {
		d.settlePool(division.Nodes, 0, now)
	}
	d.settlePool(next.Reserve, d.tolerance.Window, now)
}

// settlePool notes what nodes gave back: those that have what they were told last, and
// those that are silent for so long that they use nothing. It is free after delay.
func (d *Divider) settlePool(pool Pool, delay time.Duration, now time.Time) {
	for node, entry := range pool {
		heard := d.began
		if m := d.nodes[node]; m != nil {
			heard = m.heard
			if entry.givenBack.IsZero() && m.acked >= entry.Since {
				entry.givenBack = now
			}
		}
		if !entry.givenBack.IsZero() && now.Sub(entry.givenBack) >= delay {
			entry.Bound = entry.Told
		}
		if now.Sub(heard) > Lifetime+silenceMargin+delay {
			entry.Bound, entry.Told = 0, 0
		}
		if entry.Bound == 0 && entry.Told == 0 {
			delete(pool, node)
		}
	}
}

// divide moves a tenant's limit to where it is asked for. It returns whether that
// changes the row.
func (d *Divider) divide(t *tenant.Tenant, next *Record, now time.Time) bool {
	division := next.division(t.Name)
	changed := d.chooseLenders(t.Name, division, next.Version, now)
	targets := d.targets(t, division, now)
	return division.Nodes.move(targets, next.Version) || changed
}

// divideReserve gives all nodes an even part of the reserve.
func (d *Divider) divideReserve(next *Record, now time.Time) bool {
	if now.Sub(d.began) < reserveAfter {
		return false
	}
	targets := make(map[string]Part)
	for node := range d.nodes {
		if !d.silent(node, now) {
			targets[node] = 0
		}
	}
	for node := range next.Reserve {
		targets[node] = 0
	}
	even := Part(float64(Whole) / reserveRoom / float64(max(len(targets), 1)))
	for node := range targets {
		targets[node] = even
	}
	return next.Reserve.move(targets, next.Version)
}
