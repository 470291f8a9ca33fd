package catalog

import "lilacvane/internal/api"

// Drains reports whether a planned stop of the target is in force.
func (c *Catalog) Drains(target api.DrainTarget, name string) bool {
	for _, object := range c.List(api.KindDrain) {
		drain, err := api.Decode[api.Drain](object)
		if err == nil && drain.Target == target && drain.Name == name {
			return true
		}
	}
	return false
}
