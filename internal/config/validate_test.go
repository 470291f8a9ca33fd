package config

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestOddNumbersWereInForce checks that numbers which no service has are refused, so that the last valid
// configuration stays in force.
func TestOddNumbersWereInForce(t *testing.T) {
	valid := func() *Configuration {
		engine := &Engine{Slots: 8, ModelMemory: 100, Models: map[string]*Model{"m": {Size: 1}}}
		return &Configuration{Revision: 1, Services: map[string]*Service{"s": {Engine: engine}}}
	}
	assert.NilError(t, valid().Validate())
	for name, change := range map[string]func(*Configuration){
		"slots":         func(c *Configuration) { c.Services["s"].Engine.Slots = math.MaxInt },
		"loads":         func(c *Configuration) { c.Services["s"].Engine.LoadsPerSecond = -1 },
		"load time":     func(c *Configuration) { c.Services["s"].Engine.Models["m"].LoadTime = -time.Second },
		"disk time":     func(c *Configuration) { c.Services["s"].Engine.Models["m"].DiskLoadTime = -time.Second },
		"adapter size":  func(c *Configuration) { c.Services["s"].Engine.Models["m"].AdapterSize = -1 },
		"header bytes":  func(c *Configuration) { c.Limits.MaximumHeaderBytes = -1 },
		"body bytes":    func(c *Configuration) { c.Limits.MaximumBodyBytes = math.MinInt64 },
		"header period": func(c *Configuration) { c.Limits.HeaderTimeout = -1 },
		"idle period":   func(c *Configuration) { c.Limits.IdleTimeout = -1 },
	} {
		odd := valid()
		change(odd)
		assert.Check(t, odd.Validate() != nil, name)
	}
}
