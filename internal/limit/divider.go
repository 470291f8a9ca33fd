package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/tenant"
)

const (
	// lenderCount is how many lenders a limit has: two of three carry what a tenant uses
	// in ordinary times when one is lost.
	lenderCount = 3
	// ownHeadroom is how much more than what is asked at a node its own part is, and
	// ownMost the most of a limit that lies with nodes other than lenders: the lenders
	// even out what comes unevenly.
	ownHeadroom = 1.3
	ownMost     = 0.5
	// ownRequests is how many mean requests a node's own part must hold to be of use.
	ownRequests = 4
	// leastPart is the least part of a bucket that is of use: a thousandth is less than one
	// request.
	leastPart = Whole / 1000
	// leastGiven is the least that is worth a row and a word to the node.
	leastGiven = Whole / 100_000
	// unevenLender is how many times an even part a lender may keep: when one of three is
	// lost, the even part falls to two thirds.
	unevenLender = 1.6
	// hysteresis is by which part of itself a share must be off before it is changed:
	// each change is written to a row and told to nodes.
	hysteresis = 0.3
	// useHalfLife is how fast a node's weight follows what is asked there. A tenant asks
	// at most nodes every few seconds only.
	useHalfLife = 8 * time.Second
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

// member is a node that reported.
type member struct {
	address  string
	spare    float64
	process  string
	replaced map[string]bool
	// acked is the newest version that its process said it has; zero when it has said none
	// to this divider: what it has then is not known.
	acked Version
	heard time.Time
	used  map[tenant.Name]*flow
	// fresh is set when it had nothing at its first report, started once its buckets began
	// with something.
	fresh   bool
	started bool
	// seeded is set once used was filled from the parts that an earlier divider gave.
	seeded bool
}

// flow is a fading sum of what was asked, by so many requests.
type flow struct {
	cost     float64
	requests float64
	at       time.Time
}

func (m *member) flow(name tenant.Name, now time.Time) *flow {
	if m.used[name] == nil {
		m.used[name] = &flow{at: now}
	}
	return m.used[name]
}

func (f *flow) add(cost, requests float64, now time.Time) {
	f.fade(now)
	f.cost += cost
	f.requests += requests
}

func (f *flow) fade(now time.Time) {
	kept := math.Exp2(-float64(now.Sub(f.at)) / float64(useHalfLife))
	f.cost *= kept
	f.requests *= kept
	f.at = now
}

// perSecond is what is asked a second.
func (f *flow) perSecond(now time.Time) float64 {
	f.fade(now)
	return f.cost * math.Ln2 / useHalfLife.Seconds()
}

const (
	// startSpread is how long after it took over a divider lets buckets begin with
	// something: the nodes that were started with it have found it by then.
	startSpread = 2 * time.Second
	// startMargin is what may lie between the reading of the row and the divider's begin:
	// two calls to the store, and some.
	startMargin = 3 * time.Second
	// startedShare is the part of the nodes that have parts that must be started anew.
	startedShare = 0.5
)

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
	m.address, m.spare, m.heard = report.Address, report.Spare, now
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
	return Grant{Version: d.record.Version, Shares: d.record.shares(report.Node), Reserve: d.record.Reserve.told(report.Node), Start: starts}
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
			asked := float64(entry.Told) / float64(Whole) / ownHeadroom * t.Limit.Rate
			m.flow(t.Name, now).add(asked*useHalfLife.Seconds()/math.Ln2, 0, now)
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

// off reports whether a part is so far from its target that it is changed.
func off(part, target Part) bool {
	return math.Abs(float64(target)-float64(part)) > hysteresis*float64(max(part, target))
}

// move tells nodes to have what they should: at once where that is less, and where it is
// more as far as nobody else may have it in force. It returns whether that changes the
// pool.
func (p Pool) move(targets map[string]Part, version Version) (changed bool) {
	for node, entry := range p {
		if off(entry.Told, targets[node]) && targets[node] < entry.Told {
			entry.tell(targets[node], version)
			changed = true
		}
	}
	return p.raise(targets, version) || changed
}

// raise gives nodes more, in proportion to what they lack.
func (p Pool) raise(targets map[string]Part, version Version) (changed bool) {
	lacking := make(map[string]int64)
	sum := int64(0)
	for node, target := range targets {
		told := p.told(node)
		if target <= told || !off(told, target) {
			continue
		}
		entry := p.entry(node)
		if entry.Bound > entry.Told {
			// It may still have more than it was told to have.
			entry.tell(min(target, entry.Bound), version)
			changed = true
		}
		if target > entry.Bound {
			lacking[node] = int64(target - entry.Bound)
			sum += lacking[node]
		}
	}
	free := p.free()
	for node, lacks := range lacking {
		given := Part(min(lacks, max(free, 0)*lacks/sum))
		if given < leastGiven {
			continue
		}
		entry := p[node]
		entry.Bound += given
		entry.tell(entry.Bound, version)
		changed = true
	}
	return changed
}

// targets are the parts that nodes should have: their own where that is of use, and what
// is left the lenders. What silent nodes may have in force is left to them.
func (d *Divider) targets(t *tenant.Tenant, division *Division, now time.Time) map[string]Part {
	targets := make(map[string]Part)
	left := float64(Whole)
	for node, entry := range division.Nodes {
		if !d.reports(node, now) {
			targets[node] = entry.Told
			left -= float64(entry.Bound)
		}
	}
	for node, part := range d.ownParts(t, division, ownMost*left, now) {
		targets[node] = Part(part)
		left -= part
	}
	lenders := slices.DeleteFunc(slices.Clone(division.Lenders), func(l Lender) bool { return !d.reports(l.Node, now) })
	for _, lender := range lenders {
		targets[lender.Node] = lenderTarget(division.Nodes.told(lender.Node), left/float64(len(lenders)))
	}
	return targets
}

// lenderTarget is what a lender should have when an even part is so much. What it has is
// moved only when it is much more: until the others have it, it is of use to nobody.
func lenderTarget(told Part, even float64) Part {
	if float64(told) > even && float64(told) <= unevenLender*even {
		return told
	}
	return Part(even)
}

// ownParts are the parts, up to most in all, that nodes other than lenders can use
// themselves: those of the nodes at which most is asked, as far as each holds some
// requests.
func (d *Divider) ownParts(t *tenant.Tenant, division *Division, most float64, now time.Time) map[string]float64 {
	cost, requests := 0.0, 0.0
	var asked []ownPart
	bucket := t.Limit.Budget(d.tolerance).Bucket
	for node, m := range d.nodes {
		used := m.used[t.Name]
		if used == nil || d.silent(node, now) {
			continue
		}
		perSecond := used.perSecond(now)
		cost += used.cost
		requests += used.requests
		if !division.lends(node) {
			asked = append(asked, ownPart{node: node, part: min(ownHeadroom*perSecond/bucket.Rate, 1) * float64(Whole)})
		}
	}
	slices.SortFunc(asked, func(a, b ownPart) int { return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.node, b.node)) })
	least := max(ownRequests*cost/max(requests, 1)/bucket.Capacity*float64(Whole), float64(leastPart))
	return fitting(asked, least, most)
}

// ownPart is what a node could use itself.
type ownPart struct {
	node string
	part float64
}

// fitting gives the first of a list, the largest first, their parts in proportion: to as
// many as can have least each and most in all.
func fitting(asked []ownPart, least, most float64) map[string]float64 {
	sum, count, scale := 0.0, 0, 1.0
	for i, own := range asked {
		sum += own.part
		if fits := min(1, most/max(sum, 1)); own.part*fits >= least {
			count, scale = i+1, fits
		}
	}
	own := make(map[string]float64, count)
	for _, a := range asked[:count] {
		own[a.node] = a.part * scale
	}
	return own
}

// silent reports whether a node has not reported lately. A new divider takes nobody for
// silent until all had time to find it.
func (d *Divider) silent(node string, now time.Time) bool {
	m := d.nodes[node]
	if m == nil {
		return now.Sub(d.began) > lenderSilence
	}
	return now.Sub(m.heard) > lenderSilence
}

// reports reports whether a node reported to this divider lately.
func (d *Divider) reports(node string, now time.Time) bool {
	return d.nodes[node] != nil && !d.silent(node, now)
}

// chooseLenders keeps a tenant's lenders while they report, and finds others for those that
// do not. One that is silent goes on to be asked as long as it may have a part: nodes may
// reach it that the divider does not. The lenders of all tenants are spread over the nodes
// with the most to spare.
func (d *Divider) chooseLenders(name tenant.Name, division *Division, version Version, now time.Time) bool {
	var lenders []Lender
	reporting := 0
	for _, lender := range division.Lenders {
		switch {
		case d.silent(lender.Node, now) && division.Nodes.bound(lender.Node) == 0:
		case d.silent(lender.Node, now):
			lenders = append(lenders, lender)
		case reporting < lenderCount:
			reporting++
			lenders = append(lenders, d.lender(lender))
		}
	}
	for _, node := range d.candidates(name, now) {
		if reporting == lenderCount {
			break
		}
		if !slices.ContainsFunc(lenders, func(l Lender) bool { return l.Node == node }) {
			reporting++
			lenders = append(lenders, Lender{Node: node, Address: d.nodes[node].address})
		}
	}
	if len(lenders) == 0 || slices.Equal(lenders, division.Lenders) {
		return false
	}
	division.Lenders, division.LendersSince = lenders, version
	return true
}

// lender brings a lender's address up to date.
func (d *Divider) lender(known Lender) Lender {
	if m := d.nodes[known.Node]; m != nil {
		known.Address = m.address
	}
	return known
}

// candidates lists the nodes that may lend, best first.
func (d *Divider) candidates(name tenant.Name, now time.Time) []string {
	var nodes []string
	for node := range d.nodes {
		if !d.silent(node, now) {
			nodes = append(nodes, node)
		}
	}
	slices.SortFunc(nodes, func(a, b string) int {
		return cmp.Or(cmp.Compare(d.nodes[b].spare, d.nodes[a].spare), cmp.Compare(place(name, a), place(name, b)))
	})
	return nodes
}

// place is a node's place in a tenant's order of lenders (rendezvous hashing).
func place(name tenant.Name, node string) uint64 {
	return xxhash.Sum64String(string(name) + "/" + node)
}
