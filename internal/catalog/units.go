package catalog

import (
	"slices"
	"unique"

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

// NamesVersion grows whenever a unit comes or goes.
func (c *Catalog) NamesVersion() uint64 {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	return c.namesVersion
}

// UnitNames returns the names of all units in no order.
func (c *Catalog) UnitNames() []string {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	names := make([]string, 0, len(c.units))
	for name := range c.units {
		names = append(names, name)
	}
	return names
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
	case api.KindDrain:
		c.indexDrains()
	case api.KindVersion:
		for name := range c.objects[api.KindModel] {
			c.indexUnit(name)
		}
	}
}

func (c *Catalog) indexUnit(name string) {
	unit, declared := c.resolve(name)
	grantObject, granted := c.objects[api.KindGrant][name]
	before := c.units[name]
	c.unindexRunners(name)
	if !declared && !granted {
		if before.Name != "" {
			delete(c.units, name)
			c.namesVersion++
		}
		return
	}
	if before.Name == "" {
		c.namesVersion++
	}
	unit.Name = name
	unit.Deleted = !declared
	if granted {
		unit.Grant = before.Grant
		if grantObject.Spec != nil {
			unit.Grant = c.takeGrant(grantObject)
		}
		unit.GrantGeneration = grantObject.Generation
	}
	c.units[name] = unit
	for _, item := range unit.Grant.Items {
		c.onRunner[item.Runner] = append(c.onRunner[item.Runner], name)
	}
}

// takeGrant decodes a grant and drops its spec, which takes more memory than the
// rest of a unit. Names that many grants share are kept once.
func (c *Catalog) takeGrant(object api.Object) api.Grant {
	grant, err := api.Decode[api.Grant](object)
	if err != nil {
		return api.Grant{}
	}
	for index := range grant.Items {
		item := &grant.Items[index]
		for _, shared := range []*string{&item.Runner, &item.Incarnation, &item.Address, &item.Zone, &item.Region} {
			*shared = unique.Make(*shared).Value()
		}
	}
	object.Spec = nil
	c.objects[api.KindGrant][object.Name] = object
	return grant
}

func (c *Catalog) unindexRunners(name string) {
	for _, item := range c.units[name].Grant.Items {
		names := c.onRunner[item.Runner]
		if at := slices.Index(names, name); at >= 0 {
			names = slices.Delete(names, at, at+1)
		}
		c.onRunner[item.Runner] = names
		if len(names) == 0 {
			delete(c.onRunner, item.Runner)
		}
	}
}

// GrantedOn returns the units that have a grant item on a runner, in no order.
func (c *Catalog) GrantedOn(runner string) []Unit {
	c.mutex.RLock()
	defer c.mutex.RUnlock()
	units := make([]Unit, 0, len(c.onRunner[runner]))
	for _, name := range c.onRunner[runner] {
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
		for _, name := range names {
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
	if object, ok := c.objects[api.KindModel][name]; ok {
		return c.resolveModel(object)
	}
	object, ok := c.objects[api.KindAdapter][name]
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
	versionObject, ok := c.objects[api.KindVersion][model.ActiveVersion]
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
