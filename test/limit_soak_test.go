package test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/world"
	"lilacvane/platform/protocol"
)

// tenantRequest is a request that a client sent for a tenant.
type tenantRequest struct {
	tenant string
	at     time.Time
}

// tenantLoad sends requests of tenants continuously and records when each was sent.
type tenantLoad struct {
	mutex sync.Mutex
	sent  map[string]tenantRequest
	group sync.WaitGroup
}

// sendAtRate sends a tenant's requests to a node, rate per second, until ctx ends.
func (p *tenantLoad) sendAtRate(ctx context.Context, node *world.Node, tenant string, rate float64) {
	p.group.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				id := newID()
				p.mutex.Lock()
				p.sent[id] = tenantRequest{tenant: tenant, at: time.Now()}
				p.mutex.Unlock()
				p.group.Go(func() {
					send(context.WithoutCancel(ctx), node, clientRequest{ID: id, Path: "/read/x", Key: tenant + "-key", Deadline: 3 * time.Second})
				})
			}
		}
	})
}

// assertRunsWithinLimit checks that in each window no more of a tenant's requests were both
// sent and run than its limit allows.
func (p *tenantLoad) assertRunsWithinLimit(t *testing.T, h history, tenant string) (runs int) {
	t.Helper()
	type pair struct{ sent, ran time.Time }
	var pairs []pair
	for _, record := range h.records {
		if record.Event != journal.EventRun || record.Tenant != tenant {
			continue
		}
		from, known := p.sent[record.Request]
		assert.Assert(t, known && from.tenant == tenant, "a request ran for %s that it did not send: %+v", tenant, record)
		pairs = append(pairs, pair{sent: from.at, ran: record.Time})
	}
	slices.SortFunc(pairs, func(a, b pair) int { return a.sent.Compare(b.sent) })
	most := int((hotRate*hotWindow.Seconds() + hotBurst) * (1 + hotShare))
	for i, first := range pairs {
		end := first.sent.Add(hotWindow)
		count := 0
		for _, other := range pairs[i:] {
			if other.sent.After(end) {
				break
			}
			if !other.ran.After(end) {
				count++
			}
		}
		assert.Assert(t, count <= most, "%d of %s sent and run within %s, at most %d", count, tenant, hotWindow, most)
	}
	return len(pairs)
}

// limitFaults are the groups of faults that TestLimitSoak injects: those that affect nodes,
// their peers and the store.
var limitFaults = []string{groupLastNode, "freeze", "peers", "store"}

// TestLimitSoak injects faults of nodes, links and the store on a schedule that the seed
// determines, while one tenant sends several times its limit to all nodes and another stays
// within its own. At the end every window of both is checked.
func TestLimitSoak(t *testing.T) {
	t.Parallel()
	t.Logf("seed %d, %d rounds", *soakSeed, *soakRounds)
	w := newWorld(t, func(o *world.Options) {
		o.Adjust = useShortLimitWindows
		o.Seed = *soakSeed
	})
	startMailers(t, w, 3)
	s := &soak{t: t, w: w, nodes: startNodes(t, w, 4), random: rand.New(rand.NewPCG(*soakSeed, 1))}
	for _, fault := range soakFaults {
		if slices.Contains(limitFaults, fault.group) && fault.name != "drain a runner" {
			s.kinds = append(s.kinds, fault)
		}
	}
	assert.NilError(t, w.ConfigureTenants([]protocol.Tenant{newTenant("hot", hotRate, hotBurst), newTenant("calm", hotRate, hotBurst)}))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := &tenantLoad{sent: make(map[string]tenantRequest)}
	for _, node := range s.nodes {
		p.sendAtRate(ctx, node, "hot", hotRate)
		p.sendAtRate(ctx, node, "calm", hotRate/10)
	}
	for range *soakRounds {
		s.runRound()
	}
	cancel()
	p.group.Wait()
	h := readHistory(t, w)
	hot, calm := p.assertRunsWithinLimit(t, h, "hot"), p.assertRunsWithinLimit(t, h, "calm")
	t.Logf("%d sent, of hot %d ran, of calm %d", len(p.sent), hot, calm)
	assert.Assert(t, hot > 0 && calm > 0)
}
