// Package settings reads and checks a node's settings file. docs/SETTINGS.md
// lists the fields with their units.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lilacvane/internal/fault"
	"lilacvane/internal/place"
)

// Settings of one node.
type Settings struct {
	// Node names this node; unique in the fleet.
	Node string `yaml:"node"`
	// Zone and Region place the node.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Zones tells the region of each zone of the deployment.
	Zones place.Map `yaml:"zones"`
	// TimeZone is the IANA zone in which policies read the clock.
	TimeZone string `yaml:"timeZone"`
	// Listen are the addresses this node listens on.
	Listen Listen `yaml:"listen"`
	// Store is where the platform's store is.
	Store Store `yaml:"store"`
	// Capacity is what the machine gives this process.
	Capacity Capacity `yaml:"capacity"`
	// Relay says which nodes read the store through one of them.
	Relay Relay `yaml:"relay"`
	// Configuration bounds how late a change of the configuration may be in force.
	Configuration Within `yaml:"configuration"`
	// Evacuation bounds how late after a zone was taken out something may still go there.
	Evacuation Within `yaml:"evacuation"`
	// ColdStart says how far the requests at a cold runner may pass its service's rate.
	ColdStart ColdStart `yaml:"coldStart"`
	// Statements bounds what is believed of runners' statements of themselves.
	Statements Statements `yaml:"statements"`
	// Retries bounds repeated requests of a service over all nodes.
	Retries Retries `yaml:"retries"`
	// Limits says how exactly tenants' limits are kept.
	Limits Limits `yaml:"limits"`
	// Lease bounds who may order runners.
	Lease Lease `yaml:"lease"`
	// Stop bounds a planned stop.
	Stop Stop `yaml:"stop"`
	// Sleep weighs cold starts against idle accelerators.
	Sleep Sleep `yaml:"sleep"`
	// Log tunes the log on standard output.
	Log Log `yaml:"log"`
}

// Listen are listening addresses (ip:port). All but Ready and Peers are
// optional: what has no address is not served.
type Listen struct {
	// Clients takes requests of the services' clients, by route.
	Clients string `yaml:"clients"`
	// Callers takes chat and completion calls.
	Callers string `yaml:"callers"`
	// Operators takes the calls of the operators' command line.
	Operators string `yaml:"operators"`
	// Ready tells the entry whether the node takes new connections.
	Ready string `yaml:"ready"`
	// Peers is where other nodes call.
	Peers string `yaml:"peers"`
	// Advertise is the address other nodes reach Peers at, if it differs.
	Advertise string `yaml:"advertise"`
	// Metrics is where figures are read.
	Metrics string `yaml:"metrics"`
	// Profiles is where the Go runtime's profiles are read (/debug/pprof/).
	Profiles string `yaml:"profiles"`
}

// PeerAddress is where other nodes reach this one.
func (l Listen) PeerAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Store is the platform's store.
type Store struct {
	// Address is its ip:port.
	Address string `yaml:"address"`
}

// Capacity is what a machine gives a process; zero where it is not known.
type Capacity struct {
	// Cores is the part of a core, or the number of cores.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the machine's link, in Mbit a second.
	LinkMbps float64 `yaml:"linkMbps"`
	// MemoryMB is the memory that the process may take, in megabytes.
	MemoryMB float64 `yaml:"memoryMB"`
}

// What a node that works for others should have.
const (
	amplyCores    = 0.5
	amplyLinkMbps = 100
	// amplyMemoryMB bears the accounts of some 10,000 runners and the connections of a
	// thousand nodes.
	amplyMemoryMB = 512
)

// LeastMemoryMB is what a node needs for itself: its runtime, the configuration, the runners
// that it keeps, and some hundred requests.
const LeastMemoryMB = 48

// Fits reports whether the machine has what a node needs at least, where that is known.
func (c Capacity) Fits() bool { return c.MemoryMB == 0 || c.MemoryMB >= LeastMemoryMB }

// Spare is the part, 0 to 1, that the machine has of what a node should have that
// works for others. It is 1 where nothing is known.
func (c Capacity) Spare() float64 {
	spare := 1.0
	if c.Cores > 0 {
		spare = min(spare, c.Cores/amplyCores)
	}
	if c.LinkMbps > 0 {
		spare = min(spare, c.LinkMbps/amplyLinkMbps)
	}
	if c.MemoryMB > 0 {
		spare = min(spare, c.MemoryMB/amplyMemoryMB)
	}
	return spare
}

// Scope is a part of the fleet.
type Scope string

// The scopes that nodes may share a relay in.
const (
	ScopeZone   Scope = "zone"
	ScopeRegion Scope = "region"
)

// Relay says which nodes read the store through one of them.
type Relay struct {
	// Scope is zone or region.
	Scope Scope `yaml:"scope"`
	// FirstStart is set when the whole system starts for the first time: a node then
	// leaves the store to others for longer, as nobody waits for it.
	FirstStart bool `yaml:"firstStart"`
}

// Within bounds how late after its acknowledgement by the store a change is in force at
// every node that hears it.
type Within struct {
	Within time.Duration `yaml:"within"`
}

// ColdStart says what a cold runner may get of all nodes together within a second: Share
// times the rate that it bears (config.Service.ColdRate), and Slack requests.
type ColdStart struct {
	Share float64 `yaml:"share"`
	Slack float64 `yaml:"slack"`
}

// Statements bounds what is believed of what runners state in their answers.
type Statements struct {
	// LongestRest is the longest time without requests that a runner may ask for: more than
	// any queue of a runner takes to empty, as routes' time-outs are some ten seconds.
	LongestRest time.Duration `yaml:"longestRest"`
	// UnreadableRest is the rest of a runner that names no time that can be read: some of the
	// longest answers.
	UnreadableRest time.Duration `yaml:"unreadableRest"`
	// LeavingFor is how long a runner that does not end is left alone after it said that it
	// leaves: platforms give runners a minute or so to finish what they have.
	LeavingFor time.Duration `yaml:"leavingFor"`
	// LeastRate is taken, in requests a second, where a runner names a smaller limit: some request
	// must find out when it is over.
	LeastRate float64 `yaml:"leastRate"`
	// LimitFor is how long a runner's limit is believed that no answer names or lifts.
	LimitFor time.Duration `yaml:"limitFor"`
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

// Limits says how exactly tenants' limits are kept over all nodes: the use within any
// Window may pass what the limit allows by Share of it and by Slack.
type Limits struct {
	// Window is the sliding window in which use is counted.
	Window time.Duration `yaml:"window"`
	// Share is a part of the limit, 0 to 1.
	Share float64 `yaml:"share"`
	// Slack is in the limit's unit: requests or tokens.
	Slack float64 `yaml:"slack"`
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
	// Notice is how long the entry may take to notice that a node is not ready:
	// until then the node takes requests.
	Notice time.Duration `yaml:"notice"`
}

// Sleep weighs cold starts against idle accelerators.
type Sleep struct {
	// FixedKeepAlive is a fixed time; zero means learned.
	FixedKeepAlive time.Duration `yaml:"fixedKeepAlive"`
	// IdleSecondsPerColdSecond is the exchange rate: the idle seconds that a cold
	// start of one second is worth. With zero, and no FixedKeepAlive, models stay
	// loaded until their room is needed.
	IdleSecondsPerColdSecond float64 `yaml:"idleSecondsPerColdSecond"`
	// TailPower makes a cold start n times as long worth n^TailPower as much.
	TailPower float64 `yaml:"tailPower"`
	// Limit is the longest keep-alive time.
	Limit time.Duration `yaml:"limit"`
}

// Log tunes the log.
type Log struct {
	// Level is error, info or debug.
	Level string `yaml:"level"`
}

// Default returns the settings that a file changes.
func Default() Settings {
	return Settings{
		TimeZone:      "UTC",
		Relay:         Relay{Scope: ScopeRegion},
		Configuration: Within{Within: 3 * time.Second},
		Evacuation:    Within{Within: 5 * time.Second},
		ColdStart:     ColdStart{Share: 1},
		Statements:    Statements{LongestRest: time.Minute, UnreadableRest: time.Second, LeavingFor: 5 * time.Minute, LeastRate: 0.1, LimitFor: time.Minute},
		Retries:       Retries{Ratio: 0.2, Slack: 50, Window: 10 * time.Second},
		Limits:        Limits{Window: 10 * time.Second},
		Lease:         Lease{TurnGap: 3 * time.Second},
		Stop:          Stop{Grace: 8 * time.Second, Notice: 3 * time.Second},
		Sleep:         Sleep{TailPower: 1, Limit: time.Hour},
		Log:           Log{Level: "info"},
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
	return settings, typed.Errors, nil
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
	_, err := time.LoadLocation(s.TimeZone)
	check(err == nil, "timeZone: %q is not an IANA zone", s.TimeZone)
	check(isAddress(s.Listen.Ready), "listen.ready: %q is not ip:port", s.Listen.Ready)
	check(isAddress(s.Listen.Peers), "listen.peers: %q is not ip:port", s.Listen.Peers)
	for name, address := range map[string]string{
		"clients": s.Listen.Clients, "callers": s.Listen.Callers, "operators": s.Listen.Operators,
		"advertise": s.Listen.Advertise, "metrics": s.Listen.Metrics, "profiles": s.Listen.Profiles,
	} {
		check(address == "" || isAddress(address), "listen.%s: %q is not ip:port", name, address)
	}
	check(isAddress(s.Store.Address), "store.address: %q is not ip:port", s.Store.Address)
	check(s.Capacity.Cores >= 0, "capacity.cores: must not be negative")
	check(s.Capacity.LinkMbps >= 0, "capacity.linkMbps: must not be negative")
	check(s.Capacity.MemoryMB >= 0, "capacity.memoryMB: must not be negative")
	check(s.Relay.Scope == ScopeZone || s.Relay.Scope == ScopeRegion, "relay.scope: zone or region")
	check(s.Configuration.Within > 0, "configuration.within: must be above zero")
	check(s.Evacuation.Within > 0, "evacuation.within: must be above zero")
	check(s.ColdStart.Share >= 0, "coldStart.share: must not be negative")
	check(s.ColdStart.Slack >= 0, "coldStart.slack: must not be negative")
	check(s.Statements.LongestRest > 0, "statements.longestRest: must be above zero")
	check(s.Statements.UnreadableRest > 0 && s.Statements.UnreadableRest <= s.Statements.LongestRest, "statements.unreadableRest: must be above zero and at most longestRest")
	check(s.Statements.LeavingFor > 0, "statements.leavingFor: must be above zero")
	check(s.Statements.LeastRate > 0, "statements.leastRate: must be above zero")
	check(s.Statements.LimitFor > 0, "statements.limitFor: must be above zero")
	check(s.Retries.Ratio >= 0 && s.Retries.Ratio <= 1, "retries.ratio: must be 0 to 1")
	check(s.Retries.Slack >= 0, "retries.slack: must not be negative")
	check(s.Retries.Window > 0, "retries.window: must be above zero")
	check(s.Limits.Window > 0, "limits.window: must be above zero")
	check(s.Limits.Share >= 0 && s.Limits.Share <= 1, "limits.share: must be 0 to 1")
	check(s.Limits.Slack >= 0, "limits.slack: must not be negative")
	check(s.Lease.TurnGap > 0, "lease.turnGap: must be above zero")
	check(s.Stop.Grace > 0, "stop.grace: must be above zero")
	check(s.Stop.Notice >= 0 && s.Stop.Notice < s.Stop.Grace, "stop.notice: must be less than stop.grace")
	check(s.Sleep.IdleSecondsPerColdSecond >= 0, "sleep.idleSecondsPerColdSecond: must not be negative")
	check(s.Sleep.FixedKeepAlive >= 0 && s.Sleep.Limit > 0, "sleep: times must be above zero")
	check(s.Log.Level == "error" || s.Log.Level == "info" || s.Log.Level == "debug", "log.level: error, info or debug")
	slices.Sort(problems)
	if len(problems) > 0 {
		return fault.New(fault.CodeInvalid, "check settings", "%s", strings.Join(problems, "; "))
	}
	return nil
}

func isAddress(text string) bool {
	host, port, err := net.SplitHostPort(text)
	return err == nil && net.ParseIP(host) != nil && port != ""
}
