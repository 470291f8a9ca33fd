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

// limits are this node's part in the limits that all nodes share. The holder of one
// service's control lease divides them.
type limits struct {
	node    *Node
	keeper  *limit.Keeper
	rows    table.Table
	service atomic.Pointer[string]
	log     logr.Logger
	// mute are lenders that did not answer just now.
	mute *muted

	mutex sync.Mutex
	// divider is set while this node divides limits; revision is that of the row it works
	// on, and used by run alone.
	divider  *limit.Divider
	revision uint64
}

func newLimits(n *Node, s settings.Limits) *limits {
	l := &limits{node: n, keeper: limit.NewKeeper(tolerance(s), time.Now), rows: n.platform.Limits, log: n.log.Logger, mute: newMuted(mutePause, longestMute, time.Now)}
	none := ""
	l.service.Store(&none)
	peer.Handle(n.peers, wire.MethodSpend, l.spend)
	peer.Handle(n.peers, wire.MethodDivision, l.division)
	return l
}

func tolerance(s settings.Limits) tenant.Tolerance {
	return tenant.Tolerance{Window: s.Window, Share: s.Share, Slack: s.Slack}
}

// follow takes over a configuration: the first service of engines, by name, is the one
// whose holder divides limits.
func (l *limits) follow(configuration *config.Configuration) {
	first := configuration.FirstEngines()
	limited := limitedTenants(configuration)
	if len(limited) == 0 {
		first = ""
	} else if first == "" {
		l.log.Error(fault.New(fault.CodeInvalid, "divide limits", "no service of engines, whose holder would divide them"), "limits are not kept", "tenants", len(limited))
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

// of returns the part of the limits that travels with the demand of a service.
func (l *limits) of(service string) serviceLimits { return serviceLimits{limits: l, service: service} }

// serviceLimits are a node's reports on limits to the holder of one service.
type serviceLimits struct {
	limits  *limits
	service string
}

// Report returns what to tell; nil when another service's holder divides limits.
func (s serviceLimits) Report() *wire.LimitReport {
	if *s.limits.service.Load() != s.service {
		return nil
	}
	version, asked := s.limits.keeper.Report()
	return &wire.LimitReport{Process: s.limits.node.process, Version: version, Asked: asked}
}

// Undelivered takes back a report that got no answer.
func (s serviceLimits) Undelivered(report *wire.LimitReport) { s.limits.keeper.Restore(report.Asked) }

// Apply takes over the answer to a report sent then.
func (s serviceLimits) Apply(grant *limit.Grant, sent time.Time) { s.limits.keeper.Apply(*grant, sent) }
