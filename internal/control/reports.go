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
	"lilacvane/internal/orders"
)

const (
	// reportTimeout bounds one report.
	reportTimeout = 300 * time.Millisecond
	// reportRetry is the time until a runner that did not report is asked again.
	reportRetry = 500 * time.Millisecond
	// maximumReports bounds the reports asked for at once.
	maximumReports = 24
)

// takeRunners follows the platform's list. While replicas are bounded each runner
// has to tell itself what it loads. mutex is held.
func (c *Controller) takeRunners(engine *config.Engine, now time.Time) {
	// Before the list is looked at: a later change is taken over in the next round.
	version := c.Fleet.ListVersion()
	if !c.listTaken || version != c.listVersion {
		c.takeList(now)
		c.listVersion, c.listTaken = version, true
	}
	bounded := engine.Bounded()
	for _, ledger := range c.ledgers {
		if bounded {
			ledger.Confirm(now)
		}
		c.ends.Follow(ledger)
	}
}

// takeList brings the accounts in step with the platform's list. mutex is held.
func (c *Controller) takeList(now time.Time) {
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
			c.noteEnd(ledger, now)
			c.ends.Forget(id)
			delete(c.ledgers, id)
		}
	}
}

// askReports asks the runners whose state may have changed. mutex is held.
func (c *Controller) askReports(ctx context.Context, engine *config.Engine, now time.Time) {
	for _, ledger := range c.ledgers {
		if c.asking >= maximumReports {
			return
		}
		if !c.mayReport(ledger, engine) || !ledger.WantsReport(now) {
			continue
		}
		c.asking++
		c.inFlight.Add(1)
		go c.askReport(ctx, c.token, ledger.Runner)
	}
}

func (c *Controller) askReport(ctx context.Context, token uint64, runner backend.Runner) {
	defer c.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	asked := time.Now()
	report, err := c.Runners.Report(ctx, runner)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.asking--
	ledger := c.ledgers[runner.ID]
	if c.token != token || ledger == nil {
		return
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		c.noteEnd(ledger, time.Now())
	}
	if err != nil {
		if ledger.ReportFailed(time.Now(), reportRetry) {
			c.changedView(ledger)
			c.Wake()
		}
		c.Log.Info("report missing", "runner", runner.ID, "silent", ledger.Silent(), "error", err.Error())
		return
	}
	if ledger.Reported(report, asked, time.Now()) {
		c.changedView(ledger)
		c.Log.Info("runner reported", "runner", runner.ID, "sequence", report.Sequence, "busy", report.Busy, "models", len(report.Models),
			"active", report.Active, "queued", report.Queued)
	}
	c.Wake()
}

// changedView makes a runner's new account known to waiting nodes. mutex is
// held.
func (c *Controller) changedView(ledger *orders.Ledger) {
	c.tell(slices.Collect(maps.Keys(ledger.Models()))...)
	ledger.Version = c.version
	c.noteRecent(ledger.Runner.ID, time.Now())
}
