// Package catalog holds a node's copy of the committed configuration: every
// object at the newest revision the node has applied. Revisions are applied in
// order and never step back.
package catalog

import (
	"sort"
	"strings"
	"sync"

	"lilacvane/internal/api"
	"lilacvane/internal/wire"
)

// KeptEntries is how many of the newest log entries a node keeps for operators'
// watches and histories.
const KeptEntries = 4096

// keptBytes bounds the objects in the kept entries.
const keptBytes = 1 << 20

// Catalog is safe for concurrent use. Its mutex guards every field; listeners
// are called without it.
type Catalog struct {
	mutex    sync.RWMutex
	revision uint64
	// objects holds the objects by kind and name.
	objects map[api.Kind]map[string]api.Object
	entries []wire.Entry
	// entryBytes is the size of the objects in entries.
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

// OnChange registers a function that is called after revisions were applied.
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

// Apply takes entries in the order of their revisions. Entries already applied
// are passed over; at the first gap it stops. It returns how many were new.
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

// ApplySnapshot replaces the content by a snapshot taken at revision, if that is
// newer than what is held. Objects may be newer than the revision; the entries
// that follow bring the rest in step.
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
	c.keep(entry)
}

// keep adds an entry to those kept and drops the oldest ones over the
// limits. It is called with the mutex held.
func (c *Catalog) keep(entry wire.Entry) {
	c.entries = append(c.entries, entry)
	c.entryBytes += entry.Size()
	drop := 0
	for len(c.entries)-drop > KeptEntries || c.entryBytes > keptBytes && len(c.entries)-drop > 1 {
		c.entryBytes -= c.entries[drop].Size()
		c.entries[drop] = wire.Entry{}
		drop++
	}
	c.entries = c.entries[drop:]
}

// put is called with the mutex held.
func (c *Catalog) put(object api.Object) {
	if c.objects[object.Kind] == nil {
		c.objects[object.Kind] = make(map[string]api.Object)
	}
	c.objects[object.Kind][object.Name] = object
}

// unlockAndNotify releases the mutex and then calls the listeners, which may
// read the catalog.
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

// Since returns up to limit entries after a revision. It reports false when they
// are no longer kept.
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

// GenerationAt returns an object's generation, zero if there is none, if the
// catalog is at exactly a revision.
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

// List returns the objects of a kind in name order.
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

// History returns the kept entries that changed an object, oldest first. An
// empty name selects all objects of the kind.
func (c *Catalog) History(kind api.Kind, name string) []wire.Entry {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var history []wire.Entry
	for _, entry := range c.entries {
		if touches(entry, kind, name) {
			history = append(history, entry)
		}
	}
	return history
}

func touches(entry wire.Entry, kind api.Kind, name string) bool {
	for _, change := range entry.Changes {
		sameName := name == "" || strings.EqualFold(change.Object.Name, name)
		if change.Object.Kind == kind && sameName {
			return true
		}
	}
	return false
}
