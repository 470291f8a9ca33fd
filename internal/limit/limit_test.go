package limit

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"lilacvane/internal/tenant"
)

// fleet simulates nodes, the stored row and one divider at a time. Messages get lost and
// processes restart.
type fleet struct {
	t         assert.TestingT
	now       time.Time
	tolerance tenant.Tolerance
	tenants   []*tenant.Tenant
	nodes     []*node
	processes int
	row       *Record
	divider   *Divider
	// rank is the rank of the requests.
	rank int
	// spent lists what was spent, by tenant.
	spent map[tenant.Name][]spending
}

type node struct {
	name    string
	process string
	keeper  *Keeper
	// old is an earlier report of this node that may arrive late.
	old *Report
}

type spending struct {
	at   time.Time
	cost float64
}

func newFleet(t assert.TestingT, nodes int) *fleet {
	f := &fleet{
		t: t, now: time.Unix(1000, 0), tolerance: tenant.Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: 50}, spent: make(map[tenant.Name][]spending),
		tenants: []*tenant.Tenant{{Name: "a", Limit: tenant.Limit{Rate: 100, Burst: 100}}, {Name: "b", Limit: tenant.Limit{Rate: 10, Burst: 3}}},
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &node{name: fmt.Sprintf("n%d", i)})
		f.restart(f.nodes[i])
	}
	f.takeOver()
	return f
}

func (f *fleet) clock() time.Time { return f.now }

func (f *fleet) restart(n *node) {
	f.processes++
	n.process = fmt.Sprintf("p%d", f.processes)
	n.keeper = NewKeeper(f.tolerance, f.clock)
}

// takeOver starts a new divider from the stored row.
func (f *fleet) takeOver() {
	f.row = Begin(f.readRow())
	f.divider = NewDivider(f.row.clone(), f.now.Sub(time.Unix(0, 0)), f.tolerance, f.now)
}

func (f *fleet) readRow() *Record {
	if f.row == nil {
		return NewRecord()
	}
	return f.row.clone()
}

func (f *fleet) report(n *node, lost, answerLost bool) {
	version, asked := n.keeper.Report()
	report := Report{Node: n.name, Process: n.process, Address: n.name, Spare: 1, Version: version, Asked: asked}
	n.old = &report
	if lost {
		n.keeper.Restore(asked)
		return
	}
	sent := f.now
	grant := f.divider.Report(report, f.now)
	if !answerLost {
		n.keeper.Apply(grant, sent)
	}
}

// divide lets the divider write its row. The write may fail, and the answer to one that was done
// may be lost.
func (f *fleet) divide(done, answered bool) {
	next := f.divider.Next(f.tenants, f.now)
	if next == nil {
		return
	}
	for _, n := range f.nodes {
		// Nodes report while the row is being written.
		f.report(n, false, false)
	}
	if done {
		f.row = next.clone()
	}
	if done && answered {
		f.divider.Confirmed()
		return
	}
	f.takeOver()
}

func (f *fleet) spend(n *node, t *tenant.Tenant, cost float64) bool {
	n.keeper.RecordDemand(t, cost)
	ok := n.keeper.SpendSmall(t, cost)
	if !ok {
		ok, _ = n.keeper.Spend(t, cost, f.rank)
	}
	addresses, _ := n.keeper.Lenders(t, cost, f.rank)
	for _, address := range addresses {
		for _, lender := range f.nodes {
			if !ok && lender.name == address {
				ok, _ = lender.keeper.Spend(t, cost, f.rank)
			}
		}
	}
	if !ok {
		ok, _ = n.keeper.SpendReserve(t, cost)
	}
	if ok {
		f.spent[t.Name] = append(f.spent[t.Name], spending{at: f.now, cost: cost})
	}
	return ok
}

// check verifies that the parts in force do not exceed the whole, and that what was spent in
// each window does not exceed what the undivided bucket admits.
func (f *fleet) check() {
	reserve := 0.0
	for _, n := range f.nodes {
		n.keeper.expire()
		reserve += float64(n.keeper.reserve) / float64(Whole)
	}
	assert.Assert(f.t, reserve <= 1+1e-9, "parts of the reserve in force: %g", reserve)
	for _, t := range f.tenants {
		sum := 0.0
		for _, n := range f.nodes {
			for _, status := range n.keeper.Statuses() {
				if status.Tenant == t.Name {
					sum += status.Part
				}
			}
		}
		assert.Assert(f.t, sum <= 1+1e-9, "parts of %s in force: %g", t.Name, sum)
		assert.Assert(f.t, f.divider.record.Check())
		budget := t.Limit.Budget(f.tolerance)
		most := budget.Bucket.Capacity + budget.Bucket.Rate*f.tolerance.Window.Seconds() + budget.Reserve + budget.Start
		list := f.spent[t.Name]
		first, total := 0, 0.0
		for _, s := range list {
			total += s.cost
			for s.at.Sub(list[first].at) > f.tolerance.Window {
				total -= list[first].cost
				first++
			}
			assert.Assert(f.t, total <= most+1e-6, "%g of %s spent in a window, at most %g", total, t.Name, most)
		}
	}
}

// TestLimitIsNeverPassed: in any order of spending, reports, losses, restarts and changes of
// divider, all nodes together keep each limit in each window.
func TestLimitIsNeverPassed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.IntRange(1, 6).Draw(t, "nodes"))
		anyNode := rapid.SampledFrom(f.nodes)
		anyTenant := rapid.SampledFrom(f.tenants)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms")) * time.Millisecond)
			},
			"silence": func(t *rapid.T) {
				f.now = f.now.Add(time.Duration(rapid.IntRange(1, 25).Draw(t, "s")) * time.Second)
			},
			"report": func(t *rapid.T) { f.report(anyNode.Draw(t, "node"), false, false) },
			"report all": func(t *rapid.T) {
				for _, n := range f.nodes {
					f.report(n, false, false)
				}
			},
			"report lost":          func(t *rapid.T) { f.report(anyNode.Draw(t, "node"), true, false) },
			"report's answer lost": func(t *rapid.T) { f.report(anyNode.Draw(t, "node"), false, true) },
			"late report": func(t *rapid.T) {
				if n := anyNode.Draw(t, "node"); n.old != nil {
					f.divider.Report(*n.old, f.now)
				}
			},
			"divide":              func(*rapid.T) { f.divide(true, true) },
			"divide again":        func(*rapid.T) { f.divide(true, true) },
			"write refused":       func(*rapid.T) { f.divide(false, false) },
			"write's answer lost": func(*rapid.T) { f.divide(true, false) },
			"restart":             func(t *rapid.T) { f.restart(anyNode.Draw(t, "node")) },
			"new divider":         func(*rapid.T) { f.takeOver() },
			"spend": func(t *rapid.T) {
				f.spend(anyNode.Draw(t, "node"), anyTenant.Draw(t, "tenant"), rapid.Float64Range(0, 60).Draw(t, "cost"))
			},
			"spend much": func(t *rapid.T) {
				n, owner := anyNode.Draw(t, "node"), anyTenant.Draw(t, "tenant")
				for range 30 {
					f.spend(n, owner, owner.Limit.Rate/20)
				}
			},
			"restart and spend much": func(t *rapid.T) {
				n, owner := anyNode.Draw(t, "node"), anyTenant.Draw(t, "tenant")
				f.restart(n)
				for range 3 {
					f.report(n, false, false)
					f.divide(true, true)
				}
				f.now = f.now.Add(100 * time.Millisecond)
				for range 30 {
					f.spend(n, owner, owner.Limit.Rate/20)
				}
			},
			"all restart and spend much": func(t *rapid.T) {
				owner := anyTenant.Draw(t, "tenant")
				for _, n := range f.nodes {
					f.restart(n)
				}
				f.takeOver()
				for _, n := range f.nodes {
					f.report(n, false, false)
				}
				f.divide(true, true)
				for range 40 {
					f.report(f.nodes[0], false, false)
					f.spend(f.nodes[0], owner, owner.Limit.Rate/20)
				}
			},
			"": func(*rapid.T) { f.check() },
		})
	})
}
