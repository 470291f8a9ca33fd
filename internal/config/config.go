// Package config holds the routing configuration in force: routes, services and
// limits. A Configuration is immutable; the newest one replaces the last.
package config

import (
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// Kind says how often a route's requests may run.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with events. They run at most once unless
	// the route is resumable.
	Stream Kind = "stream"
)

// Configuration is one revision of everything operators configure.
type Configuration struct {
	// Revision grows with every change of the adapter's part, ObjectRevision
	// with every change of the operators' objects.
	Revision       uint64
	ObjectRevision uint64
	Routes         []Route
	Services       map[string]*Service
	Limits         Limits
	// Names are what callers of chat and completion calls may ask for.
	Names map[string]Name
	// Drains are the planned stops.
	Drains map[api.Drain]bool
	// Tenants are those whose keys requests must carry; nil when everybody may call.
	Tenants *tenant.Directory

	byHost map[string]*hostRoutes
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may be continued at another runner after the last
	// event that arrived.
	Resumable bool
	// Timeout is the longest time a request is held; zero means no limit.
	Timeout time.Duration
	// Objective is the time within which an answer, or a stream's first event,
	// counts as prompt.
	Objective time.Duration
	// PauseObjective is the longest pause between events of a prompt stream.
	PauseObjective time.Duration
	// Patience is how long clients of a stream wait for its next event, the
	// first included, before they leave; zero when that is not known.
	Patience time.Duration
	// Priority is the route's rank; 0 is served first.
	Priority int
	// Attempts is the largest number of runners one request may run at.
	Attempts int
	// Public routes need no key.
	Public bool
	// Homes are the regions in which alone its requests are served.
	Homes place.Homes
	// Backends share the requests by weight.
	Backends []Backend
}

// Backend is a service's share of a route.
type Backend struct {
	Service string
	// Weight is relative to the other backends' of the route.
	Weight int
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service is a set of runners of one kind.
type Service struct {
	Name       string
	HealthPath string
	// MaximumConnections is how many connections a runner accepts from all
	// nodes together; zero means no limit.
	MaximumConnections int
	// ColdStart is how long a runner is cold after its start, ColdRate how many requests a
	// second it bears while it is cold; zero where runners are never cold.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set for services of model engines.
	Engine *Engine
}

// Engine describes the runners of a model service.
type Engine struct {
	// Slots is how many requests a runner runs at once.
	Slots int
	// CacheTokens is a runner's memory for prompts and answers, in tokens.
	CacheTokens int
	// ModelMemory is a runner's memory for weights and adapters, in MB.
	ModelMemory float64
	// HostMemory and Disk keep copies of weights beside it, in MB.
	HostMemory float64
	Disk       float64
	// AdapterSlots is how many adapters a runner holds.
	AdapterSlots int
	// LoadsPerSecond is what the weight store allows all runners together.
	LoadsPerSecond float64
	Models         map[string]*Model
}

// Bounded reports whether the replicas of some model are bounded.
func (e *Engine) Bounded() bool {
	for _, model := range e.Models {
		if model.MaximumReplicas != Unlimited {
			return true
		}
	}
	return false
}

// Model is one set of weights.
type Model struct {
	Name string
	// Object is the name of the operators' Model object; empty when an adapter
	// listed the model.
	Object string
	// MaximumReplicas bounds the replicas of all weights of Object together;
	// Unlimited for none.
	MaximumReplicas int
	// Active is set unless the weights belong to a version that no longer
	// serves.
	Active bool
	// Size is the size of the weights in MB.
	Size float64
	// LoadTime, DiskLoadTime and HostLoadTime are the times of a load from the
	// weight store, a runner's disk and its host memory.
	LoadTime     time.Duration
	DiskLoadTime time.Duration
	HostLoadTime time.Duration
	// AdapterSize is the size of each adapter in MB.
	AdapterSize float64
}

// Limits bound what a client may send.
type Limits struct {
	MaximumHeaderBytes int
	MaximumBodyBytes   int64
	// HeaderTimeout bounds the time until a request's header is in, IdleTimeout
	// the time between two requests of a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Finish builds the lookup tables. It is called once, before the configuration
// is shared.
func (c *Configuration) Finish() {
	c.byHost = make(map[string]*hostRoutes, len(c.Routes))
	for i := range c.Routes {
		route := &c.Routes[i]
		routes := c.byHost[route.Host]
		if routes == nil {
			routes = &hostRoutes{byPrefix: make(map[string]*Route)}
			c.byHost[route.Host] = routes
		}
		routes.add(route)
	}
}

// Drained reports whether a planned stop of a runner or its zone is in force.
func (c *Configuration) Drained(runner, zone string) bool {
	return c.Drains[api.Drain{Target: api.DrainRunner, Name: runner}] || c.Drains[api.Drain{Target: api.DrainZone, Name: zone}]
}

// Match returns the route of a host with the longest prefix of path, or nil.
func (c *Configuration) Match(host, path string) *Route {
	routes := c.byHost[host]
	if routes == nil {
		return nil
	}
	return routes.match(path)
}

// FirstEngines is the first service of engines, by name, whose holder does what one node does
// for all services; empty where there is none.
func (c *Configuration) FirstEngines() string {
	first := ""
	for name, service := range c.Services {
		if service.Engine != nil && (first == "" || name < first) {
			first = name
		}
	}
	return first
}
