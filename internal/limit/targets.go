package limit

import (
	"cmp"
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
	// unevenLender is how many times an even part a lender may keep: when one of three is
	// lost, the even part falls to two thirds.
	unevenLender = 1.6
)

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
		targets[lender.Node] = lenderTarget(division.Nodes.at(lender.Node).Told, left/float64(len(lenders)))
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

// nextLender picks one of the candidates beside the lenders: the best one of a region that
// has none yet that reports, so that nodes there need not ask farther, or else the best one.
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

// lender brings a lender's address up to date.
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
		return cmp.Or(cmp.Compare(d.nodes[b].spare, d.nodes[a].spare), cmp.Compare(place(name, a), place(name, b)))
	})
	return nodes
}

// place is a node's place in a tenant's order of lenders (rendezvous hashing).
func place(name tenant.Name, node string) uint64 {
	return xxhash.Sum64String(string(name) + "/" + node)
}
