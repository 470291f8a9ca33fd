package limit

import (
	"math"
	"time"
)

const (
	// leastGiven is the least that is worth a row and a word to the node.
	leastGiven = Whole / 100_000
	// hysteresis is by which part of itself a share must be off before it is changed:
	// each change is written to a row and told to nodes.
	hysteresis = 0.3
)

// Pool is something whole that is divided among nodes.
type Pool map[string]*Entry

// Entry is one node's part.
type Entry struct {
	// Bound is the most that the node may have in force, Told what it is to have.
	Bound Part `cbor:"1,keyasint"`
	Told  Part `cbor:"2,keyasint,omitempty"`
	// Since is the version from which on it is told so.
	Since Version `cbor:"3,keyasint,omitempty"`
	// givenBack is when the node was first known to have no more than Told.
	givenBack time.Time
}

// tell changes what the node is to have.
func (e *Entry) tell(part Part, version Version) {
	e.Told, e.Since, e.givenBack = part, version, time.Time{}
}

func (p Pool) check() bool {
	for _, entry := range p {
		if entry == nil || entry.Told > entry.Bound {
			return false
		}
	}
	return p.free() >= 0
}

// free is what nobody may have in force.
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

// entry returns a node's entry.
func (p Pool) entry(node string) *Entry {
	entry := p[node]
	if entry == nil {
		entry = &Entry{}
		p[node] = entry
	}
	return entry
}

// at is a node's part; nothing for a node without an entry.
func (p Pool) at(node string) Entry {
	if entry := p[node]; entry != nil {
		return *entry
	}
	return Entry{}
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
		told := p.at(node).Told
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
