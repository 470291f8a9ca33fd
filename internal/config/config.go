// Package config holds the active configuration: routes, services, models, tenants
// and limits. A Configuration is immutable; a change replaces it as a whole.
package config

import (
	"time"

	"lilacvane/internal/api"
	"lilacvane/internal/place"
	"lilacvane/internal/tenant"
)

// Kind is the type of a route's requests; it determines how often they may run.
type Kind string

// The kinds of routes.
const (
	// Safe requests may run more than once.
	Safe Kind = "safe"
	// Unsafe requests run at most once.
	Unsafe Kind = "unsafe"
	// Stream requests are answered with a stream of events. They run at most
	// once unless the route is resumable.
	Stream Kind = "stream"
)

// Configuration is one revision of all that operators configure.
type Configuration struct {
	// Revision increases with every change of the part that the platform's
	// adapter provides, ObjectRevision with every change of operators' objects.
	Revision       uint64
	ObjectRevision uint64
	Routes         []Route
	Services       map[string]*Service
	Limits         Limits
	// Names maps the model names that callers of the chat and completion calls
	// may use.
	Names map[string]ModelTarget
	// Drains holds the planned stops.
	Drains map[api.Drain]bool
	// Tenants lists the tenants. Requests must carry a key of one of them, unless
	// it is nil: then no key is needed.
	Tenants *tenant.Directory

	byHost map[string]*hostRoutes
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string
	Kind       Kind
	// Resumable streams may be continued at another runner, from the last
	// event received.
	Resumable bool
	// Timeout bounds the time that a request is held; zero means no limit.
	Timeout time.Duration
	// Objective is the latency objective for an answer or for the first event
	// of a stream.
	Objective time.Duration
	// PauseObjective is the latency objective between two events of a stream.
	PauseObjective time.Duration
	// ClientTimeout is the time after which clients of a stream disconnect if no
	// event arrives, the first one included; zero if that is not known.
	ClientTimeout time.Duration
	// Priority orders the routes; 0 is served first.
	Priority int
	// Attempts is the maximum number of runners that a request is sent to.
	Attempts int
	// Public routes need no key.
	Public bool
	// Homes are the only regions in which the route's requests are served.
	Homes place.Homes
	// Backends share the requests by weight.
	Backends []Backend
}

// Backend is a service's share of a route.
type Backend struct {
	Service string
	// Weight is relative to the weights of the route's other backends.
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
	// MaximumConnections is the number of connections that a runner accepts
	// from all nodes together; zero means no limit.
	MaximumConnections int
	// ColdStart is the time that a runner stays cold after it starts, ColdRate the number
	// of requests per second that it can take while cold. Both are zero if the service's
	// runners are never cold.
	ColdStart time.Duration
	ColdRate  float64
	// Engine is set for services whose runners are model engines.
	Engine *Engine
}

// Engine describes the runners of a model service.
type Engine struct {
	// Slots is the number of requests that a runner runs concurrently.
	Slots int
	// CacheTokens is a runner's memory for prompts and answers (the KV cache), in tokens.
	CacheTokens int
	// ModelMemory is a runner's memory for weights and adapters, in MB.
	ModelMemory float64
	// HostMemory and Disk are the sizes of the caches that hold further copies of
	// weights, in MB.
	HostMemory float64
	Disk       float64
	// AdapterSlots is the number of adapters that a runner can hold.
	AdapterSlots int
	// LoadsPerSecond is the rate of loads that the weight store allows for all
	// runners together.
	LoadsPerSecond float64
	Models         map[string]*Model
}

// Bounded reports whether any model has a bound on its replicas.
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
	// Object is the name of the operators' Model object; empty if the model is
	// listed by the platform's adapter.
	Object string
	// MaximumReplicas bounds the replicas of all weights of Object together, or
	// is Unlimited.
	MaximumReplicas int
	// Active is false if the weights belong to a version that no longer serves.
	Active bool
	// Size is the size of the weights in MB.
	Size float64
	// LoadTime, DiskLoadTime and HostLoadTime are the expected times of a load
	// from the weight store, a runner's disk and a runner's host memory.
	LoadTime     time.Duration
	DiskLoadTime time.Duration
	HostLoadTime time.Duration
	// AdapterSize is the size of each adapter in MB.
	AdapterSize float64
}

// Limits bounds what a client may send.
type Limits struct {
	MaximumHeaderBytes int
	MaximumBodyBytes   int64
	// HeaderTimeout bounds the time to read a request's header, IdleTimeout the
	// time between two requests on a connection.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// BuildIndex builds the lookup tables. It must be called once, before the
// configuration is shared.
func (c *Configuration) BuildIndex() {
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

// Drained reports whether the runner or its zone is under a planned stop.
func (c *Configuration) Drained(runner, zone string) bool {
	return c.Drains[api.Drain{Target: api.DrainRunner, Name: runner}] || c.Drains[api.Drain{Target: api.DrainZone, Name: zone}]
}

// Match returns the host's route whose prefix is the longest one that matches the
// path, or nil if there is none.
func (c *Configuration) Match(host, path string) *Route {
	routes := c.byHost[host]
	if routes == nil {
		return nil
	}
	return routes.match(path)
}

// FirstEngineService returns the first engine service by name, or "" if there is none.
// The node that holds its lease does the work that one node does for all services.
func (c *Configuration) FirstEngineService() string {
	first := ""
	for name, service := range c.Services {
		if service.Engine != nil && (first == "" || name < first) {
			first = name
		}
	}
	return first
}
