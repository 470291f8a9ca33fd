// Package settings reads and validates a node's settings file. docs/SETTINGS.md lists the fields
// with their units.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"slices"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"

	"lilacvane/internal/fault"
	"lilacvane/internal/place"
)

// Settings are the settings of one node.
type Settings struct {
	// Node is the name of this node. It is unique in the fleet.
	Node string `yaml:"node"`
	// Zone and Region are the node's location.
	Zone   string `yaml:"zone"`
	Region string `yaml:"region"`
	// Zones maps each zone of the deployment to its region.
	Zones place.Map `yaml:"zones"`
	// TimeZone is the IANA time zone that policies use.
	TimeZone string `yaml:"timeZone"`
	// Listen holds the addresses this node listens on.
	Listen Listen `yaml:"listen"`
	// Store is the location of the platform's store.
	Store Store `yaml:"store"`
	// Capacity is what the machine provides to this process.
	Capacity Capacity `yaml:"capacity"`
	// Relay sets which nodes read the store through one of them.
	Relay Relay `yaml:"relay"`
	// Configuration bounds how late a configuration change may take effect.
	Configuration Within `yaml:"configuration"`
	// Evacuation bounds how long after a zone's evacuation something may still be sent there.
	Evacuation Within `yaml:"evacuation"`
	// ColdStart sets by how much the requests at a cold runner may exceed its service's rate.
	ColdStart ColdStart `yaml:"coldStart"`
	// Statements bounds which statements of runners about themselves are believed.
	Statements Statements `yaml:"statements"`
	// Retries bounds the retried requests of a service over all nodes.
	Retries Retries `yaml:"retries"`
	// Limits sets how precisely tenant limits are enforced.
	Limits Limits `yaml:"limits"`
	// Lease bounds when a node may send orders to runners.
	Lease Lease `yaml:"lease"`
	// Stop sets the timing of a planned stop.
	Stop Stop `yaml:"stop"`
	// Sleep sets how long unused models stay loaded.
	Sleep Sleep `yaml:"sleep"`
	// Log configures the log on standard output.
	Log Log `yaml:"log"`
}

// Listen holds listening addresses (ip:port). All but Ready and Peers are optional; what has no
// address is not served.
type Listen struct {
	// Clients serves requests of the services' clients, by route.
	Clients string `yaml:"clients"`
	// Callers serves chat and completion calls.
	Callers string `yaml:"callers"`
	// Operators serves the operators' command line.
	Operators string `yaml:"operators"`
	// Ready tells the load balancer whether the node takes new connections.
	Ready string `yaml:"ready"`
	// Peers serves calls of other nodes.
	Peers string `yaml:"peers"`
	// Advertise is the address at which other nodes reach Peers, if it differs.
	Advertise string `yaml:"advertise"`
	// Metrics serves the node's metrics.
	Metrics string `yaml:"metrics"`
	// Profiles serves the Go runtime's profiles (/debug/pprof/).
	Profiles string `yaml:"profiles"`
}

// PeerAddress returns the address at which other nodes reach this one.
func (l Listen) PeerAddress() string {
	if l.Advertise != "" {
		return l.Advertise
	}
	return l.Peers
}

// Store locates the platform's store.
type Store struct {
	// Address is the store's ip:port.
	Address string `yaml:"address"`
}

// Capacity is what a machine provides to a process. Unknown values are zero.
type Capacity struct {
	// Cores is the number of cores, or a fraction of one.
	Cores float64 `yaml:"cores"`
	// LinkMbps is the bandwidth of the machine's network link in Mbit/s.
	LinkMbps float64 `yaml:"linkMbps"`
	// MemoryMB is the memory that the process may use, in megabytes.
	MemoryMB float64 `yaml:"memoryMB"`
	// Files is the number of descriptors that the process may have open.
	Files int `yaml:"files"`
}

// Recommended capacity of a node that works for other nodes.
const (
	recommendedCores    = 0.5
	recommendedLinkMbps = 100
	// recommendedMemoryMB suffices to track some 10,000 runners and the connections of a thousand
	// nodes.
	recommendedMemoryMB = 512
)

// MinMemoryMB is what a node needs for itself: its runtime, the configuration, the runners that it
// keeps, and some hundred requests.
const MinMemoryMB = 48

const (
	// requestShare is the part of a machine's memory beyond MinMemoryMB that requests may take. The rest is for
	// memory that is not collected yet, and for the buffers of sockets.
	requestShare = 0.5
	// minRequestMB suffices for one request of the largest size.
	minRequestMB = 32
	// heapShare is the part of a machine's memory beyond which the collector runs more often. The program's own
	// code and the buffers of sockets are not in it.
	heapShare = 0.7
)

// RequestMB returns how much memory requests may take together, in megabytes, on a machine with memoryMB.
func RequestMB(memoryMB float64) float64 {
	return max((memoryMB-MinMemoryMB)*requestShare, minRequestMB)
}

// HeapMB returns how much memory the heap is to take at most, in megabytes, on a machine with memoryMB.
func HeapMB(memoryMB float64) float64 { return max(memoryMB, MinMemoryMB) * heapShare }

// Fits reports whether the machine has at least MinMemoryMB of memory, as far as that is known.
func (c Capacity) Fits() bool { return c.MemoryMB == 0 || c.MemoryMB >= MinMemoryMB }

// Spare returns which fraction, 0 to 1, of the recommended capacity the machine has. It is 1 if
// nothing is known.
func (c Capacity) Spare() float64 {
	spare := 1.0
	if c.Cores > 0 {
		spare = min(spare, c.Cores/recommendedCores)
	}
	if c.LinkMbps > 0 {
		spare = min(spare, c.LinkMbps/recommendedLinkMbps)
	}
	if c.MemoryMB > 0 {
		spare = min(spare, c.MemoryMB/recommendedMemoryMB)
	}
	return spare
}

// Scope is the part of the fleet that shares a relay.
type Scope string

// Scopes in which nodes may share a relay.
const (
	ScopeZone   Scope = "zone"
	ScopeRegion Scope = "region"
)

// Relay sets which nodes read the store through one of them.
type Relay struct {
	// Scope is zone or region.
	Scope Scope `yaml:"scope"`
	// FirstStart is set when the whole system starts for the first time. A node then leaves the
	// store to others for longer, as no requests are waiting.
	FirstStart bool `yaml:"firstStart"`
}

// Within bounds the time from the store's acknowledgment of a change until it is in effect at every
// node that receives it.
type Within struct {
	Within time.Duration `yaml:"within"`
}

// ColdStart limits the requests per second that all nodes together may send to a cold runner: Share
// times the rate that it can handle (config.Service.ColdRate), plus Slack requests.
type ColdStart struct {
	Share float64 `yaml:"share"`
	Slack float64 `yaml:"slack"`
}

// Statements bounds which statements in runners' answers are believed.
type Statements struct {
	// LongestRest is the longest time without requests that a runner may ask for. It is longer than
	// any queue of a runner takes to drain, as routes' timeouts are about ten seconds.
	LongestRest time.Duration `yaml:"longestRest"`
	// UnreadableRest is the time without requests for a runner that asks for some but states no
	// readable time. It is as long as some of the longest answers take.
	UnreadableRest time.Duration `yaml:"unreadableRest"`
	// LeavingFor is how long a runner that stated that it is leaving gets no requests if it does
	// not end. Platforms give runners about a minute to finish their requests.
	LeavingFor time.Duration `yaml:"leavingFor"`
	// LeastRate, in requests per second, is used instead of any smaller limit that a runner states,
	// as some request must find out when the limit is lifted.
	LeastRate float64 `yaml:"leastRate"`
	// LimitFor is how long a runner's limit stays valid if no answer repeats or lifts it.
	LimitFor time.Duration `yaml:"limitFor"`
}

// Retries bounds the retry budget of a service.
type Retries struct {
	// Ratio is the fraction of the requests that may be retried.
	Ratio float64 `yaml:"ratio"`
	// Slack is the number of additional retries within Window.
	Slack float64 `yaml:"slack"`
	// Window is the sliding window of both.
	Window time.Duration `yaml:"window"`
}

// Limits sets how precisely tenant limits are enforced over all nodes. Usage within any Window may
// exceed the limit by Share of it plus Slack.
type Limits struct {
	// Window is the sliding window in which usage is counted.
	Window time.Duration `yaml:"window"`
	// Share is a fraction of the limit, 0 to 1.
	Share float64 `yaml:"share"`
	// Slack is in the unit of the limit: requests or tokens.
	Slack float64 `yaml:"slack"`
}

// Lease bounds when a node may send orders to runners.
type Lease struct {
	// TurnGap is the minimum time between the orders of two nodes.
	TurnGap time.Duration `yaml:"turnGap"`
}

// Stop sets the timing of a planned stop.
type Stop struct {
	// Grace is the time from SIGTERM to the end of the process.
	Grace time.Duration `yaml:"grace"`
	// Notice is how long the load balancer may take to notice that a node is not ready. Until then
	// the node accepts requests.
	Notice time.Duration `yaml:"notice"`
}

// Sleep sets how long unused models stay loaded. It weighs cold starts against idle accelerators.
type Sleep struct {
	// FixedKeepAlive is a fixed keep-alive time. Zero means that it is learned.
	FixedKeepAlive time.Duration `yaml:"fixedKeepAlive"`
	// IdleSecondsPerColdSecond is the exchange rate: how many idle seconds a one-second cold start
	// is worth. If it and FixedKeepAlive are zero, models stay loaded until their memory is needed.
	IdleSecondsPerColdSecond float64 `yaml:"idleSecondsPerColdSecond"`
	// TailPower makes a cold start that is n times as long count n^TailPower times as much.
	TailPower float64 `yaml:"tailPower"`
	// Limit is the longest keep-alive time.
	Limit time.Duration `yaml:"limit"`
}

// Log configures the log.
type Log struct {
	// Level is error, info or debug.
	Level string `yaml:"level"`
}

// Default returns the default settings, which a file overrides.
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

// unsetNotice stands for a notice that a file does not set.
const unsetNotice = time.Duration(math.MinInt64)

// parseDefaults are the settings that a file overrides as it is read.
func parseDefaults() Settings {
	s := Default()
	s.Stop.Notice = unsetNotice
	return s
}

// complete sets a notice that a file does not set: the default, or the most that counts of a shorter grace.
func (s *Stop) complete() {
	if s.Notice == unsetNotice {
		s.Notice = max(min(Default().Stop.Notice, s.Grace/6*5), 0)
	}
}

// Parse reads settings on top of the defaults. unknown lists unknown fields, which are ignored.
func Parse(content []byte) (settings Settings, unknown []string, err error) {
	defer func() { settings.Stop.complete() }()
	settings = parseDefaults()
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
	settings = parseDefaults()
	if err := yaml.Unmarshal(content, &settings); err != nil {
		return settings, nil, fault.New(fault.CodeInvalid, "read settings", "%v", err)
	}
	return settings, typed.Errors, nil
}

// Validate reports all invalid settings at once.
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
	check(s.Capacity.Files >= 0, "capacity.files: must not be negative")
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
