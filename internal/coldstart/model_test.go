package coldstart

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	// modelStart is long against the steps of a history, so that most is sent to a cold
	// runner.
	modelStart = 30 * time.Second
	modelID    = "r"
)

// modelTerms are those of a service whose runners may get 15 requests a second.
var modelTerms = NewTerms(6.9, 1.5, 5, modelStart, Lent{})

// answer is one of the holder's on its way to a node.
type answer struct {
	node  int
	sent  time.Time
	count int
	next  time.Duration
}

// model is one runner, the nodes that send to it, the holder of the lease, messages that
// are lost or late, and every request that was sent while the runner was cold.
type model struct {
	t     assert.TestingT
	now   time.Time
	terms Terms
	// coldUntil is the truth.
	coldUntil time.Time
	nodes     []*Runner
	// heard is set for the nodes that heard of the runner, or of its last change.
	heard   []bool
	lender  *Lender
	answers []answer
	sent    []time.Time
}

func newModel(t assert.TestingT, nodes int, terms Terms) *model {
	m := &model{t: t, now: time.Unix(1000, 0), terms: terms, heard: make([]bool, nodes)}
	for range nodes {
		m.nodes = append(m.nodes, &Runner{})
	}
	m.takeOver()
	m.now = m.now.Add(Held)
	m.coldUntil = m.now.Add(modelStart)
	return m
}

// takeOver makes another process the holder; answers of the old one are still on their way.
func (m *model) takeOver() { m.lender = NewLender(m.now) }

// hear lets a node hear of the runner: by its word, or by a row that leaves it open.
func (m *model) hear(node int, says bool) {
	left := m.coldUntil.Sub(m.now)
	switch {
	case says && left > 0:
		m.nodes[node].Hear(Word{For: left, Proof: true}, m.now)
	case says:
		m.nodes[node].Hear(Word{Proof: true}, m.now)
	case !m.heard[node]:
		m.nodes[node].Hear(Word{}, m.now)
	}
	m.heard[node] = true
}

// ask sends a node's question to the holder, and its answer on its way unless it is lost.
func (m *model) ask(node, wanted int, sent time.Time, lost bool) {
	count, next := m.lender.Lend(modelID, wanted, m.terms.Bound, m.now)
	assert.Assert(m.t, count >= 0 && count <= max(wanted, 0))
	if !lost {
		m.answers = append(m.answers, answer{node: node, sent: sent, count: count, next: next})
	}
}

// arrive lets an answer arrive, in any order.
func (m *model) arrive(index int) {
	a := m.answers[index]
	m.answers = append(m.answers[:index], m.answers[index+1:]...)
	m.nodes[a.node].Lent(a.count, a.sent, a.next, m.now)
}

// send lets a node send as many requests as it may, count of them at most.
func (m *model) send(node, count int) {
	runner := m.nodes[node]
	if !m.heard[node] {
		return
	}
	for range count {
		if m.now.Before(runner.Until(m.terms, time.Time{})) {
			if !runner.May(modelID, m.terms, m.now) {
				return
			}
			runner.Spend(m.terms, m.now)
		}
		if m.now.Before(m.coldUntil) {
			m.sent = append(m.sent, m.now)
		}
	}
}

// check counts the requests of each second, its ends included.
func (m *model) check() {
	first := 0
	for last, at := range m.sent {
		for at.Sub(m.sent[first]) > Second {
			first++
		}
		assert.Assert(m.t, last-first+1 <= int(m.terms.Bound), "%d in the second before %s, at most %d", last-first+1, at, m.terms.Bound)
	}
}

// TestColdRunnerNeverGetsMore: whatever is lost or late, whoever holds the lease and
// whenever nodes hear of it, a cold runner gets no more than its bound in any second.
func TestColdRunnerNeverGetsMore(t *testing.T) {
	for range histories {
		rapid.Check(t, playHistory)
	}
}

// histories is how many times as many histories are played as the library does by itself:
// they are short, and what a permit allows meets what another does in few of them.
const histories = 20

func playHistory(t *rapid.T) {
	const nodes = 5
	slack := rapid.SampledFrom([]float64{0, 1, 2, 4, 14}).Draw(t, "slack")
	m := newModel(t, nodes, NewTerms(1, 1, slack, modelStart, Lent{}))
	node := rapid.IntRange(0, nodes-1)
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 250, 499, 500, 501, 1000, 1500}).Draw(t, "ms")) * time.Millisecond)
		},
		"hear": func(t *rapid.T) { m.hear(node.Draw(t, "node"), rapid.Bool().Draw(t, "says")) },
		"all ask": func(t *rapid.T) {
			late := time.Duration(rapid.SampledFrom([]int{0, 0, 10, 400, 900}).Draw(t, "late")) * time.Millisecond
			for asking := range nodes {
				m.ask(asking, 5, m.now.Add(-late), false)
			}
		},
		"all arrive": func(*rapid.T) {
			for len(m.answers) > 0 {
				m.arrive(0)
			}
		},
		"all send": func(*rapid.T) {
			for sending := range nodes {
				m.send(sending, 5)
			}
		},
		"all hear": func(*rapid.T) {
			for hearing := range nodes {
				m.hear(hearing, true)
			}
		},
		"ask": func(t *rapid.T) {
			late := time.Duration(rapid.SampledFrom([]int{0, 0, 10, 400, 900}).Draw(t, "late")) * time.Millisecond
			m.ask(node.Draw(t, "node"), rapid.IntRange(-1, 40).Draw(t, "wanted"), m.now.Add(-late), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
		},
		"arrive": func(t *rapid.T) {
			if len(m.answers) > 0 {
				m.arrive(rapid.IntRange(0, len(m.answers)-1).Draw(t, "answer"))
			}
		},
		"send":      func(t *rapid.T) { m.send(node.Draw(t, "node"), rapid.IntRange(1, 40).Draw(t, "count")) },
		"take over": func(*rapid.T) { m.takeOver() },
		"restart": func(t *rapid.T) {
			restarted := node.Draw(t, "node")
			m.nodes[restarted], m.heard[restarted] = &Runner{}, false
			m.answers = slicesWithout(m.answers, restarted)
		},
		"cold again": func(t *rapid.T) {
			// A node that does not know is not held by anything: it hears before it sends.
			m.coldUntil = m.now.Add(modelStart)
			clear(m.heard)
		},
		"": func(*rapid.T) { m.check() },
	})
}

func slicesWithout(answers []answer, node int) []answer {
	var kept []answer
	for _, a := range answers {
		if a.node != node {
			kept = append(kept, a)
		}
	}
	return kept
}

// TestEagerNodesUseTheBound: nodes that ask all the time get most of what their permits
// allow, so that the bound is not kept by lending nothing.
func TestEagerNodesUseTheBound(t *testing.T) {
	const nodes = 71
	m := newModel(t, nodes, modelTerms)
	m.coldUntil = m.now.Add(time.Minute)
	for node := range nodes {
		m.hear(node, true)
	}
	for tick := range 2000 {
		m.now = m.now.Add(10 * time.Millisecond)
		node := tick % nodes
		m.ask(node, 1, m.now, false)
		m.arrive(0)
		m.send(node, 1)
	}
	m.check()
	least := int(float64(m.terms.Bound) / Held.Seconds() * 17)
	assert.Assert(t, len(m.sent) >= least, "%d in 20 s, at least %d", len(m.sent), least)
}

// drawModel lets all nodes send whenever a draw allows it.
func drawModel(t *testing.T, nodes int, seconds int) (sent int) {
	t.Helper()
	m := newModel(t, 0, modelTerms)
	ways := make([]Terms, nodes)
	for i := range ways {
		ways[i] = m.terms
		ways[i].Way = Drawn{Node: fmt.Sprint("n", i), Nodes: nodes}
		m.nodes = append(m.nodes, &Runner{})
	}
	for range seconds * 20 {
		m.now = m.now.Add(50 * time.Millisecond)
		for i, runner := range m.nodes {
			if runner.May(modelID, ways[i], m.now) {
				runner.Spend(ways[i], m.now)
				m.sent = append(m.sent, m.now)
			}
		}
	}
	m.check()
	return len(m.sent)
}

// TestDrawsKeepTheBound: nodes that never speak to each other keep it by chance, few of
// them without any.
func TestDrawsKeepTheBound(t *testing.T) {
	for _, nodes := range []int{1, 15, 16, 71, 300} {
		sent := drawModel(t, nodes, 300)
		assert.Assert(t, sent > 300/2, "%d nodes sent %d in 300 s", nodes, sent)
	}
}
