package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/limit"
	"lilacvane/internal/peer"
	"lilacvane/internal/settings"
	"lilacvane/internal/table"
	"lilacvane/internal/tenant"
	"lilacvane/internal/wire"
)

// limits is this node's part in enforcing tenant limits, which all nodes share. The holder of one
// service's control lease divides them.
type limits struct {
	node   *Node
	keeper *limit.Keeper
	// rows is the table that stores how limits are divided.
	rows table.Table
	// service is the name of the service whose lease holder divides limits. It is empty while no
	// limits are enforced.
	service atomic.Pointer[string]
	log     logr.Logger
	// backoff tracks lenders that recently did not answer.
	backoff *peerBackoff

	mutex sync.Mutex
	// divider is set while this node divides limits. revision is that of the row it works on and is
	// used by run only.
	divider  *limit.Divider
	revision table.Revision
	// confirmed is the record that this node wrote last while it has divided limits without a break.
	// lostSince is when it found that the row is of a copy of the store; zero if it is not. Both are
	// used by run only.
	confirmed *limit.Record
	lostSince time.Time
}

func newLimits(n *Node, s settings.Limits) *limits {
	l := &limits{node: n, keeper: limit.NewKeeper(tolerance(s), time.Now), rows: table.NewFenced(n.platform.Limits, n.platform.Epochs), log: n.log.Logger, backoff: newPeerBackoff(lenderBackoff, maxLenderBackoff, time.Now)}
	none := ""
	l.service.Store(&none)
	peer.Handle(n.peers, wire.MethodSpend, l.handleSpend)
	peer.Handle(n.peers, wire.MethodDivision, l.handleDivision)
	return l
}

func tolerance(s settings.Limits) tenant.Tolerance {
	return tenant.Tolerance{Window: s.Window, Share: s.Share, Slack: s.Slack}
}

// follow applies a configuration. The holder of the first engine service, by name, divides limits.
func (l *limits) follow(configuration *config.Configuration) {
	first := configuration.FirstEngineService()
	limited := limitedTenants(configuration)
	if len(limited) == 0 {
		first = ""
	} else if first == "" {
		l.log.Error(fault.New(fault.CodeInvalid, "divide limits", "no service of engines, whose holder would divide them"), "tenant limits not enforced", "tenants", len(limited))
	}
	l.service.Store(&first)
	l.keeper.Forget(func(name tenant.Name) bool {
		_, known := configuration.Tenants.Find(name)
		return known
	})
}

// limitedTenants lists the tenants that have a limit.
func limitedTenants(configuration *config.Configuration) []*tenant.Tenant {
	var limited []*tenant.Tenant
	for _, name := range configuration.Tenants.Names() {
		if t, _ := configuration.Tenants.Find(name); t.Limit.Limited() {
			limited = append(limited, t)
		}
	}
	return limited
}

// forService returns the limit reports that are sent with the demand of a service.
func (l *limits) forService(service string) serviceLimits {
	return serviceLimits{limits: l, service: service}
}

// serviceLimits reports limits to the lease holder of one service.
type serviceLimits struct {
	limits  *limits
	service string
}

// Report returns the report to send, or nil if another service's lease holder divides limits.
func (s serviceLimits) Report() *wire.LimitReport {
	if *s.limits.service.Load() != s.service {
		return nil
	}
	version, asked := s.limits.keeper.Report()
	return &wire.LimitReport{Process: s.limits.node.process, Version: version, Asked: asked}
}

// Undelivered restores a report that got no answer.
func (s serviceLimits) Undelivered(report *wire.LimitReport) { s.limits.keeper.Restore(report.Asked) }

// Apply applies the answer to a report sent at that time.
func (s serviceLimits) Apply(grant *limit.Grant, sent time.Time) { s.limits.keeper.Apply(*grant, sent) }
