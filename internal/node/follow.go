package node

import (
	"context"
	"sync"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/commit"
	"lilacvane/internal/config"
	"lilacvane/internal/evacuation"
	"lilacvane/internal/fault"
	"lilacvane/internal/feed"
	"lilacvane/internal/fleet"
	"lilacvane/internal/metrics"
	"lilacvane/internal/origin"
	"lilacvane/internal/place"
	"lilacvane/internal/quarantine"
	"lilacvane/internal/relay"
	"lilacvane/internal/table"
)

// Names under which the nodes relay tables to each other.
const (
	tableConfiguration relay.Table = "configuration"
	tableObjects       relay.Table = "objects"
	tableRunners       relay.Table = "runners"
	tablePoison        relay.Table = "poison"
	tableBuilds        relay.Table = "builds"
)

const (
	// configurationWait is short because its answers also prove that the relay, and the store
	// behind it, are reachable.
	configurationWait = 400 * time.Millisecond
	runnerWait        = 2 * time.Second
	feedTimeout       = 900 * time.Millisecond
	// listTimeout bounds a read of all runners. A page holds about 2,000 of them.
	listTimeout = 6 * time.Second
	// objectWait is the wait for operator objects, quarantined requests and builds, which change rarely.
	objectWait = 10 * time.Second
	// runnerInterval batches changes of the runner list.
	runnerInterval = 200 * time.Millisecond
	// doubtfulGap is the time without contact to the platform after which missing runners are not
	// considered gone.
	doubtfulGap = 3 * time.Second
	// doubtfulShare is the share of the runners that, removed all at once, are not considered gone.
	// doubtfulCount is the minimum number.
	doubtfulShare = 0.3
	doubtfulCount = 3
	// departedPeriod is how long a runner that has left may be in a restored list: the platform removes its row
	// after three missed heartbeats, which begin anew with the store's return.
	departedPeriod = 6 * time.Second
)

// followers follows the platform's tables.
type followers struct {
	configuration *feed.Follower
	objects       *feed.Follower
	runners       *feed.Follower
	poison        *feed.Follower
	builds        *feed.Follower
	// objectLog restores the log of operator objects.
	objectLog *commit.Restorer

	// mutex orders changes of the active configuration.
	mutex sync.Mutex
	base  *config.Configuration
}

func newFollowers(n *Node) *followers {
	log := n.log.Logger
	configuration := n.relay.Source(tableConfiguration, n.platform.Configuration)
	objects := n.relay.Source(tableObjects, n.platform.Objects)
	runners := n.relay.Source(tableRunners, n.platform.Runners)
	objectFollower := commit.NewFollower(n.catalog, n.reportRow(tableObjects), log)
	return &followers{
		objectLog: &commit.Restorer{Committer: n.committer, Follower: objectFollower, Entries: n.catalog.Entries, Applied: n.objectsRestored},
		configuration: feed.NewFollower(configuration, (*configurationHandler)(n),
			feed.Options{Name: string(tableConfiguration), Wait: configurationWait, Pace: n.configurationPace, RetrySignal: n.relay.UpstreamFound, Timeout: feedTimeout}, log),
		objects: feed.NewFollower(objects, &objectHandler{Follower: objectFollower, node: n},
			feed.Options{Name: string(tableObjects), Wait: objectWait, RetrySignal: n.relay.UpstreamFound, Timeout: feedTimeout}, log),
		runners: feed.NewFollower(runners, (*runnerHandler)(n),
			feed.Options{Name: string(tableRunners), Wait: runnerWait, Interval: runnerInterval, Pace: n.listPace, RetrySignal: n.relay.UpstreamFound, Timeout: feedTimeout, ReadTimeout: listTimeout}, log),
		poison: feed.NewFollower(n.relay.Source(tablePoison, n.platform.Poison), (*quarantine.Handler)(n.quarantine),
			feed.Options{Name: string(tablePoison), Wait: objectWait, RetrySignal: n.relay.UpstreamFound, Timeout: feedTimeout}, log),
		builds: feed.NewFollower(n.relay.Source(tableBuilds, n.platform.Builds), (*origin.Handler)(n.origins),
			feed.Options{Name: string(tableBuilds), Wait: objectWait, RetrySignal: n.relay.UpstreamFound, Timeout: feedTimeout}, log),
	}
}

// run follows all tables until ctx ends.
func (f *followers) run(ctx context.Context, work *sync.WaitGroup) {
	for _, follower := range []*feed.Follower{f.configuration, f.objects, f.runners, f.poison, f.builds} {
		work.Go(func() { follower.Run(ctx) })
	}
}

// configurationHandler applies the platform's part of the configuration.
type configurationHandler Node

// ApplySnapshot applies the whole table. Zones come first, so that no request is served before it
// is known which zones are evacuated.
func (h *configurationHandler) ApplySnapshot(rows []feed.Row, _ time.Duration) {
	h.zones.applySnapshot(h.evacuationRows(rows))
	h.configure(rows)
}

// ApplyChanges applies changed rows.
func (h *configurationHandler) ApplyChanges(rows []feed.Row) {
	if evacuationRows := h.evacuationRows(rows); len(evacuationRows) > 0 {
		h.zones.applyChanges(evacuationRows, time.Since(h.followers.configuration.LastResponse()))
	}
	h.configure(rows)
}

// ApplyRestored applies what does not go back: the configuration by its own revision, and zones of which
// the opposite is not known.
func (h *configurationHandler) ApplyRestored(rows []feed.Row) []feed.Deferred {
	deferred, applied := partition(rows, func(row feed.Row) bool {
		zone, ok := h.platform.EvacuatedZone(row.Key)
		return ok && h.zones.contradicts(evacuation.Row{Zone: zone, Returned: row.Deleted})
	})
	h.ApplyChanges(applied)
	return feed.Defer(deferred, table.SettlingPeriod)
}

// Keys returns the keys of the rows that evacuate zones.
func (h *configurationHandler) Keys() []string { return h.zones.keysOut() }

// partition splits rows by a condition.
func partition(rows []feed.Row, condition func(feed.Row) bool) (fulfilling, others []feed.Row) {
	for _, row := range rows {
		if condition(row) {
			fulfilling = append(fulfilling, row)
		} else {
			others = append(others, row)
		}
	}
	return fulfilling, others
}

// evacuationRows returns the rows that evacuate zones or end an evacuation.
func (h *configurationHandler) evacuationRows(rows []feed.Row) []evacuation.Row {
	var evacuationRows []evacuation.Row
	for _, row := range rows {
		zone, ok := h.platform.EvacuatedZone(row.Key)
		switch {
		case !ok:
		case zone == "":
			(*Node)(h).passOver(tableConfiguration, row, fault.New(fault.CodeInvalid, "follow zones", "evacuation row has no zone"))
		default:
			h.zones.keys[row.Key] = zone
			evacuationRows = append(evacuationRows, evacuation.Row{Zone: zone, Revision: row.Revision, Returned: row.Deleted})
		}
	}
	return evacuationRows
}

// configure applies the platform's configuration if it is among rows.
func (h *configurationHandler) configure(rows []feed.Row) {
	for _, row := range rows {
		if row.Key == h.platform.ConfigurationKey && !row.Deleted {
			(*Node)(h).applyBase(row)
		}
	}
}

// applyBase activates a configuration of the platform. If it is invalid or older, the last valid
// one stays active.
func (n *Node) applyBase(row feed.Row) {
	decoded, unknown, err := n.platform.DecodeConfiguration(row.Value)
	if err == nil {
		err = decoded.Validate()
	}
	if err != nil {
		n.log.Error(err, "configuration refused", "bytes", len(row.Value))
		n.passOver(tableConfiguration, row, err)
		return
	}
	if unknown != "" {
		n.log.Info("unknown configuration field ignored", "step", "decode configuration", "field", unknown, "revision", decoded.Revision)
	}
	n.followers.mutex.Lock()
	defer n.followers.mutex.Unlock()
	if current := n.followers.base; current != nil && decoded.Revision <= current.Revision {
		n.log.Info("older configuration passed over", "revision", decoded.Revision, "inForce", current.Revision)
		return
	}
	n.followers.base = decoded
	n.compose()
	n.recordNews(metrics.NewsConfiguration, n.followers.configuration)
}

// reportRow returns a function that reports a row of a table that this node cannot use.
func (n *Node) reportRow(of relay.Table) func(feed.Row, error) {
	return func(row feed.Row, err error) { n.passOver(of, row, err) }
}

// passOver reports a row that this node cannot use.
func (n *Node) passOver(of relay.Table, row feed.Row, err error) {
	n.platform.Unreadable.Report(table.UnreadableRow{Table: string(of), Key: row.Key, Revision: row.Revision, Err: err})
}

// objectHandler applies operator objects.
type objectHandler struct {
	*commit.Follower
	node *Node
}

// ApplySnapshot applies the whole table.
func (h *objectHandler) ApplySnapshot(rows []feed.Row, gap time.Duration) {
	h.Follower.ApplySnapshot(rows, gap)
	h.node.objectsChanged()
}

// ApplyChanges applies changed rows.
func (h *objectHandler) ApplyChanges(rows []feed.Row) {
	h.Follower.ApplyChanges(rows)
	if h.Follower.TakeDamaged() {
		h.node.followers.objects.Reread()
	}
	h.node.objectsChanged()
}

// ApplyRestored applies rows of a restored table.
func (h *objectHandler) ApplyRestored(rows []feed.Row) []feed.Deferred {
	deferred := h.Follower.ApplyRestored(rows)
	h.node.objectsChanged()
	return deferred
}

// objectsChanged activates the newest objects.
func (n *Node) objectsChanged() {
	n.policies.Refresh()
	n.followers.mutex.Lock()
	defer n.followers.mutex.Unlock()
	current := n.configuration.Load()
	if current != nil && current.ObjectRevision >= n.catalog.Revision() {
		return
	}
	if n.followers.base == nil && n.catalog.Revision() == 0 {
		return
	}
	n.compose()
}

// objectsRestored activates the objects of a restored log, whose revision may have decreased.
func (n *Node) objectsRestored() {
	n.policies.Refresh()
	n.followers.mutex.Lock()
	defer n.followers.mutex.Unlock()
	n.compose()
}

// activeConfiguration returns the configuration for requests. It is nil until both the platform's
// part and the operator objects were read. With objects alone, requests for the platform's routes
// were answered with 404: 7 of 820 in a run in which nodes were restarted again and again.
func (n *Node) activeConfiguration() *config.Configuration {
	if !n.followers.configuration.Read() || !n.followers.objects.Read() {
		return nil
	}
	return n.configuration.Load()
}

// compose activates the newest configuration. The caller holds followers.mutex, so that two
// compositions cannot overtake each other.
func (n *Node) compose() {
	composed, problems := config.Compose(n.followers.base, n.catalog.Revision(), n.catalog.List)
	for _, problem := range problems {
		n.log.Error(problem, "invalid object ignored", "step", "compose configuration")
	}
	old := n.configuration.Swap(composed)
	n.log.Info("configuration in force", "revision", composed.Revision, "objects", composed.ObjectRevision, "routes", len(composed.Routes),
		"services", len(composed.Services), "names", len(composed.Names))
	n.logUnknownHomes(composed)
	n.limits.follow(composed)
	n.quarantine.Follow(composed)
	n.controls.follow(composed)
	n.fleet.Wake()
	n.recordZoneDrains(old, composed)
}

// runnerHandler applies the list of runners.
type runnerHandler Node

// ApplySnapshot applies the whole list.
func (h *runnerHandler) ApplySnapshot(rows []feed.Row, gap time.Duration) {
	runners, _, _ := h.decode(rows)
	h.recordRestarts(runners)
	h.fleet.SetListRevision(h.followers.runners.DeliveringRevision())
	h.origins.SetListed(runners)
	h.fleet.Replace(runners, gap > doubtfulGap)
	h.runnersListed.Store(true)
	h.log.Info("runners listed", "runners", len(runners), "kept", h.fleet.Count(), "doubtful", gap > doubtfulGap)
	h.afterListChange()
}

// ApplyChanges applies changed rows.
func (h *runnerHandler) ApplyChanges(rows []feed.Row) {
	changed, removed, unusable := h.decode(rows)
	doubtful := len(removed) >= doubtfulCount && float64(len(removed)) >= doubtfulShare*float64(h.fleet.Count())
	h.recordRestarts(changed)
	if !doubtful {
		h.recordRemovals(removed)
	}
	h.fleet.SetListRevision(h.followers.runners.DeliveringRevision())
	h.origins.Change(changed, deletedKeys(rows))
	h.fleet.Apply(changed, append(removed, unusable...), doubtful)
	// One line per batch, as each of hundreds of nodes reports hundreds of runners.
	draining := drainingRunners(changed)
	if len(draining) > 0 {
		h.log.Info("runners leaving", "runners", draining)
	}
	if len(removed) > 0 {
		h.log.Info("runners gone", "runners", removed, "doubtful", doubtful)
	}
	if len(draining)+len(removed) > 0 {
		(*Node)(h).recordNews(metrics.NewsLeaving, h.followers.runners)
	}
	h.afterListChange()
	if h.fleet.NeedsFullList() {
		h.log.Info("kept runners lost, reading the full list again", "kept", h.fleet.Count())
		h.followers.runners.Reread()
	}
}

// ApplyRestored applies what does not go back. Runners that the list lacks stay until the settling period
// ends. Those that have left do not return before the platform had the time to remove them again.
func (h *runnerHandler) ApplyRestored(rows []feed.Row) []feed.Deferred {
	missing, present := partition(rows, func(row feed.Row) bool { return row.Deleted })
	departed, applied := partition(present, func(row feed.Row) bool {
		runner, err := h.platform.DecodeRunner(row.Key, row.Value)
		return err == nil && h.fleet.Outdated(runner)
	})
	h.ApplyChanges(applied)
	return append(feed.Defer(missing, table.SettlingPeriod), feed.Defer(departed, departedPeriod)...)
}

// Keys returns the names of the listed runners.
func (h *runnerHandler) Keys() []string { return h.fleet.Names() }

// configurationPace is how long this node waits for a change of the configuration. It is at most
// half of the time within which a change must arrive, so that the configuration's age shows whether
// one may have been missed.
func (n *Node) configurationPace() time.Duration {
	return min(n.relay.Pace(), n.settings.Load().Configuration.Within/2)
}

// listPace is how long this node batches changes of runners. A node that controls a service does
// not batch: other nodes trust what it reports about runners only if its list is as new as theirs.
func (n *Node) listPace() time.Duration { return batchInterval(n.fleet, n.relay.Pace) }

func batchInterval(runners *fleet.Fleet, pace func() time.Duration) time.Duration {
	if runners.TracksAll() {
		return 0
	}
	return pace()
}

// requireFullList makes this node keep all runners while it controls a service.
func (n *Node) requireFullList(needed bool) {
	if n.fleet.SetTrackAll(needed || n.holdsAny()) && needed {
		n.log.Info("all runners needed", "kept", n.fleet.Count())
		n.followers.runners.Reread()
	}
}

// drainingRunners lists the runners that are draining.
func drainingRunners(runners []backend.Runner) []string {
	var draining []string
	for _, runner := range runners {
		if runner.Draining {
			draining = append(draining, runner.ID)
		}
	}
	return draining
}

// afterListChange closes connections to runners that are no longer listed and wakes the
// controllers.
func (h *runnerHandler) afterListChange() {
	h.pool.Forget(h.fleet.Named)
	h.cold.checkSoon()
	h.controls.wake()
}

// decode decodes rows. unusable lists runners whose row no longer describes a usable runner, which
// does not mean that they ended.
func (h *runnerHandler) decode(rows []feed.Row) (changed []backend.Runner, removed, unusable []string) {
	for _, row := range rows {
		if row.Deleted {
			if listed, known := h.fleet.Listed(row.Key); known {
				removed = append(removed, listed.ID)
			}
			continue
		}
		runner, err := h.platform.DecodeRunner(row.Key, row.Value)
		if err != nil {
			(*Node)(h).passOver(tableRunners, row, err)
			if listed, known := h.fleet.Listed(row.Key); known {
				unusable = append(unusable, listed.ID)
			}
			continue
		}
		runner.Revision = row.Revision
		runner.Region = string(h.settings.Load().Zones.Region(place.Zone(runner.Zone)))
		changed = append(changed, runner)
	}
	return changed, removed, unusable
}
