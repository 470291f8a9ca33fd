package fleet

import (
	"container/list"
	"time"

	"lilacvane/internal/backend"
)

const (
	// promptEntries bounds the prompt parts remembered per runner.
	promptEntries = 512
	// promptLifetime is how long a prompt is assumed to stay cached after its last use.
	promptLifetime = 30 * time.Second
)

// Part is one part of a prompt. Requests may share parts; a runner caches a part only together
// with all parts before it.
type Part struct {
	ID     string
	Tokens int
}

type promptKey struct {
	unit backend.Unit
	// chain joins the identifiers of a part and of all parts before it.
	chain string
}

type promptEntry struct {
	key  promptKey
	used time.Time
}

// promptCache models which prompts a runner has cached, evicting the least recently used. The
// zero value is an empty cache, as it stays for most runners.
type promptCache struct {
	entries map[promptKey]*list.Element
	order   *list.List
}

// match returns the number of tokens in a prompt and how many of the leading ones are assumed
// to be cached.
func (c *promptCache) match(unit backend.Unit, prompt []Part, now time.Time) (total, kept int) {
	chain := ""
	matching := true
	for _, part := range prompt {
		total += part.Tokens
		chain += part.ID + "."
		if !matching {
			continue
		}
		element := c.entries[promptKey{unit, chain}]
		if element == nil || now.Sub(element.Value.(*promptEntry).used) > promptLifetime {
			matching = false
			continue
		}
		kept += part.Tokens
	}
	return total, kept
}

// add records that the runner reads a prompt.
func (c *promptCache) add(unit backend.Unit, prompt []Part, now time.Time) {
	if c.entries == nil {
		c.entries, c.order = make(map[promptKey]*list.Element), list.New()
	}
	chain := ""
	for _, part := range prompt {
		chain += part.ID + "."
		c.use(promptKey{unit, chain}, now)
	}
	for c.order.Len() > promptEntries {
		oldest := c.order.Back()
		delete(c.entries, oldest.Value.(*promptEntry).key)
		c.order.Remove(oldest)
	}
}

func (c *promptCache) use(key promptKey, now time.Time) {
	if element := c.entries[key]; element != nil {
		element.Value.(*promptEntry).used = now
		c.order.MoveToFront(element)
		return
	}
	c.entries[key] = c.order.PushFront(&promptEntry{key: key, used: now})
}

func (c *promptCache) clear() {
	*c = promptCache{}
}
