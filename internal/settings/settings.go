// Package settings reads and checks a node's settings file. Every field has a
// default; docs/SETTINGS.md lists them with units.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
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
	// TimeZone is the IANA zone in which policies read the clock.
	TimeZone string `yaml:"timeZone"`
	// Listen are the addresses (ip:port) this node listens on.
	Listen Listen `yaml:"listen"`
	// Seeds are peer addresses (ip:port) of other nodes asked at the start.
	Seeds []string `yaml:"seeds"`
	// Platform are the addresses (ip:port) of the platform's services.
	Platform Platform `yaml:"platform"`
	// WeightStore is what the weight store allows the region.
	WeightStore WeightStore `yaml:"weightStore"`
	// Membership tunes failure detection.
	Membership Membership `yaml:"membership"`
	// Configuration tunes how changes spread.
	Configuration Configuration `yaml:"configuration"`
	// Runners tunes runner ownership.
	Runners Runners `yaml:"runners"`
	// Sleep weighs cold starts against idle accelerators.
	Sleep Sleep `yaml:"sleep"`
	// Claims tunes claims of requests that may not be repeated.
	Claims Claims `yaml:"claims"`
	// Log tunes the log on standard error.
	Log Log `yaml:"log"`
}

// Listen are listening addresses.
type Listen struct {
	Callers   string `yaml:"callers"`
	Operators string `yaml:"operators"`
	Peers     string `yaml:"peers"`
	// Advertise is the address other nodes reach Peers at, if it differs.
	Advertise string `yaml:"advertise"`
}

// Platform are service addresses.
type Platform struct {
	Table    string `yaml:"table"`
	Machines string `yaml:"machines"`
	// Objects is optional: without it learned patterns are lost with a node.
	Objects string `yaml:"objects"`
}

// WeightStore are limits of the region's weight store.
type WeightStore struct {
	// LoadsPerSecond is the rate of new loads.
	LoadsPerSecond float64 `yaml:"loadsPerSecond"`
	// Concurrency is how many loads run at full speed at once.
	Concurrency int `yaml:"concurrency"`
	// MiBPerSecond is the expected speed of one load, DiskMiBPerSecond that of a
	// load from a runner's disk.
	MiBPerSecond     float64 `yaml:"mibPerSecond"`
	DiskMiBPerSecond float64 `yaml:"diskMibPerSecond"`
}

// Membership tunes failure detection.
type Membership struct {
	ProbeInterval time.Duration `yaml:"probeInterval"`
	ProbeTimeout  time.Duration `yaml:"probeTimeout"`
	SuspectFor    time.Duration `yaml:"suspectFor"`
}

// Configuration tunes how changes spread.
type Configuration struct {
	PollInterval time.Duration `yaml:"pollInterval"`
}

// Runners tunes runner ownership.
type Runners struct {
	PollInterval    time.Duration `yaml:"pollInterval"`
	MachineInterval time.Duration `yaml:"machineInterval"`
}

// Sleep weighs cold starts against idle accelerators.
type Sleep struct {
	// FixedKeepAlive is a fixed time; zero means learned.
	FixedKeepAlive time.Duration `yaml:"fixedKeepAlive"`
	// IdleSecondsPerColdSecond is the exchange rate: the idle seconds that a cold
	// start of one second is worth.
	IdleSecondsPerColdSecond float64 `yaml:"idleSecondsPerColdSecond"`
	// TailPower makes a cold start n times as long worth n^TailPower as much.
	TailPower float64 `yaml:"tailPower"`
	// Limit is the longest keep-alive time.
	Limit time.Duration `yaml:"limit"`
	// SaveEvery is how often what was learned of a unit is saved.
	SaveEvery time.Duration `yaml:"saveEvery"`
}

// Claims tunes claims.
type Claims struct {
	Shards int `yaml:"shards"`
}

// Log tunes the log.
type Log struct {
	// Level is error, info or debug.
	Level string `yaml:"level"`
}

// Default returns the settings that a file need not state.
func Default() Settings {
	return Settings{
		TimeZone:      "UTC",
		WeightStore:   WeightStore{LoadsPerSecond: 3, Concurrency: 6, MiBPerSecond: 1024, DiskMiBPerSecond: 4096},
		Membership:    Membership{ProbeInterval: time.Second, ProbeTimeout: 500 * time.Millisecond, SuspectFor: 3 * time.Second},
		Configuration: Configuration{PollInterval: time.Second},
		Runners:       Runners{PollInterval: 5 * time.Second, MachineInterval: 2 * time.Second},
		Sleep:         Sleep{IdleSecondsPerColdSecond: 10, TailPower: 1, Limit: time.Hour, SaveEvery: time.Hour},
		Claims:        Claims{Shards: 16},
		Log:           Log{Level: "info"},
	}
}

const stepRead = "read settings"

// Parse reads settings in YAML over the defaults. Unknown fields are refused
// with their line; all problems are reported at once.
func Parse(content []byte) (Settings, error) {
	settings := Default()
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	decoder.KnownFields(true)
	err := decoder.Decode(&settings)
	if err != nil && !errors.Is(err, io.EOF) {
		return settings, fault.New(fault.CodeInvalid, stepRead, "%v", err)
	}
	return settings, nil
}

// Validate returns every problem of the settings, nil if there is none.
func (s Settings) Validate() error {
	problems := append(s.placeProblems(), s.tuningProblems()...)
	if len(problems) == 0 {
		return nil
	}
	return fault.At(fault.CodeInvalid, "check settings", fault.Self, fault.NotDone, errors.Join(problems...))
}

func (s Settings) placeProblems() []error {
	var problems []error
	need := func(name, value string) {
		if value == "" {
			problems = append(problems, fmt.Errorf("%s is missing", name))
		}
	}
	need("node", s.Node)
	need("zone", s.Zone)
	need("region", s.Region)
	address := func(name, value string) {
		if err := checkAddress(value); err != nil {
			problems = append(problems, fmt.Errorf("%s: %w", name, err))
		}
	}
	address("listen.callers", s.Listen.Callers)
	address("listen.operators", s.Listen.Operators)
	address("listen.peers", s.Listen.Peers)
	if s.Listen.Advertise != "" {
		address("listen.advertise", s.Listen.Advertise)
	}
	address("platform.table", s.Platform.Table)
	address("platform.machines", s.Platform.Machines)
	if s.Platform.Objects != "" {
		address("platform.objects", s.Platform.Objects)
	}
	for index, seed := range s.Seeds {
		address(fmt.Sprintf("seeds[%d]", index), seed)
	}
	if _, err := time.LoadLocation(s.TimeZone); err != nil {
		problems = append(problems, fmt.Errorf("timeZone: %w", err))
	}
	return problems
}

// checkAddress demands ip:port; host names are not resolved anywhere.
func checkAddress(value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return fmt.Errorf("%q is not ip:port", value)
	}
	if net.ParseIP(host) == nil {
		return fmt.Errorf("%q: %q is not an IP address", value, host)
	}
	return nil
}

func (s Settings) tuningProblems() []error {
	var problems []error
	positive := func(name string, value float64) {
		if !(value > 0) {
			problems = append(problems, fmt.Errorf("%s must be above 0", name))
		}
	}
	positive("weightStore.loadsPerSecond", s.WeightStore.LoadsPerSecond)
	positive("weightStore.concurrency", float64(s.WeightStore.Concurrency))
	positive("weightStore.mibPerSecond", s.WeightStore.MiBPerSecond)
	positive("membership.probeInterval", float64(s.Membership.ProbeInterval))
	positive("membership.probeTimeout", float64(s.Membership.ProbeTimeout))
	positive("membership.suspectFor", float64(s.Membership.SuspectFor))
	positive("configuration.pollInterval", float64(s.Configuration.PollInterval))
	positive("runners.pollInterval", float64(s.Runners.PollInterval))
	positive("runners.machineInterval", float64(s.Runners.MachineInterval))
	positive("sleep.saveEvery", float64(s.Sleep.SaveEvery))
	positive("sleep.limit", float64(s.Sleep.Limit))
	positive("weightStore.diskMibPerSecond", s.WeightStore.DiskMiBPerSecond)
	positive("sleep.tailPower", s.Sleep.TailPower)
	positive("sleep.idleSecondsPerColdSecond", s.Sleep.IdleSecondsPerColdSecond)
	const maximumShards = 4096
	if s.Claims.Shards < 1 || s.Claims.Shards > maximumShards {
		problems = append(problems, fmt.Errorf("claims.shards must be 1 to %d", maximumShards))
	}
	if s.Sleep.FixedKeepAlive < 0 {
		problems = append(problems, errors.New("sleep.fixedKeepAlive must not be negative"))
	}
	if s.Log.Level != "error" && s.Log.Level != "info" && s.Log.Level != "debug" {
		problems = append(problems, fmt.Errorf("log.level %q must be error, info or debug", s.Log.Level))
	}
	return problems
}
