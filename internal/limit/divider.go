package limit

import (
	"slices"
	"time"

	"lilacvane/internal/tenant"
)

const (
	// lenderTimeout is how long a lender may go without reporting before another one is chosen:
	// eight report intervals.
	lenderTimeout = 2 * time.Second
	// reserveDelay is how long a new divider collects reports before it divides the reserve.
	// Parts computed for too few nodes would have to be taken back.
	reserveDelay = 3 * time.Second
	// reserveHeadroom divides the reserve among that many times the known nodes, so that some
	// can join before parts have to be taken back.
	reserveHeadroom = 1.25
	// expiryMargin is how much longer than Lifetime the part of a node that stopped reporting
	// stays allocated.
	expiryMargin = time.Second
	// startupWindow is how long after taking over a divider may grant buckets their initial
	// tokens. Nodes that were started together with it have found it by then.
	startupWindow = 2 * time.Second
	// startReadMargin bounds the time between reading the row and starting the divider: two
	// calls to the store, plus some slack.
	startReadMargin = 3 * time.Second
	// minRestartedFraction is the fraction of the nodes holding parts that must have restarted
	// before initial tokens are granted.
	minRestartedFraction = 0.5
)

// Divider divides limits among nodes. It maintains a row (Record) with what nodes may have in
// force. Its user writes the record that Next returns, on condition that the row is still the
// one written before, and calls Confirmed once the write succeeded. When a write fails, or its
// outcome is unknown, a new divider takes over. It is not safe for concurrent use.
type Divider struct {
	// record is the row as last read or confirmed, next the one being written.
	record    *Record
	next      *Record
	nodes     map[string]*member
	tolerance tenant.Tolerance
	// began is when this divider took over; its predecessor may have sent grants until then.
	// readAt is the same moment on the clock of the row's table, or slightly earlier.
	began  time.Time
	readAt time.Duration
	// fillVersion is the version of the row that grants initial tokens. The amounts follow the
	// parts in that row, so their sum is at most the whole.
	fillVersion Version
}

// NewDivider returns a divider that continues from a row that was read at readAt on the table's
// clock. A row that was only read may be outdated, so nothing in it may be granted to nodes: the
// caller first writes the record that Begin returns, on condition that the row is still the one
// read.
func NewDivider(record *Record, readAt time.Duration, tolerance tenant.Tolerance, now time.Time) *Divider {
	return &Divider{record: record, nodes: make(map[string]*member), tolerance: tolerance, began: now, readAt: readAt}
}

// Begin returns the record that a new divider writes over the one it read, or over an empty
// record if there was none.
func Begin(read *Record) *Record {
	begun := read.clone()
	begun.Version++
	return begun
}

// InStartup reports whether the divider may still grant initial tokens.
func (d *Divider) InStartup(now time.Time) bool { return now.Sub(d.began) < startupWindow }

// claimInitialFill marks the row as granting initial tokens, if most nodes restarted and no
// earlier row did so within a window. It reports whether it marked the row.
func (d *Divider) claimInitialFill(next *Record, now time.Time) bool {
	if !d.InStartup(now) || d.fillVersion > 0 {
		return false
	}
	if next.FilledAt > 0 && d.readAt-next.FilledAt < d.tolerance.Window+startupWindow+startReadMargin {
		return false
	}
	empty := 0
	for _, m := range d.nodes {
		if m.startedEmpty {
			empty++
		}
	}
	if empty == 0 || float64(empty) < minRestartedFraction*float64(len(next.Reserve)) {
		return false
	}
	next.FilledAt = max(d.readAt, time.Millisecond)
	d.fillVersion = next.Version
	return true
}

// Report records a node's report and returns the grant that the node is to apply.
func (d *Divider) Report(report Report, now time.Time) Grant {
	m := d.nodes[report.Node]
	if m == nil {
		m = &member{startedEmpty: report.Version == 0, process: report.Process, replaced: make(map[string]bool), used: make(map[tenant.Name]*usage)}
		d.nodes[report.Node] = m
	}
	if m.replaced[report.Process] {
		// A delayed report of an earlier process.
		return Grant{Unchanged: true}
	}
	if m.process != report.Process {
		m.replaced[m.process] = true
		m.process, m.acked = report.Process, 0
	}
	m.address, m.region, m.spare, m.lastReport = report.Address, report.Region, report.Spare, now
	m.acked = max(m.acked, report.Version)
	for _, use := range report.Asked {
		m.usageOf(use.Tenant, now).add(use.Cost, float64(use.Requests), now)
	}
	fill := m.startedEmpty && !m.filledInitially && d.fillVersion > 0 && d.record.Version == d.fillVersion && d.InStartup(now)
	if !fill && report.Version > 0 && report.Version >= d.record.changed(report.Node) {
		return Grant{Version: d.record.Version, Unchanged: true}
	}
	if d.next != nil {
		// The row being written may give other nodes the part of this one, if it did not report
		// for a long time.
		return Grant{Unchanged: true}
	}
	m.filledInitially = m.filledInitially || fill
	return Grant{Version: d.record.Version, Shares: d.record.shares(report.Node, report.Region), Reserve: d.record.Reserve.at(report.Node).Assigned, FillInitially: fill}
}

// DemandRate returns the demand for a tenant's limit at all nodes, in the limit's unit per second.
func (d *Divider) DemandRate(name tenant.Name, now time.Time) float64 {
	sum := 0.0
	for _, m := range d.nodes {
		if used := m.used[name]; used != nil {
			sum += used.perSecond(now)
		}
	}
	return sum
}

// Lenders returns the nodes that lend a tenant's limit.
func (d *Divider) Lenders(name tenant.Name) []string {
	var nodes []string
	if division := d.record.Tenants[name]; division != nil {
		for _, lender := range division.Lenders {
			nodes = append(nodes, lender.Node)
		}
	}
	return nodes
}

// Next returns the record to write now, or nil if nothing changes. limited holds the tenants
// that have a limit.
func (d *Divider) Next(limited []*tenant.Tenant, now time.Time) *Record {
	d.next = nil
	next := d.record.clone()
	next.Version++
	d.reclaim(next, now)
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
	if d.claimInitialFill(next, now) {
		changed = true
	}
	if !changed {
		// Returned parts are kept in memory until the next row is written.
		next.Version--
		d.record = next
		return nil
	}
	d.next = next
	return next
}

// withdraw takes back the parts of tenants that no longer have a limit.
func (d *Divider) withdraw(next *Record, limited []*tenant.Tenant) (changed bool) {
	for name, division := range next.Tenants {
		if slices.ContainsFunc(limited, func(t *tenant.Tenant) bool { return t.Name == name }) {
			continue
		}
		for _, entry := range division.Nodes {
			if entry.Assigned > 0 {
				entry.assign(0, next.Version)
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

// seed initializes the usage of nodes that are new to this divider from the parts that an
// earlier divider gave them.
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
			m.usageOf(t.Name, now).addRate(float64(entry.Assigned)/float64(Whole)/ownHeadroom*t.Limit.Rate, now)
		}
	}
}

// Confirmed records that the row returned by Next was written.
func (d *Divider) Confirmed() { d.record, d.next = d.next, nil }

// reclaim frees the parts that nodes have returned in all pools. A part of the reserve becomes
// free one window after its return, because it may have been spent just before.
func (d *Divider) reclaim(next *Record, now time.Time) {
	for _, division := range next.Tenants {
		d.reclaimPool(division.Nodes, 0, now)
	}
	d.reclaimPool(next.Reserve, d.tolerance.Window, now)
}

// reclaimPool frees what nodes returned: nodes that confirmed their latest assignment, and nodes
// that have not reported for so long that their parts have expired. Returned parts become free
// after delay.
func (d *Divider) reclaimPool(pool Pool, delay time.Duration, now time.Time) {
	for node, entry := range pool {
		lastReport := d.began
		if m := d.nodes[node]; m != nil {
			lastReport = m.lastReport
			if entry.releasedAt.IsZero() && m.acked >= entry.Since {
				entry.releasedAt = now
			}
		}
		if !entry.releasedAt.IsZero() && now.Sub(entry.releasedAt) >= delay {
			entry.Bound = entry.Assigned
		}
		if now.Sub(lastReport) > Lifetime+expiryMargin+delay {
			entry.Bound, entry.Assigned = 0, 0
		}
		if entry.Bound == 0 && entry.Assigned == 0 {
			delete(pool, node)
		}
	}
}

// divide moves a tenant's limit to the nodes where it is requested. It reports whether that
// changes the row.
func (d *Divider) divide(t *tenant.Tenant, next *Record, now time.Time) bool {
	division := next.division(t.Name)
	changed := d.chooseLenders(t.Name, division, next.Version, now)
	targets := d.targets(t, division, now)
	return division.Nodes.rebalance(targets, next.Version) || changed
}

// divideReserve gives all nodes equal parts of the reserve.
func (d *Divider) divideReserve(next *Record, now time.Time) bool {
	if now.Sub(d.began) < reserveDelay {
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
	even := Part(float64(Whole) / reserveHeadroom / float64(max(len(targets), 1)))
	for node := range targets {
		targets[node] = even
	}
	return next.Reserve.rebalance(targets, next.Version)
}
