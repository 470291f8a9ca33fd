package statement

import (
	"cmp"
	"slices"
	"time"
)

// Heard is a runner that said that it leaves, and how long ago it did so last.
type Heard struct {
	Runner string
	Age    time.Duration
}

// Leaving returns the runners that are believed to leave, those that said so last first.
func (b *Book) Leaving() []Heard {
	return b.heard(func(r *record) time.Time { return r.leavingAt })
}

// HeardLeaving returns those of them that this node heard in answers, by these alone. Nodes
// report no others, so that they do not keep alive among each other what no runner says any more.
func (b *Book) HeardLeaving() []Heard {
	return b.heard(func(r *record) time.Time { return r.heardAt })
}

// heard returns the runners that leave by a time that is told of each.
func (b *Book) heard(at func(*record) time.Time) []Heard {
	if b == nil || b.known.Load() == 0 {
		return nil
	}
	now, lasting := b.options.Now(), b.options.Limits().LeavingFor
	b.mutex.RLock()
	defer b.mutex.RUnlock()
	var heard []Heard
	for id, known := range b.runners {
		if said := at(known); within(said, now, lasting) {
			heard = append(heard, Heard{Runner: id, Age: now.Sub(said)})
		}
	}
	slices.SortFunc(heard, func(x, y Heard) int { return cmp.Or(cmp.Compare(x.Age, y.Age), cmp.Compare(x.Runner, y.Runner)) })
	return heard
}

// Learn takes the word of another node that runners leave.
func (b *Book) Learn(peer string, heard []Heard) {
	for _, told := range heard {
		if b.learn(told) {
			b.announce(Source{Runner: told.Runner, Peer: peer}, Leaving{})
		}
	}
}

// learn notes one such word, and reports whether it is news.
func (b *Book) learn(heard Heard) bool {
	now, lasting := b.options.Now(), b.options.Limits().LeavingFor
	age := max(heard.Age, 0)
	if heard.Runner == "" || age >= lasting {
		return false
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	known := b.recordOf(heard.Runner, now)
	news := !known.leaves(now, lasting)
	if at := now.Add(-age); at.After(known.leavingAt) {
		known.leavingAt = at
	}
	return news
}
