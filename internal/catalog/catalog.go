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

// KeptEntries is how many of the newest log entries a node keeps for peers that
// lag; a peer further behind reads a snapshot.
const KeptEntries = 4096

// Catalog is safe for concurrent use. Its mutex guards every field; listeners
// are called without it.
type Catalog struct {
	mutex    sync.RWMutex
	revision uint64
	objects  map[api.Key]api.Object
	names    map[api.Kind]map[string]struct{}
	// newest holds, by kind, the newest revision that changed an object of it.
	newest    map[api.Kind]uint64
	entries   []wire.Entry
	listeners []func()
	changed   chan struct{}
	units     map[string]Unit
	// onRunner holds, by runner, the names of the units granted on it.
	onRunner map[string]map[string]struct{}
}

// New returns an empty catalog at revision zero.
func New() *Catalog {
	return &Catalog{objects: make(map[api.Key]api.Object), names: make(map[api.Kind]map[string]struct{}), newest: make(map[api.Kind]uint64), changed: make(chan struct{}), units: make(map[string]Unit), onRunner: make(map[string]map[string]struct{})}
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
	c.objects = make(map[api.Key]api.Object, len(objects))
	c.units = make(map[string]Unit)
	c.onRunner = make(map[string]map[string]struct{})
	c.entries = nil
	c.names = make(map[api.Kind]map[string]struct{})
	for kind := range c.newest {
		c.newest[kind] = revision
	}
	for _, object := range objects {
		c.put(object)
	}
	c.indexAll()
	c.unlockAndNotify(true)
	return true
}

func (c *Catalog) applyEntry(entry wire.Entry) {
	for _, change := range entry.Changes {
		key := change.Object.Key()
		c.newest[key.Kind] = entry.Revision
		if c.objects[key].Generation > entry.Revision {
			continue
		}
		if change.Deleted {
			delete(c.objects, key)
			delete(c.names[key.Kind], key.Name)
		} else {
			c.put(change.Object)
		}
		c.index(key)
	}
	c.revision = entry.Revision
	c.entries = append(c.entries, entry)
	if len(c.entries) > 2*KeptEntries {
		c.entries = append([]wire.Entry(nil), c.entries[len(c.entries)-KeptEntries:]...)
	}
}

// put is called with the mutex held.
func (c *Catalog) put(object api.Object) {
	c.newest[object.Kind] = max(c.newest[object.Kind], object.Generation)
	c.objects[object.Key()] = object
	if c.names[object.Kind] == nil {
		c.names[object.Kind] = make(map[string]struct{})
	}
	c.names[object.Kind][object.Name] = struct{}{}
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

// Page returns up to limit objects whose key (kind/name) is above after, in key
// order, the revision they were read at, and whether more follow.
func (c *Catalog) Page(after string, limit int) (uint64, []api.Object, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	keys := make([]string, 0, len(c.objects))
	byKey := make(map[string]api.Object, len(c.objects))
	for key, object := range c.objects {
		text := key.String()
		if text > after {
			keys = append(keys, text)
			byKey[text] = object
		}
	}
	sort.Strings(keys)
	more := len(keys) > limit
	objects := make([]api.Object, 0, min(limit, len(keys)))
	for _, key := range keys[:min(limit, len(keys))] {
		objects = append(objects, byKey[key])
	}
	return c.revision, objects, more
}

// Newest returns the newest revision that changed an object of the kinds.
func (c *Catalog) Newest(kinds ...api.Kind) uint64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	var newest uint64
	for _, kind := range kinds {
		newest = max(newest, c.newest[kind])
	}
	return newest
}

// Get returns an object.
func (c *Catalog) Get(kind api.Kind, name string) (api.Object, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	object, ok := c.objects[api.Key{Kind: kind, Name: name}]
	return object, ok
}

// List returns the objects of a kind in name order.
func (c *Catalog) List(kind api.Kind) []api.Object {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	objects := make([]api.Object, 0, len(c.names[kind]))
	for name := range c.names[kind] {
		objects = append(objects, c.objects[api.Key{Kind: kind, Name: name}])
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
