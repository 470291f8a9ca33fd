package catalog

import (
	"lilacvane/internal/api"
)

// Unit is what callers can name and runners can hold: a model in its active
// version, or an adapter on its base model.
type Unit struct {
	Name       string
	Version    string
	Base       string
	Checkpoint string
	MemoryMiB  int64
	// Replicas is the number of replicas decided by the operators.
	Replicas int
	// Grant is the committed grant, GrantGeneration its object's generation
	// (zero when there is none).
	Grant           api.Grant
	GrantGeneration uint64
	// Deleted is set when the object is gone but its grant remains.
	Deleted bool
}

// Item returns the grant item of a runner.
func (u Unit) Item(runner string) (api.GrantItem, bool) {
	for _, item := range u.Grant.Items {
		if item.Runner == runner {
			return item, true
		}
	}
	return api.GrantItem{}, false
}

// Unit resolves a name that a caller may use, or that still has a grant.
func (c *Catalog) Unit(name string) (Unit, bool) {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	unit, ok := c.units[name]
	return unit, ok
}

// Units returns all units in no order.
func (c *Catalog) Units() []Unit {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	units := make([]Unit, 0, len(c.units))
	for _, unit := range c.units {
		units = append(units, unit)
	}
	return units
}

// index brings the unit that an object belongs to up to date. The caller holds
// the mutex.
func (c *Catalog) index(key api.Key) {
	switch key.Kind {
	case api.KindModel, api.KindAdapter, api.KindGrant:
		c.indexUnit(key.Name)
	case api.KindVersion:
		for name := range c.names[api.KindModel] {
			c.indexUnit(name)
		}
	}
}

func (c *Catalog) indexAll() {
	for _, kind := range []api.Kind{api.KindModel, api.KindAdapter, api.KindGrant} {
		for name := range c.names[kind] {
			c.indexUnit(name)
		}
	}
}

func (c *Catalog) indexUnit(name string) {
	unit, declared := c.resolve(name)
	grantObject, granted := c.objects[api.Key{Kind: api.KindGrant, Name: name}]
	c.unindexRunners(name)
	if !declared && !granted {
		delete(c.units, name)
		return
	}
	unit.Name = name
	unit.Deleted = !declared
	if granted {
		grant, err := api.Decode[api.Grant](grantObject)
		if err == nil {
			unit.Grant = grant
			unit.GrantGeneration = grantObject.Generation
		}
	}
	c.units[name] = unit
	for _, item := range unit.Grant.Items {
		if c.onRunner[item.Runner] == nil {
			c.onRunner[item.Runner] = make(map[string]struct{})
		}
		c.onRunner[item.Runner][name] = struct{}{}
	}
}

func (c *Catalog) unindexRunners(name string) {
	for _, item := range c.units[name].Grant.Items {
		delete(c.onRunner[item.Runner], name)
		if len(c.onRunner[item.Runner]) == 0 {
			delete(c.onRunner, item.Runner)
		}
	}
}

// GrantedOn returns the units that have a grant item on a runner, in no order.
func (c *Catalog) GrantedOn(runner string) []Unit {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	units := make([]Unit, 0, len(c.onRunner[runner]))
	for name := range c.onRunner[runner] {
		units = append(units, c.units[name])
	}
	return units
}

// GrantedRunners returns a grant item for every runner that any grant names.
func (c *Catalog) GrantedRunners() []api.GrantItem {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	newest := make([]api.GrantItem, 0, len(c.onRunner))
	for runner, names := range c.onRunner {
		var latest api.GrantItem
		for name := range names {
			item, _ := c.units[name].Item(runner)
			if item.Generation >= latest.Generation {
				latest = item
			}
		}
		newest = append(newest, latest)
	}
	return newest
}

func (c *Catalog) resolve(name string) (Unit, bool) {
	if object, ok := c.objects[api.Key{Kind: api.KindModel, Name: name}]; ok {
		return c.resolveModel(object)
	}
	object, ok := c.objects[api.Key{Kind: api.KindAdapter, Name: name}]
	if !ok {
		return Unit{}, false
	}
	adapter, err := api.Decode[api.Adapter](object)
	if err != nil {
		return Unit{}, false
	}
	return Unit{
		Version: adapter.Checkpoint, Base: adapter.Model, Checkpoint: adapter.Checkpoint,
		MemoryMiB: adapter.MemoryMiB, Replicas: adapter.Replicas,
	}, true
}

func (c *Catalog) resolveModel(object api.Object) (Unit, bool) {
	model, err := api.Decode[api.Model](object)
	if err != nil {
		return Unit{}, false
	}
	versionObject, ok := c.objects[api.Key{Kind: api.KindVersion, Name: model.ActiveVersion}]
	if !ok {
		return Unit{}, false
	}
	version, err := api.Decode[api.Version](versionObject)
	if err != nil || version.Model != object.Name {
		return Unit{}, false
	}
	return Unit{
		Version: model.ActiveVersion, Checkpoint: version.Checkpoint,
		MemoryMiB: version.MemoryMiB, Replicas: model.Replicas,
	}, true
}
