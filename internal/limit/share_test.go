package limit

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/tenant"
)

// caller sends requests for a tenant's limit to some nodes: rate requests per second with
// exponentially distributed costs of the given mean, so that most are smaller and some several
// times as large.
type caller struct {
	tenant *tenant.Tenant
	nodes  []int
	rate   float64
	mean   float64
	rank   int
}

// simulate lets callers send requests for some seconds and returns the fraction of the cost that
// each was granted.
func (f *fleet) simulate(callers []caller, seconds int, random *rand.Rand) []float64 {
	const step = 50 * time.Millisecond
	asked, granted := make([]float64, len(callers)), make([]float64, len(callers))
	for tick := range seconds * int(time.Second/step) {
		f.now = f.now.Add(step)
		if tick%5 == 0 {
			for _, n := range f.nodes {
				f.report(n, false, false)
			}
		}
		if tick%14 == 0 {
			f.divide(true, true)
		}
		for i, c := range callers {
			for range poisson(c.rate*step.Seconds(), random) {
				cost := c.mean * random.ExpFloat64()
				asked[i] += cost
				f.rank = c.rank
				if f.spend(f.nodes[c.nodes[random.IntN(len(c.nodes))]], c.tenant, cost) {
					granted[i] += cost
				}
			}
		}
	}
	for i := range granted {
		granted[i] /= asked[i]
	}
	return granted
}

func poisson(mean float64, random *rand.Rand) int {
	count, at := 0, random.ExpFloat64()
	for at < mean {
		count++
		at += random.ExpFloat64()
	}
	return count
}

func upTo(count int) []int {
	list := make([]int, count)
	for i := range list {
		list[i] = i
	}
	return list
}

// TestLimitIsWhereItIsAskedFor: a tenant that stays within its limit and sends requests to all
// nodes loses next to nothing, beside one that requests four times its limit at three nodes and
// gets nearly all of its limit there.
func TestLimitIsWhereItIsAskedFor(t *testing.T) {
	const nodes = 84
	f := newFleet(t, nodes)
	f.tolerance = tenant.Tolerance{Window: 8 * time.Second, Share: 0.1, Slack: 110_000}
	calm := &tenant.Tenant{Name: "calm", Limit: tenant.Limit{Unit: tenant.Tokens, Rate: 107_000, Burst: 107_000}}
	hot := &tenant.Tenant{Name: "hot", Limit: tenant.Limit{Unit: tenant.Tokens, Rate: 200_000, Burst: 200_000}}
	f.tenants = []*tenant.Tenant{calm, hot}
	for _, n := range f.nodes {
		f.restart(n)
	}
	f.takeOver()
	random := rand.New(rand.NewPCG(1, 2))
	callers := []caller{{tenant: calm, nodes: upTo(nodes), rate: 6, mean: 9_200}, {tenant: hot, nodes: []int{5, 6, 7}, rate: 87, mean: 9_200}}
	f.simulate(callers[:1], 10, random)
	granted := f.simulate(callers, 20, random)
	f.check()
	assert.Assert(t, granted[0] > 0.99, "calm: %.3f", granted[0])
	assert.Assert(t, granted[1] > 0.9/4, "hot: %.3f of four times its limit", granted[1])
}

// TestLostLenderCostsLittle: when one of a tenant's lenders is gone for good, the others carry
// the tenant's normal usage.
func TestLostLenderCostsLittle(t *testing.T) {
	f := newFleet(t, 20)
	calm := &tenant.Tenant{Name: "calm", Limit: tenant.Limit{Rate: 100, Burst: 100}}
	f.tenants = []*tenant.Tenant{calm}
	random := rand.New(rand.NewPCG(3, 4))
	everywhere := []caller{{tenant: calm, nodes: upTo(20), rate: 55, mean: 1}}
	f.simulate(everywhere, 10, random)
	lost := f.divider.Lenders("calm")[0]
	for i, n := range f.nodes {
		if n.name == lost {
			f.nodes = append(f.nodes[:i:i], f.nodes[i+1:]...)
			break
		}
	}
	everywhere[0].nodes = upTo(19)
	granted := f.simulate(everywhere, 10, random)
	f.check()
	assert.Assert(t, granted[0] > 0.97, "%.3f", granted[0])
}

// TestNewDividerKeepsLenders: a new divider does not treat nodes as gone before they had time to
// report, and keeps a lender listed that does not report to it.
func TestNewDividerKeepsLenders(t *testing.T) {
	f := newFleet(t, 20)
	calm := &tenant.Tenant{Name: "calm", Limit: tenant.Limit{Rate: 100, Burst: 100}}
	f.tenants = []*tenant.Tenant{calm}
	random := rand.New(rand.NewPCG(5, 6))
	everywhere := []caller{{tenant: calm, nodes: upTo(20), rate: 55, mean: 4}}
	f.simulate(everywhere, 10, random)
	before := f.divider.Lenders("calm")
	f.takeOver()
	f.report(f.nodes[7], false, false)
	f.divide(true, true)
	assert.DeepEqual(t, f.divider.Lenders("calm"), before)
	for f.now = f.now.Add(lenderTimeout); len(f.divider.Lenders("calm")) < 2*lenderCount; {
		f.now = f.now.Add(time.Second)
		for _, n := range f.nodes {
			if !slices.Contains(before, n.name) {
				f.report(n, false, false)
			}
		}
		f.divide(true, true)
	}
	assert.DeepEqual(t, f.divider.Lenders("calm")[:lenderCount], before)
}

// TestUrgentRequestsOfATenantGoFirst: when a tenant requests three times its limit, its urgent
// requests are served and the others get what is left.
func TestUrgentRequestsOfATenantGoFirst(t *testing.T) {
	f := newFleet(t, 12)
	hot := &tenant.Tenant{Name: "hot", Limit: tenant.Limit{Rate: 1000, Burst: 1000}}
	f.tenants = []*tenant.Tenant{hot}
	random := rand.New(rand.NewPCG(7, 8))
	callers := []caller{{tenant: hot, nodes: upTo(12), rate: 140, mean: 5, rank: 0}, {tenant: hot, nodes: upTo(12), rate: 460, mean: 5, rank: 2}}
	f.simulate(callers, 5, random)
	granted := f.simulate(callers, 20, random)
	f.check()
	assert.Assert(t, granted[0] > 0.95, "urgent: %.3f", granted[0])
	assert.Assert(t, granted[1] > 0.1 && granted[1] < 0.3, "others: %.3f", granted[1])
}

// TestAllStartedAgainBeginWithSomething: after all nodes restart, a tenant whose demand is
// unchanged is served from the first second on.
func TestAllStartedAgainBeginWithSomething(t *testing.T) {
	f := newFleet(t, 20)
	calm := &tenant.Tenant{Name: "calm", Limit: tenant.Limit{Rate: 1000, Burst: 1000}}
	f.tenants = []*tenant.Tenant{calm}
	random := rand.New(rand.NewPCG(9, 10))
	everywhere := []caller{{tenant: calm, nodes: upTo(20), rate: 110, mean: 5}}
	f.simulate(everywhere, 20, random)
	f.now = f.now.Add(time.Second)
	for _, n := range f.nodes {
		f.restart(n)
	}
	f.takeOver()
	for _, n := range f.nodes {
		f.report(n, false, false)
	}
	f.divide(true, true)
	granted := f.simulate(everywhere, 1, random)
	f.check()
	assert.Assert(t, granted[0] > 0.9, "%.3f", granted[0])
}

// BenchmarkSpend measures how long a node takes to decide from its own share.
func BenchmarkSpend(b *testing.B) {
	keeper := NewKeeper(tenant.Tolerance{Window: time.Second}, time.Now)
	t := &tenant.Tenant{Name: "t", Limit: tenant.Limit{Rate: 1e9, Burst: 1e9}}
	keeper.Apply(Grant{Version: 1, Shares: []Share{{Tenant: "t", Part: Whole}}}, time.Now())
	for b.Loop() {
		keeper.RecordDemand(t, 1)
		keeper.Spend(t, 1, 0)
	}
}

// BenchmarkDivide measures how long a divider takes to move the limits of 16 tenants among nodes
// that all have demand for all of them.
func BenchmarkDivide(b *testing.B) {
	for _, nodes := range []int{84, 300} {
		f := newFleet(b, nodes)
		f.tenants = nil
		for i := range 16 {
			f.tenants = append(f.tenants, &tenant.Tenant{Name: tenant.Name("t" + strconv.Itoa(i)), Limit: tenant.Limit{Rate: 1e5, Burst: 1e5}})
		}
		for _, n := range f.nodes {
			for _, t := range f.tenants {
				n.keeper.RecordDemand(t, 1000)
			}
			f.report(n, false, false)
		}
		b.Run(strconv.Itoa(nodes), func(b *testing.B) {
			for b.Loop() {
				f.divider.Next(f.tenants, f.now)
			}
		})
	}
}
