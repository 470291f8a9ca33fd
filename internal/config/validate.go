package config

import (
	"fmt"
	"strings"

	"lilacvane/internal/fault"
)

const stepValidate = "validate configuration"

// Validate returns an error for the first problem found; it names the field.
func (c *Configuration) Validate() error {
	if c.Revision == 0 {
		return invalid("revision", "must not be zero")
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
		if backend.Weight < 0 {
			return invalid(field, "weights must not be negative")
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
	if s.Engine.Slots < 1 {
		return invalid("engine.slots", "must be at least 1")
	}
	if s.Engine.ModelMemory <= 0 {
		return invalid("engine.modelMemory", "must be above zero")
	}
	for name, model := range s.Engine.Models {
		if model.Size <= 0 || model.Size > s.Engine.ModelMemory {
			return invalid("model "+name, "size must be above zero and fit a runner")
		}
	}
	return nil
}

func invalid(field, problem string) error {
	return fault.New(fault.CodeInvalid, stepValidate, "%s: %s", field, problem)
}
