package config

import (
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/backend"
	"lilacvane/internal/fault"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

const (
	// megabytesPerMiB converts the sizes in objects.
	megabytesPerMiB = 1.048576
	// defaultLoadRate is assumed for loads whose time is not known, in MB/s.
	defaultLoadRate = 1024 * megabytesPerMiB
	// defaultDiskSpeedup is how much faster than a load from the weight store a load from
	// a runner's disk is assumed to be, if its time is not known.
	defaultDiskSpeedup = 4
	// Unlimited is the MaximumReplicas of a model without a bound on its replicas.
	Unlimited = -1
)

// ModelTarget is what a model name stands for that callers of the chat and completion
// calls may use.
type ModelTarget struct {
	// Service and Unit are what serves the name.
	Service string
	Unit    backend.Unit
	// Replicas is the operators' bound on replicas; zero forbids the name's use.
	Replicas int
}

// Objects returns the operators' objects of a kind.
type Objects func(kind api.Kind) []api.Object

// Compose merges a base configuration, which the platform's adapter provides and
// which may be nil, with the operators' objects. Objects that cannot be used are
// left out, with an error for each.
func Compose(base *Configuration, revision uint64, objects Objects) (*Configuration, []error) {
	c := &composer{
		result: &Configuration{ObjectRevision: revision, Services: make(map[string]*Service), Names: make(map[string]ModelTarget), Drains: make(map[api.Drain]bool)},
	}
	if base != nil {
		c.result.Revision, c.result.Limits, c.result.Tenants = base.Revision, base.Limits, base.Tenants
		c.result.Routes = append(c.result.Routes, base.Routes...)
		for name, service := range base.Services {
			c.result.Services[name] = service.clone()
		}
	}
	decodeEach(c, objects(api.KindService), c.addService)
	decodeEach(c, objects(api.KindRoute), c.addRoute)
	if tenants := objects(api.KindTenant); len(tenants) > 0 {
		c.result.Tenants = c.result.Tenants.Clone()
		decodeEach(c, tenants, c.addTenant)
	}
	c.addListedModels()
	versions := make(map[string]api.Version)
	decodeEach(c, objects(api.KindVersion), func(name string, version api.Version) error {
		versions[name] = version
		return nil
	})
	models := make(map[string]api.Model)
	decodeEach(c, objects(api.KindModel), func(name string, model api.Model) error {
		models[name] = model
		return c.addModel(name, model, versions)
	})
	c.addInactiveVersions(models, versions)
	decodeEach(c, objects(api.KindAdapter), c.addAdapter)
	decodeEach(c, objects(api.KindDrain), func(_ string, drain api.Drain) error {
		c.result.Drains[drain] = true
		return nil
	})
	c.result.BuildIndex()
	return c.result, c.problems
}

// composer builds a Configuration and collects the errors of objects that it leaves out.
type composer struct {
	result   *Configuration
	problems []error
}

// decodeEach decodes objects and calls addObject for each of them. Errors are appended to
// the composer's problems.
func decodeEach[T any](c *composer, objects []api.Object, addObject func(name string, spec T) error) {
	for _, object := range objects {
		spec, err := api.Decode[T](object)
		if err == nil {
			err = addObject(object.Name, spec)
		}
		if err != nil {
			c.problems = append(c.problems, err)
		}
	}
}

func (c *composer) addService(name string, spec api.Service) error {
	service := &Service{Name: name, HealthPath: spec.HealthPath, MaximumConnections: spec.MaximumConnections}
	if spec.Engine != nil {
		service.Engine = &Engine{
			Slots: spec.Engine.Slots, ModelMemory: float64(spec.Engine.MemoryMiB) * megabytesPerMiB,
			AdapterSlots: spec.Engine.AdapterSlots, LoadsPerSecond: spec.Engine.LoadsPerSecond, Models: make(map[string]*Model),
		}
	}
	c.result.Services[name] = service
	return nil
}

func (c *composer) addRoute(name string, spec api.Route) error {
	route := Route{
		Name: name, Host: spec.Host, PathPrefix: spec.PathPrefix, Kind: Kind(spec.Kind), Resumable: spec.Resumable,
		Timeout: seconds(spec.TimeoutSeconds), Objective: seconds(spec.ObjectiveSeconds), PauseObjective: seconds(spec.PauseObjectiveSeconds),
		Priority: spec.Priority, Attempts: spec.Attempts, Public: spec.Public, Homes: place.HomesFromNames(spec.Homes),
	}
	for _, part := range spec.Backends {
		route.Backends = append(route.Backends, Backend{Service: part.Service, Weight: part.Weight})
	}
	if err := c.result.validateRoute(&route); err != nil {
		return err
	}
	c.result.Routes = append(c.result.Routes, route)
	return nil
}

// addTenant adds a tenant. It fails if the name is taken by a tenant of the base, or if
// another tenant has one of its keys.
func (c *composer) addTenant(name string, spec api.Tenant) error {
	added := tenant.Tenant{Name: tenant.Name(name), Priority: spec.Priority, Homes: place.HomesFromNames(spec.Homes)}
	if l := spec.Limit; l != nil {
		added.Limit = tenant.Limit{Rate: l.Rate, Burst: l.Burst, PlainCost: l.PlainCost}
		if l.Unit == api.UnitTokens {
			added.Limit.Unit = tenant.Tokens
		}
	}
	for _, key := range spec.Keys {
		digest, err := tenant.ParseDigest(key.SHA256)
		if err != nil {
			return err
		}
		added.Keys = append(added.Keys, digest)
	}
	return c.result.Tenants.Add(added)
}

// addListedModels adds names for the models that the base lists.
func (c *composer) addListedModels() {
	for name, service := range c.result.Services {
		if service.Engine == nil {
			continue
		}
		for weights := range service.Engine.Models {
			c.result.Names[weights] = ModelTarget{Service: name, Unit: backend.Unit{Model: weights}, Replicas: Unlimited}
		}
	}
}

func (c *composer) addModel(name string, spec api.Model, versions map[string]api.Version) error {
	version, known := versions[spec.ActiveVersion]
	if !known || version.Model != name {
		return fault.New(fault.CodeInvalid, stepValidate, "Model/%s: there is no Version %s of it", name, spec.ActiveVersion)
	}
	service, err := c.engineService(name, spec.Service)
	if err != nil {
		return err
	}
	service.Engine.Models[version.Checkpoint] = newModel(name, spec, version)
	c.result.Names[name] = ModelTarget{Service: service.Name, Unit: backend.Unit{Model: version.Checkpoint}, Replicas: spec.Replicas}
	return nil
}

// engineService returns the engine service of a model: the one that the model names, or
// the only one.
func (c *composer) engineService(model, named string) (*Service, error) {
	var found *Service
	for name, service := range c.result.Services {
		if service.Engine == nil || (named != "" && name != named) {
			continue
		}
		if found != nil {
			return nil, fault.New(fault.CodeInvalid, stepValidate, "Model/%s: there are several services of engines; name one", model)
		}
		found = service
	}
	if found == nil {
		return nil, fault.New(fault.CodeInvalid, stepValidate, "Model/%s: there is no service %q of engines", model, named)
	}
	return found, nil
}

// newModel describes the weights of a version of a Model object. Load times that the
// version leaves out are estimated.
func newModel(object string, spec api.Model, version api.Version) *Model {
	size := float64(version.MemoryMiB) * megabytesPerMiB
	weights := &Model{
		Name: version.Checkpoint, Object: object, Size: size, MaximumReplicas: spec.Replicas, Active: true,
		LoadTime: seconds(version.LoadSeconds), DiskLoadTime: seconds(version.DiskLoadSeconds), HostLoadTime: seconds(version.HostLoadSeconds),
	}
	if weights.LoadTime == 0 {
		weights.LoadTime = seconds(size / defaultLoadRate)
	}
	if weights.DiskLoadTime == 0 {
		weights.DiskLoadTime = weights.LoadTime / defaultDiskSpeedup
	}
	return weights
}

// addInactiveVersions adds the versions that no longer serve. They may still be loaded, and
// count as replicas of their model until they are unloaded.
func (c *composer) addInactiveVersions(models map[string]api.Model, versions map[string]api.Version) {
	for _, version := range versions {
		model, known := models[version.Model]
		if !known || versions[model.ActiveVersion].Checkpoint == version.Checkpoint {
			continue
		}
		service, err := c.engineService(version.Model, model.Service)
		if err != nil || service.Engine.Models[version.Checkpoint] != nil {
			continue
		}
		weights := newModel(version.Model, model, version)
		weights.Active = false
		service.Engine.Models[version.Checkpoint] = weights
	}
}

func (c *composer) addAdapter(name string, spec api.Adapter) error {
	base, known := c.result.Names[spec.Model]
	if !known {
		return fault.New(fault.CodeInvalid, stepValidate, "Adapter/%s: there is no Model %s", name, spec.Model)
	}
	weights := c.result.Services[base.Service].Engine.Models[base.Unit.Model]
	weights.AdapterSize = max(weights.AdapterSize, float64(spec.MemoryMiB)*megabytesPerMiB)
	replicas := spec.Replicas
	if base.Replicas == 0 {
		replicas = 0
	}
	c.result.Names[name] = ModelTarget{
		Service: base.Service, Unit: backend.Unit{Model: base.Unit.Model, Adapter: spec.Checkpoint}, Replicas: replicas,
	}
	return nil
}

func (s *Service) clone() *Service {
	copied := *s
	if s.Engine != nil {
		engine := *s.Engine
		engine.Models = make(map[string]*Model, len(s.Engine.Models))
		for name, model := range s.Engine.Models {
			weights := *model
			engine.Models[name] = &weights
		}
		copied.Engine = &engine
	}
	return &copied
}

func seconds(value float64) time.Duration { return time.Duration(value * float64(time.Second)) }
