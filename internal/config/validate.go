package config

import (
	"fmt"
	"strings"

	"lilacvane/internal/fault"
)

const stepValidate = "validate configuration"

const (
	// maximumWeight is the maximum weight of a route's backend, so that sums of weights are exact.
	maximumWeight = 1_000_000_000
	// maximumSlots is the maximum number of requests that a runner runs concurrently.
	maximumSlots = 1 << 20
)

// Validate returns an error for the first problem found; it names the field.
func (c *Configuration) Validate() error {
	if c.Revision == 0 {
		return invalid("revision", "must not be zero")
	}
	if c.Limits.MaximumHeaderBytes < 0 || c.Limits.MaximumBodyBytes < 0 || min(c.Limits.HeaderTimeout, c.Limits.IdleTimeout) < 0 {
		return invalid("limits", "must not be negative")
	}
	for i := range c.Routes {
		if err := c.validateRoute(&c.Routes[i]); err != nil {
			return err
		}
	}
	for name, service := range c.Services {
		if err := service.validate(); err != nil {
			return fault.New(fault.CodeInvalid, stepValidate, "service %q: %v", name, err)
		}
	}
	return nil
}

func (c *Configuration) validateRoute(route *Route) error {
	field := fmt.Sprintf("route %q", route.Name)
	switch {
	case route.Host == "":
		return invalid(field, "host is missing")
	case !strings.HasPrefix(route.PathPrefix, "/"):
		return invalid(field, "path prefix must begin with a slash")
	case route.Kind != Safe && route.Kind != Unsafe && route.Kind != Stream:
		return invalid(field, fmt.Sprintf("unknown kind %q", route.Kind))
	case route.Attempts < 1:
		return invalid(field, "attempts must be at least 1")
	case route.Timeout < 0 || route.Objective < 0 || route.PauseObjective < 0:
		return invalid(field, "times must not be negative")
	case len(route.Backends) == 0:
		return invalid(field, "no service")
	}
	total := 0
	for _, backend := range route.Backends {
		if c.Services[backend.Service] == nil {
			return invalid(field, fmt.Sprintf("unknown service %q", backend.Service))
		}
		if backend.Weight < 0 || backend.Weight > maximumWeight {
			return invalid(field, fmt.Sprintf("weights must be 0 to %d", maximumWeight))
		}
		total += backend.Weight
	}
	if total == 0 {
		return invalid(field, "weights add up to zero")
	}
	return nil
}

func (s *Service) validate() error {
	if s.ColdStart < 0 || s.ColdRate < 0 {
		return invalid("coldStart", "times and rates must not be negative")
	}
	if s.Engine == nil {
		return nil
	}
	if s.Engine.Slots < 1 || s.Engine.Slots > maximumSlots {
		return invalid("engine.slots", fmt.Sprintf("must be 1 to %d", maximumSlots))
	}
	if s.Engine.LoadsPerSecond < 0 {
		return invalid("engine.loadsPerSecond", "must not be negative")
	}
	if s.Engine.ModelMemory <= 0 {
		return invalid("engine.modelMemory", "must be above zero")
	}
	for name, model := range s.Engine.Models {
		if model.Size <= 0 || model.Size > s.Engine.ModelMemory {
			return invalid("model "+name, "size must be above zero and fit a runner")
		}
		if min(model.LoadTime, model.HostLoadTime, model.DiskLoadTime) < 0 || model.AdapterSize < 0 {
			return invalid("model "+name, "times and sizes must not be negative")
		}
	}
	return nil
}

func invalid(field, problem string) error {
	return fault.New(fault.CodeInvalid, stepValidate, "%s: %s", field, problem)
}
