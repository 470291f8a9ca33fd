package control

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/config"
	"lilacvane/internal/fault"
	"lilacvane/internal/orders"
)

const (
	// reportTimeout is the timeout of one report request.
	reportTimeout = 300 * time.Millisecond
	// pathReportTimeout is the same for a runner that this node failed to connect to, so that peers
	// may be asked one after the other.
	pathReportTimeout = 900 * time.Millisecond
	// reportRetry is the time until a runner that did not report is asked again.
	reportRetry = 500 * time.Millisecond
	// maxPendingReports limits how many reports are requested at the same time.
	maxPendingReports = 24
)

// updateRunners brings the ledgers up to date with the platform's list. While replicas are
// limited, each runner must itself confirm what it loads. The caller holds mutex.
func (c *Controller) updateRunners(engine *config.Engine, now time.Time) {
	// Read before the list, so that a later change is picked up in the next round.
	version := c.Fleet.ListVersion()
	if !c.listTaken || version != c.listVersion {
		c.applyList(now)
		c.listVersion, c.listTaken = version, true
	}
	bounded := engine.Bounded()
	for _, ledger := range c.ledgers {
		if bounded {
			ledger.EnsureReport(now)
		}
		c.loadCrashes.Follow(ledger)
	}
}

// applyList brings the ledgers in line with the platform's list. The caller holds mutex.
func (c *Controller) applyList(now time.Time) {
	listed := make(map[string]bool)
	for _, runner := range c.Fleet.Runners(c.Service) {
		listed[runner.ID] = true
		ledger := c.ledgers[runner.ID]
		if ledger == nil {
			ledger = orders.NewLedger(runner)
			c.ledgers[runner.ID] = ledger
		}
		ledger.Listed(runner, now)
	}
	for id, ledger := range c.ledgers {
		if !listed[id] {
			c.recordEnd(ledger, now)
			c.loadCrashes.Forget(id)
			delete(c.ledgers, id)
		}
	}
}

// requestReports asks the runners whose state may have changed for reports. The caller
// holds mutex.
func (c *Controller) requestReports(ctx context.Context, engine *config.Engine, now time.Time) {
	for _, ledger := range c.ledgers {
		if c.pendingReports >= maxPendingReports {
			return
		}
		if !c.mayReport(ledger, engine) || !ledger.WantsReport(now) {
			continue
		}
		c.pendingReports++
		c.inFlight.Add(1)
		go c.requestReport(ctx, c.token, ledger.Runner)
	}
}

// requestReport asks one runner for a report and records the report, or its absence, in the
// runner's ledger.
func (c *Controller) requestReport(ctx context.Context, token uint64, runner backend.Runner) {
	defer c.inFlight.Done()
	timeout := reportTimeout
	if c.Reach.Fails(runner.Name()) {
		timeout = pathReportTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout+c.Allowance.Get())
	defer cancel()
	asked := time.Now()
	report, err := c.Runners.Report(ctx, runner)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.pendingReports--
	ledger := c.ledgers[runner.ID]
	if c.token != token || ledger == nil {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.recordEnd(ledger, time.Now())
	}
	if errors.Is(err, context.DeadlineExceeded) && time.Since(asked) < c.Allowance.Get() {
		ledger.ReportLate(time.Now(), reportRetry)
		c.Log.Info("report late", "runner", runner.ID, "error", err.Error())
		return
	}
	if fault.IsCode(err, fault.CodeInvalid) && c.CountInvalidReport != nil {
		c.CountInvalidReport()
	}
	if err != nil {
		if ledger.ReportFailed(time.Now(), reportRetry) {
			c.publishLedger(ledger)
			c.Wake()
		}
		c.Log.Info("report missing", "runner", runner.ID, "silent", ledger.Silent(), "error", err.Error())
		return
	}
	if ledger.Reported(report, asked, time.Now()) {
		c.publishLedger(ledger)
		c.Log.Info("runner reported", "runner", runner.ID, "sequence", report.Sequence, "busy", report.Busy, "models", len(report.Models),
			"active", report.Active, "queued", report.Queued)
	}
	c.Wake()
}

// publishLedger makes a runner's changed ledger visible to waiting nodes. The caller holds
// mutex.
func (c *Controller) publishLedger(ledger *orders.Ledger) {
	c.publish(slices.Collect(maps.Keys(ledger.Models()))...)
	ledger.Version = c.version
	c.recordChange(ledger.Runner.ID, time.Now())
}
