package enginestub

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

const (
	cacheEntries  = 512
	cacheWords    = 16
	hashModulo    = 10000
	maximumEvents = 256
)

// prefixCache remembers the prefixes of prompts, by whole groups of words, and
// forgets the ones used longest ago. The engine's mutex guards it.
type prefixCache struct {
	order   *list.List
	entries map[string]*list.Element
	events  []cacheEvent
	counter uint64
}

// cacheEvent tells that a prefix came or went. Number counts all events; the
// list that engines publish has gaps, since only some are kept.
type cacheEvent struct {
	Number uint64 `json:"number"`
	Prefix uint64 `json:"prefix"`
	Stored bool   `json:"stored"`
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), entries: make(map[string]*list.Element)}
}

// use returns how many words of a prompt were cached and caches the rest.
func (c *prefixCache) use(unit, prompt string) int {
	words := strings.Fields(prompt)
	cached := 0
	for end := cacheWords; end <= len(words); end += cacheWords {
		key := unit + "\x00" + strings.Join(words[:end], " ")
		if c.touch(key) {
			cached = end
		}
	}
	return cached
}

// touch marks a prefix as used and tells whether it was there.
func (c *prefixCache) touch(key string) bool {
	if element, known := c.entries[key]; known {
		c.order.MoveToFront(element)
		return true
	}
	c.entries[key] = c.order.PushFront(key)
	c.note(key, true)
	if c.order.Len() > cacheEntries {
		oldest := c.order.Back()
		c.order.Remove(oldest)
		name := oldest.Value.(string)
		delete(c.entries, name)
		c.note(name, false)
	}
	return false
}

func (c *prefixCache) note(key string, stored bool) {
	c.counter++
	c.events = append(c.events, cacheEvent{Number: c.counter, Prefix: xxhash.Sum64String(key), Stored: stored})
	if len(c.events) > maximumEvents {
		c.events = c.events[len(c.events)-maximumEvents:]
	}
}

// export returns the cached prefixes, newest first.
func (c *prefixCache) export() []string {
	keys := make([]string, 0, c.order.Len())
	for element := c.order.Front(); element != nil; element = element.Next() {
		keys = append(keys, element.Value.(string))
	}
	return keys
}

// cachedByHash tells whether a checkpoint is on an engine's disk from the start.
func cachedByHash(settings Settings, checkpoint string) bool {
	hash := xxhash.Sum64String(settings.Runner + "\x00" + checkpoint)
	return float64(hash%hashModulo) < settings.CachedShare*hashModulo
}
