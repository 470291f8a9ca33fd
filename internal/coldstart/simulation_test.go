package coldstart

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

const (
	// simulatedColdStart is long compared with the steps of a simulation, so that most
	// requests are sent to a cold runner.
	simulatedColdStart = 30 * time.Second
	runnerID           = "r"
)

// testTerms are the terms of a service whose cold runners may get 15 requests per second.
var testTerms = NewTerms(6.9, 1.5, 5, simulatedColdStart, Lent{})

// answer is an answer of the lease holder on its way to a node.
type answer struct {
	node  int
	sent  time.Time
	count int
	next  time.Duration
}

// simulation consists of one runner, the nodes that send to it, the lease holder, answers that
// are lost or late, and the requests sent while the runner was cold.
type simulation struct {
	t     assert.TestingT
	now   time.Time
	terms Terms
	// coldUntil is the actual end of the cold start.
	coldUntil time.Time
	nodes     []*Runner
	// informed is set for the nodes that have received the runner's row since it last became
	// cold.
	informed []bool
	lender   *Lender
	answers  []answer
	sent     []time.Time
}

func newSimulation(t assert.TestingT, nodes int, terms Terms) *simulation {
	m := &simulation{t: t, now: time.Unix(1000, 0), terms: terms, informed: make([]bool, nodes)}
	for range nodes {
		m.nodes = append(m.nodes, &Runner{})
	}
	m.takeOver()
	m.now = m.now.Add(LendingPeriod)
	m.coldUntil = m.now.Add(simulatedColdStart)
	return m
}

// takeOver makes another process the lease holder. Answers of the old one may still be on
// their way.
func (m *simulation) takeOver() { m.lender = NewLender(m.now) }

// deliverRow delivers the runner's row to a node. If stated is not set and the node gets the row
// for the first time, the row does not say whether the runner is cold.
func (m *simulation) deliverRow(node int, stated bool) {
	left := m.coldUntil.Sub(m.now)
	switch {
	case stated && left > 0:
		m.nodes[node].ApplyStatus(Status{ColdFor: left, Conclusive: true}, m.now)
	case stated:
		m.nodes[node].ApplyStatus(Status{Conclusive: true}, m.now)
	case !m.informed[node]:
		m.nodes[node].ApplyStatus(Status{}, m.now)
	}
	m.informed[node] = true
}

// ask sends a node's request for permits to the lease holder, and the answer back unless it is
// lost.
func (m *simulation) ask(node, wanted int, sent time.Time, lost bool) {
	count, next := m.lender.Lend(runnerID, wanted, m.terms.Bound, m.now)
	assert.Assert(m.t, count >= 0 && count <= max(wanted, 0))
	if !lost {
		m.answers = append(m.answers, answer{node: node, sent: sent, count: count, next: next})
	}
}

// deliverAnswer delivers the answer at an index, so that answers may arrive in any order.
func (m *simulation) deliverAnswer(index int) {
	a := m.answers[index]
	m.answers = append(m.answers[:index], m.answers[index+1:]...)
	m.nodes[a.node].AddPermits(a.count, a.sent, a.next, m.now)
}

// send lets a node send as many requests as it may, up to count.
func (m *simulation) send(node, count int) {
	runner := m.nodes[node]
	if !m.informed[node] {
		return
	}
	for range count {
		if m.now.Before(runner.Until(m.terms, time.Time{})) {
			if !runner.MaySend(runnerID, m.terms, m.now) {
				return
			}
			runner.Spend(m.terms, m.now)
		}
		if m.now.Before(m.coldUntil) {
			m.sent = append(m.sent, m.now)
		}
	}
}

// check counts the requests in every window, including its ends.
func (m *simulation) check() {
	first := 0
	for last, at := range m.sent {
		for at.Sub(m.sent[first]) > Window {
			first++
		}
		assert.Assert(m.t, last-first+1 <= int(m.terms.Bound), "%d in the second before %s, at most %d", last-first+1, at, m.terms.Bound)
	}
}

// TestColdRunnerNeverGetsMore checks that a cold runner gets no more requests than its bound
// in any second, whichever messages are lost or late, whoever holds the lease and whenever
// nodes learn that the runner is cold.
func TestColdRunnerNeverGetsMore(t *testing.T) {
	for range runFactor {
		rapid.Check(t, runSimulation)
	}
}

// runFactor multiplies the number of simulations that the library runs by default: they are
// short, and in only few of them do requests allowed by different permits come together.
const runFactor = 20

func runSimulation(t *rapid.T) {
	const nodes = 5
	slack := rapid.SampledFrom([]float64{0, 1, 2, 4, 14}).Draw(t, "slack")
	m := newSimulation(t, nodes, NewTerms(1, 1, slack, simulatedColdStart, Lent{}))
	node := rapid.IntRange(0, nodes-1)
	t.Repeat(map[string]func(*rapid.T){
		"time": func(t *rapid.T) {
			m.now = m.now.Add(time.Duration(rapid.SampledFrom([]int{1, 20, 100, 250, 499, 500, 501, 1000, 1500}).Draw(t, "ms")) * time.Millisecond)
		},
		"hear": func(t *rapid.T) { m.deliverRow(node.Draw(t, "node"), rapid.Bool().Draw(t, "says")) },
		"all ask": func(t *rapid.T) {
			late := time.Duration(rapid.SampledFrom([]int{0, 0, 10, 400, 900}).Draw(t, "late")) * time.Millisecond
			for asking := range nodes {
				m.ask(asking, 5, m.now.Add(-late), false)
			}
		},
		"all arrive": func(*rapid.T) {
			for len(m.answers) > 0 {
				m.deliverAnswer(0)
			}
		},
		"all send": func(*rapid.T) {
			for sending := range nodes {
				m.send(sending, 5)
			}
		},
		"all hear": func(*rapid.T) {
			for receiving := range nodes {
				m.deliverRow(receiving, true)
			}
		},
		"ask": func(t *rapid.T) {
			late := time.Duration(rapid.SampledFrom([]int{0, 0, 10, 400, 900}).Draw(t, "late")) * time.Millisecond
			m.ask(node.Draw(t, "node"), rapid.IntRange(-1, 40).Draw(t, "wanted"), m.now.Add(-late), rapid.IntRange(0, 4).Draw(t, "lost") == 0)
		},
		"arrive": func(t *rapid.T) {
			if len(m.answers) > 0 {
				m.deliverAnswer(rapid.IntRange(0, len(m.answers)-1).Draw(t, "answer"))
			}
		},
		"send":      func(t *rapid.T) { m.send(node.Draw(t, "node"), rapid.IntRange(1, 40).Draw(t, "count")) },
		"take over": func(*rapid.T) { m.takeOver() },
		"restart": func(t *rapid.T) {
			restarted := node.Draw(t, "node")
			m.nodes[restarted], m.informed[restarted] = &Runner{}, false
			m.answers = slicesWithout(m.answers, restarted)
		},
		"cold again": func(t *rapid.T) {
			// A node that does not know of the cold start is not limited: it gets the row
			// before it sends.
			m.coldUntil = m.now.Add(simulatedColdStart)
			clear(m.informed)
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

// TestEagerNodesUseTheBound checks that nodes that ask all the time use most of what the bound
// allows, so that the bound is not kept by lending nothing.
func TestEagerNodesUseTheBound(t *testing.T) {
	const nodes = 71
	m := newSimulation(t, nodes, testTerms)
	m.coldUntil = m.now.Add(time.Minute)
	for node := range nodes {
		m.deliverRow(node, true)
	}
	for tick := range 2000 {
		m.now = m.now.Add(10 * time.Millisecond)
		node := tick % nodes
		m.ask(node, 1, m.now, false)
		m.deliverAnswer(0)
		m.send(node, 1)
	}
	m.check()
	least := int(float64(m.terms.Bound) / LendingPeriod.Seconds() * 17)
	assert.Assert(t, len(m.sent) >= least, "%d in 20 s, at least %d", len(m.sent), least)
}

// simulateRandomized lets all nodes send whenever their draw allows it.
func simulateRandomized(t *testing.T, nodes int, seconds int) (sent int) {
	t.Helper()
	m := newSimulation(t, 0, testTerms)
	terms := make([]Terms, nodes)
	for i := range terms {
		terms[i] = m.terms
		terms[i].Strategy = Randomized{Node: fmt.Sprint("n", i), Nodes: nodes}
		m.nodes = append(m.nodes, &Runner{})
	}
	for range seconds * 20 {
		m.now = m.now.Add(50 * time.Millisecond)
		for i, runner := range m.nodes {
			if runner.MaySend(runnerID, terms[i], m.now) {
				runner.Spend(terms[i], m.now)
				m.sent = append(m.sent, m.now)
			}
		}
	}
	m.check()
	return len(m.sent)
}

// TestDrawsKeepTheBound checks that nodes that don't communicate keep the bound by random
// draws, and that few nodes keep it without them.
func TestDrawsKeepTheBound(t *testing.T) {
	for _, nodes := range []int{1, 15, 16, 71, 300} {
		sent := simulateRandomized(t, nodes, 300)
		assert.Assert(t, sent > 300/2, "%d nodes sent %d in 300 s", nodes, sent)
	}
}
