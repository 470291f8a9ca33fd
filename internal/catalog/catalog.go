// Package catalog holds a node's copy of the committed configuration: all objects
// as of the newest revision that the node has applied. Revisions are applied in
// order and never decrease.
package catalog

import (
	"sort"
	"strings"
	"sync"

	"lilacvane/internal/api"
	"lilacvane/internal/wire"
)

// MaximumEntries is the number of log entries, the newest ones, that a node keeps for
// watches and histories.
const MaximumEntries = 4096

// maximumTotalBytes bounds the total size of the objects in the kept log entries.
const maximumTotalBytes = 1 << 20

// Catalog holds the objects of the configuration and its newest log entries. It is
// safe for concurrent use. Its mutex guards every field; listeners are called
// without holding it.
type Catalog struct {
	mutex    sync.RWMutex
	revision uint64
	// resets counts how often the content was replaced with that of another history.
	resets int
	// objects maps kinds and names to objects.
	objects map[api.Kind]map[string]api.Object
	entries []wire.Entry
	// entryBytes is the total size of the objects in entries.
	entryBytes int
	listeners  []func()
	changed    chan struct{}
}

// New returns an empty catalog at revision zero.
func New() *Catalog {
	return &Catalog{objects: make(map[api.Kind]map[string]api.Object), changed: make(chan struct{})}
}

// Revision returns the newest applied revision.
func (c *Catalog) Revision() uint64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.revision
}

// OnChange registers a function that is called after new revisions were applied.
func (c *Catalog) OnChange(listener func()) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.listeners = append(c.listeners, listener)
}

// Changed returns a channel that is closed at the next change.
func (c *Catalog) Changed() <-chan struct{} {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.changed
}

// Apply applies entries, which must be in revision order. It skips entries that were
// applied before and stops at the first gap. It returns how many entries were new.
func (c *Catalog) Apply(entries []wire.Entry) int {
	c.mutex.Lock()
	applied := 0
	for _, entry := range entries {
		if entry.Revision <= c.revision {
			continue
		}
		if entry.Revision != c.revision+1 {
			break
		}
		c.applyEntry(entry)
		applied++
	}
	c.unlockAndNotify(applied > 0)
	return applied
}

// ApplySnapshot replaces the content with a snapshot taken at revision, and reports
// whether it did: it ignores snapshots that are not newer. Objects may be newer than
// the revision; the log entries that follow update the others.
func (c *Catalog) ApplySnapshot(revision uint64, objects []api.Object) bool {
	c.mutex.Lock()
	if revision <= c.revision {
		c.mutex.Unlock()
		return false
	}
	c.revision = revision
	c.objects = make(map[api.Kind]map[string]api.Object)
	c.entries, c.entryBytes = nil, 0
	for _, object := range objects {
		c.put(object)
	}
	c.unlockAndNotify(true)
	return true
}

// Reset replaces the content with that of another history, of which entries are the newest entries. The
// revision may decrease.
func (c *Catalog) Reset(revision uint64, objects []api.Object, entries []wire.Entry) {
	c.mutex.Lock()
	c.resets++
	c.revision = revision
	c.objects = make(map[api.Kind]map[string]api.Object)
	c.entries, c.entryBytes = nil, 0
	for _, object := range objects {
		c.put(object)
	}
	for _, entry := range entries {
		c.appendEntry(entry)
	}
	c.unlockAndNotify(true)
}

// Resets returns how often the content was replaced with that of another history. Revisions from before a reset
// name no entries after it.
func (c *Catalog) Resets() int {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.resets
}

// Entries returns the kept log entries, oldest first.
func (c *Catalog) Entries() []wire.Entry {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return append([]wire.Entry(nil), c.entries...)
}

func (c *Catalog) applyEntry(entry wire.Entry) {
	for _, change := range entry.Changes {
		key := change.Object.Key()
		if c.objects[key.Kind][key.Name].Generation > entry.Revision {
			continue
		}
		if change.Deleted {
			delete(c.objects[key.Kind], key.Name)
		} else {
			c.put(change.Object)
		}
	}
	c.revision = entry.Revision
	c.appendEntry(entry)
}

// appendEntry appends a log entry and drops the oldest entries beyond the limits. The mutex
// must be held.
func (c *Catalog) appendEntry(entry wire.Entry) {
	c.entries = append(c.entries, entry)
	c.entryBytes += entry.Size()
	dropped := 0
	for len(c.entries)-dropped > MaximumEntries || c.entryBytes > maximumTotalBytes && len(c.entries)-dropped > 1 {
		c.entryBytes -= c.entries[dropped].Size()
		c.entries[dropped] = wire.Entry{}
		dropped++
	}
	c.entries = c.entries[dropped:]
}

// put stores an object. The mutex must be held.
func (c *Catalog) put(object api.Object) {
	if c.objects[object.Kind] == nil {
		c.objects[object.Kind] = make(map[string]api.Object)
	}
	c.objects[object.Kind][object.Name] = object
}

// unlockAndNotify releases the mutex and, after a change, calls the listeners, which
// may read the catalog.
func (c *Catalog) unlockAndNotify(changed bool) {
	var listeners []func()
	if changed {
		close(c.changed)
		c.changed = make(chan struct{})
		listeners = c.listeners
	}
	c.mutex.Unlock()
	for _, listener := range listeners {
		listener()
	}
}

// Since returns up to limit entries after a revision. It reports false if they are no
// longer kept.
func (c *Catalog) Since(after uint64, limit int) ([]wire.Entry, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	if after >= c.revision {
		return nil, true
	}
	if len(c.entries) == 0 || c.entries[0].Revision > after+1 {
		return nil, false
	}
	start := int(after + 1 - c.entries[0].Revision)
	end := min(start+limit, len(c.entries))
	return append([]wire.Entry(nil), c.entries[start:end]...), true
}

// GenerationAt returns the generation of an object, or zero if it does not exist. It
// reports whether the catalog is at exactly the given revision.
func (c *Catalog) GenerationAt(revision uint64, key api.Key) (uint64, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.objects[key.Kind][key.Name].Generation, c.revision == revision
}

// Get returns an object.
func (c *Catalog) Get(kind api.Kind, name string) (api.Object, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	object, ok := c.objects[kind][name]
	return object, ok
}

// List returns the objects of a kind, sorted by name.
func (c *Catalog) List(kind api.Kind) []api.Object {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	objects := make([]api.Object, 0, len(c.objects[kind]))
	for _, object := range c.objects[kind] {
		objects = append(objects, object)
	}
	sort.Slice(objects, func(i, j int) bool { return objects[i].Name < objects[j].Name })
	return objects
}

// History returns the kept log entries that changed an object, oldest first. An
// empty name selects all objects of the kind.
func (c *Catalog) History(kind api.Kind, name string) []wire.Entry {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var history []wire.Entry
	for _, entry := range c.entries {
		if changesObject(entry, kind, name) {
			history = append(history, entry)
		}
	}
	return history
}

func changesObject(entry wire.Entry, kind api.Kind, name string) bool {
	for _, change := range entry.Changes {
		sameName := name == "" || strings.EqualFold(change.Object.Name, name)
		if change.Object.Kind == kind && sameName {
			return true
		}
	}
	return false
}
