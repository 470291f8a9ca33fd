// Package nodeconfig reads and checks a node's settings file. docs/SETTINGS.md
// lists the fields with their units.
package nodeconfig

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lilacvane/internal/fault"
)

// Settings of one node.
type Settings struct {
	// Node names this node; unique in the fleet.
	Node string `yaml:"node"`
	// Zone and Region place the node.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Listen are the addresses this node listens on.
	Listen Listen `yaml:"listen"`
	// Store is where the platform's store is.
	Store Store `yaml:"store"`
	// Retries bounds repeated requests of a service over all nodes.
	Retries Retries `yaml:"retries"`
	// Lease bounds who may order runners.
	Lease Lease `yaml:"lease"`
	// Stop bounds a planned stop.
	Stop Stop `yaml:"stop"`
	// Log tunes the log on standard output.
	Log Log `yaml:"log"`
}

// Listen are listening addresses (ip:port).
type Listen struct {
	Clients string `yaml:"clients"`
	Ready   string `yaml:"ready"`
	Peers   string `yaml:"peers"`
	// Metrics is optional.
	Metrics string `yaml:"metrics"`
}

// Store is the platform's store.
type Store struct {
	// Address is its ip:port.
	Address string `yaml:"address"`
}

// Retries are the bounds of a service's budget of retries.
type Retries struct {
	// Ratio is the part of the requests that may be sent again.
	Ratio float64 `yaml:"ratio"`
	// Slack is how many more there may be within Window.
	Slack float64 `yaml:"slack"`
	// Window is the sliding window of both.
	Window time.Duration `yaml:"window"`
}

// Lease bounds who may order runners.
type Lease struct {
	// TurnGap must lie between orders of two nodes.
	TurnGap time.Duration `yaml:"turnGap"`
}

// Stop bounds a planned stop.
type Stop struct {
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration `yaml:"grace"`
}

// Log tunes the log.
type Log struct {
	// Level is error, info or debug.
	Level string `yaml:"level"`
}

// Default returns the settings that a file changes.
func Default() Settings {
	return Settings{
		Retries: Retries{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Lease:   Lease{TurnGap: 3 * time.Second},
		Stop:    Stop{Grace: 8 * time.Second},
		Log:     Log{Level: "info"},
	}
}

// Parse reads settings over the defaults. unknown lists fields that are not
// known; they change nothing.
func Parse(content []byte) (settings Settings, unknown []string, err error) {
	settings = Default()
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err = decoder.Decode(&settings)
	if err == nil || errors.Is(err, io.EOF) {
		return settings, nil, nil
	}
	var typed *yaml.TypeError
	if !errors.As(err, &typed) {
		return settings, nil, fault.New(fault.CodeInvalid, "read settings", "%v", err)
	}
	settings = Default()
	if err := yaml.Unmarshal(content, &settings); err != nil {
		return settings, nil, fault.New(fault.CodeInvalid, "read settings", "%v", err)
	}
	for _, problem := range typed.Errors {
		unknown = append(unknown, problem)
	}
	return settings, unknown, nil
}

// Validate reports all problems of the settings at once.
func (s *Settings) Validate() error {
	var problems []string
	check := func(ok bool, format string, arguments ...any) {
		if !ok {
			problems = append(problems, fmt.Sprintf(format, arguments...))
		}
	}
	check(s.Node != "", "node: required")
	check(s.Zone != "", "zone: required")
	check(isAddress(s.Listen.Clients), "listen.clients: %q is not ip:port", s.Listen.Clients)
	check(isAddress(s.Listen.Ready), "listen.ready: %q is not ip:port", s.Listen.Ready)
	check(isAddress(s.Listen.Peers), "listen.peers: %q is not ip:port", s.Listen.Peers)
	check(s.Listen.Metrics == "" || isAddress(s.Listen.Metrics), "listen.metrics: %q is not ip:port", s.Listen.Metrics)
	check(isAddress(s.Store.Address), "store.address: %q is not ip:port", s.Store.Address)
	check(s.Retries.Ratio >= 0 && s.Retries.Ratio <= 1, "retries.ratio: must be 0 to 1")
	check(s.Retries.Slack >= 0, "retries.slack: must not be negative")
	check(s.Retries.Window > 0, "retries.window: must be above zero")
	check(s.Lease.TurnGap > 0, "lease.turnGap: must be above zero")
	check(s.Stop.Grace > 0, "stop.grace: must be above zero")
	check(s.Log.Level == "error" || s.Log.Level == "info" || s.Log.Level == "debug", "log.level: error, info or debug")
	if len(problems) > 0 {
		return fault.New(fault.CodeInvalid, "check settings", "%s", strings.Join(problems, "; "))
	}
	return nil
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
