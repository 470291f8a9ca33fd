package limit

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"lilacvane/internal/tenant"
)

const (
	// lenderCount is how many lenders a limit has. If one is lost, the other two carry what a
	// tenant normally uses.
	lenderCount = 3
	// ownHeadroom is the ratio of a node's own part to its demand. maxOwnFraction is the most of
	// a limit that nodes other than lenders get; lenders even out uneven demand.
	ownHeadroom    = 1.3
	maxOwnFraction = 0.5
	// minOwnRequests is how many requests of mean cost a node's own part must hold to be useful.
	minOwnRequests = 4
	// minPart is the smallest useful part of a bucket: a thousandth is less than one request.
	minPart = Whole / 1000
	// lenderTolerance is how many times the even part a lender may keep. If one of three lenders
	// is lost and replaced, its part stays blocked and the even part falls to two thirds, so
	// that each of the other two has 1.5 times that.
	lenderTolerance = 1.6
)

// targets computes the parts that nodes should have: nodes with enough demand get their own,
// lenders get the rest. Nodes that stopped reporting keep what they may have in force.
func (d *Divider) targets(t *tenant.Tenant, division *Division, now time.Time) map[string]Part {
	targets := make(map[string]Part)
	left := float64(Whole)
	for node, entry := range division.Nodes {
		if !d.isReporting(node, now) {
			targets[node] = entry.Assigned
			left -= float64(entry.Bound)
		}
	}
	for node, part := range d.ownParts(t, division, maxOwnFraction*left, now) {
		targets[node] = Part(part)
		left -= part
	}
	lenders := slices.DeleteFunc(slices.Clone(division.Lenders), func(l Lender) bool { return !d.isReporting(l.Node, now) })
	for _, lender := range lenders {
		targets[lender.Node] = lenderTarget(division.Nodes.at(lender.Node).Assigned, left/float64(len(lenders)))
	}
	return targets
}

// lenderTarget returns what a lender should have, given the even part. Parts are only moved off
// a lender that has far more than that, because a part is usable by nobody until the others have
// received it.
func lenderTarget(assigned Part, even float64) Part {
	if float64(assigned) > even && float64(assigned) <= lenderTolerance*even {
		return assigned
	}
	return Part(even)
}

// ownParts computes parts, at most most in total, for nodes other than lenders: the nodes with
// the highest demand, as far as each part holds several requests.
func (d *Divider) ownParts(t *tenant.Tenant, division *Division, most float64, now time.Time) map[string]float64 {
	cost, requests := 0.0, 0.0
	var wanted []ownPart
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
			wanted = append(wanted, ownPart{node: node, part: min(ownHeadroom*perSecond/bucket.Rate, 1) * float64(Whole)})
		}
	}
	slices.SortFunc(wanted, func(a, b ownPart) int { return cmp.Or(cmp.Compare(b.part, a.part), cmp.Compare(a.node, b.node)) })
	least := max(minOwnRequests*cost/max(requests, 1)/bucket.Capacity*float64(Whole), float64(minPart))
	return scaleToFit(wanted, least, most)
}

// ownPart is the part that a node could use itself.
type ownPart struct {
	node string
	part float64
}

// scaleToFit takes candidates in descending order and scales the parts of the first ones in
// proportion, for as many as can get at least least each and at most most in total.
func scaleToFit(wanted []ownPart, least, most float64) map[string]float64 {
	sum, count, scale := 0.0, 0, 1.0
	for i, own := range wanted {
		sum += own.part
		if fits := min(1, most/max(sum, 1)); own.part*fits >= least {
			count, scale = i+1, fits
		}
	}
	own := make(map[string]float64, count)
	for _, a := range wanted[:count] {
		own[a.node] = a.part * scale
	}
	return own
}

// silent reports whether a node has not reported lately. A new divider treats no node as silent
// until all had time to find it.
func (d *Divider) silent(node string, now time.Time) bool {
	m := d.nodes[node]
	if m == nil {
		return now.Sub(d.began) > lenderTimeout
	}
	return now.Sub(m.lastReport) > lenderTimeout
}

// isReporting reports whether a node has reported to this divider lately.
func (d *Divider) isReporting(node string, now time.Time) bool {
	return d.nodes[node] != nil && !d.silent(node, now)
}

// chooseLenders keeps a tenant's lenders while they report, and replaces those that do not. A
// lender that is silent is still asked as long as it may have a part: nodes may reach it even if
// the divider does not. The lenders of all tenants are spread over the nodes with the most spare
// capacity.
func (d *Divider) chooseLenders(name tenant.Name, division *Division, version Version, now time.Time) bool {
	var lenders []Lender
	reporting := 0
	for _, lender := range division.Lenders {
		switch {
		case d.silent(lender.Node, now) && division.Nodes.at(lender.Node).Bound == 0:
		case d.silent(lender.Node, now):
			lenders = append(lenders, lender)
		case reporting < lenderCount:
			reporting++
			lenders = append(lenders, d.lender(lender))
		}
	}
	for candidates := d.candidates(name, now); reporting < lenderCount; reporting++ {
		node, found := d.nextLender(candidates, lenders, now)
		if !found {
			break
		}
		lenders = append(lenders, Lender{Node: node, Address: d.nodes[node].address, Region: d.nodes[node].region})
	}
	if len(lenders) == 0 || slices.Equal(lenders, division.Lenders) {
		return false
	}
	division.Lenders, division.LendersSince = lenders, version
	return true
}

// nextLender picks the next lender from the candidates: the best one in a region without a
// reporting lender, so that nodes there need not ask another region, or else the best one
// overall.
func (d *Divider) nextLender(candidates []string, lenders []Lender, now time.Time) (node string, found bool) {
	for _, candidate := range candidates {
		region := d.nodes[candidate].region
		switch {
		case slices.ContainsFunc(lenders, func(l Lender) bool { return l.Node == candidate }):
			continue
		case !slices.ContainsFunc(lenders, func(l Lender) bool { return l.Region == region && !d.silent(l.Node, now) }):
			return candidate, true
		case !found:
			node, found = candidate, true
		}
	}
	return node, found
}

// lender returns a lender with its address and region brought up to date.
func (d *Divider) lender(known Lender) Lender {
	if m := d.nodes[known.Node]; m != nil {
		known.Address, known.Region = m.address, m.region
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
		return cmp.Or(cmp.Compare(d.nodes[b].spare, d.nodes[a].spare), cmp.Compare(rendezvousHash(name, a), rendezvousHash(name, b)))
	})
	return nodes
}

// rendezvousHash ranks nodes as lenders of a tenant.
func rendezvousHash(name tenant.Name, node string) uint64 {
	return xxhash.Sum64String(string(name) + "/" + node)
}
