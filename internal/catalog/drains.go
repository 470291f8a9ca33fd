package catalog

import "lilacvane/internal/api"

// Drains reports whether a planned stop of the target is in force.
func (c *Catalog) Drains(target api.DrainTarget, name string) bool {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	_, drained := c.drains[api.Drain{Target: target, Name: name}]
	return drained
}

// indexDrains reads the planned stops anew. It is called with the mutex held.
func (c *Catalog) indexDrains() {
	c.drains = make(map[api.Drain]struct{})
	for _, object := range c.objects[api.KindDrain] {
		if drain, err := api.Decode[api.Drain](object); err == nil {
			c.drains[drain] = struct{}{}
		}
	}
}
