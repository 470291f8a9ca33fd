package limit

import (
	"math"
	"time"
)

const (
	// minGrant is the smallest increase that is worth writing a row and telling the node.
	minGrant = Whole / 100_000
	// hysteresis is the relative deviation from its target at which a part is changed. Each
	// change is written to a row and sent to nodes.
	hysteresis = 0.3
)

// Pool is a limit or reserve divided among nodes, by node.
type Pool map[string]*Entry

// Entry is one node's part.
type Entry struct {
	// Bound is the most that the node may have in force. Assigned is what it is meant to have.
	Bound    Part `cbor:"1,keyasint"`
	Assigned Part `cbor:"2,keyasint,omitempty"`
	// Since is the version from which on Assigned applies.
	Since Version `cbor:"3,keyasint,omitempty"`
	// releasedAt is when the node was first known to have no more than Assigned.
	releasedAt time.Time
}

// assign changes what the node is meant to have.
func (e *Entry) assign(part Part, version Version) {
	e.Assigned, e.Since, e.releasedAt = part, version, time.Time{}
}

// check reports whether the pool is valid: no node is assigned more than its bound, and the
// bounds add up to at most the whole.
func (p Pool) check() bool {
	for _, entry := range p {
		if entry == nil || entry.Assigned > entry.Bound {
			return false
		}
	}
	return p.free() >= 0
}

// free returns the part that no node may have in force.
func (p Pool) free() int64 {
	free := int64(Whole)
	for _, entry := range p {
		free -= int64(entry.Bound)
	}
	return free
}

func (p Pool) clone() Pool {
	copied := make(Pool, len(p))
	for node, entry := range p {
		own := *entry
		copied[node] = &own
	}
	return copied
}

// entry returns a node's entry, creating it if needed.
func (p Pool) entry(node string) *Entry {
	entry := p[node]
	if entry == nil {
		entry = &Entry{}
		p[node] = entry
	}
	return entry
}

// at returns a copy of a node's entry; the zero Entry if there is none.
func (p Pool) at(node string) Entry {
	if entry := p[node]; entry != nil {
		return *entry
	}
	return Entry{}
}

// needsChange reports whether a part deviates so far from its target that it is changed.
func needsChange(part, target Part) bool {
	return math.Abs(float64(target)-float64(part)) > hysteresis*float64(max(part, target))
}

// rebalance assigns nodes their targets: decreases at once, increases only as far as no other
// node may have that part in force. It reports whether that changes the pool.
func (p Pool) rebalance(targets map[string]Part, version Version) (changed bool) {
	for node, entry := range p {
		if needsChange(entry.Assigned, targets[node]) && targets[node] < entry.Assigned {
			entry.assign(targets[node], version)
			changed = true
		}
	}
	return p.raise(targets, version) || changed
}

// raise increases parts, in proportion to what each node lacks.
func (p Pool) raise(targets map[string]Part, version Version) (changed bool) {
	lacking := make(map[string]int64)
	sum := int64(0)
	for node, target := range targets {
		assigned := p.at(node).Assigned
		if target <= assigned || !needsChange(assigned, target) {
			continue
		}
		entry := p.entry(node)
		if entry.Bound > entry.Assigned {
			// The node may still have more than it was last assigned.
			entry.assign(min(target, entry.Bound), version)
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
		if given < minGrant {
			continue
		}
		entry := p[node]
		entry.Bound += given
		entry.assign(entry.Bound, version)
		changed = true
	}
	return changed
}
