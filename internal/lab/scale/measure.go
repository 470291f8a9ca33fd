package scale

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Sample is what one real node had used up at one time.
type Sample struct {
	CPU      time.Duration
	RSS      int64
	Peers    float64
	Platform float64
	Runners  float64
	// Kinds are the bytes of messages between nodes by kind, Messages their
	// number.
	Kinds    map[string]float64
	Messages map[string]float64
}

const clockTicksPerSecond = 100

// Take reads a process's accounting and its metrics.
func Take(process int, operators string) (Sample, error) {
	var sample Sample
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
	if err != nil {
		return sample, err
	}
	// The fields after the command's closing parenthesis begin with the third.
	fields := strings.Fields(string(content[strings.LastIndexByte(string(content), ')')+1:]))
	const userTime, systemTime, residentPages = 11, 12, 21
	user, _ := strconv.ParseInt(fields[userTime], 10, 64)
	system, _ := strconv.ParseInt(fields[systemTime], 10, 64)
	pages, _ := strconv.ParseInt(fields[residentPages], 10, 64)
	sample.CPU = time.Duration(user+system) * time.Second / clockTicksPerSecond
	sample.RSS = pages * int64(os.Getpagesize())
	return sample, readMetrics(operators, &sample)
}

const (
	metricKinds    = "lilacvane_peer_content_bytes_total{kind=\""
	metricMessages = "lilacvane_peer_messages_total{kind=\""
	kindDatagram   = "datagram sent"
)

// cutLast splits a line at its last space.
func cutLast(line string) (string, string, bool) {
	at := strings.LastIndexByte(line, ' ')
	if at < 0 {
		return line, "", false
	}
	return line[:at], line[at+1:], true
}

func readMetrics(operators string, sample *Sample) error {
	sample.Kinds = make(map[string]float64)
	sample.Messages = make(map[string]float64)
	response, err := http.Get("http://" + operators + "/metrics")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	targets := map[string]*float64{
		"lilacvane_peer_sent_bytes_total": &sample.Peers, "lilacvane_peer_received_bytes_total": &sample.Peers,
		"lilacvane_platform_bytes_total": &sample.Platform, "lilacvane_runner_control_bytes_total": &sample.Runners,
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		name, value, found := cutLast(scanner.Text())
		if kind, isKind := strings.CutPrefix(name, metricKinds); isKind {
			sample.Kinds[strings.TrimSuffix(kind, "\"}")], _ = strconv.ParseFloat(value, 64)
			continue
		}
		if kind, isKind := strings.CutPrefix(name, metricMessages); isKind {
			sample.Messages[strings.TrimSuffix(kind, "\"}")], _ = strconv.ParseFloat(value, 64)
			continue
		}
		if target, wanted := targets[name]; found && wanted {
			number, err := strconv.ParseFloat(value, 64)
			if err != nil {
				return err
			}
			*target += number
		}
	}
	return scanner.Err()
}

// Cost is what control cost a node on average over a measurement.
type Cost struct {
	// CPUPercent of one core.
	CPUPercent float64 `json:"cpuPercent"`
	// RSSMiB of memory at the end.
	RSSMiB float64 `json:"rssMiB"`
	// Bytes a second, sent and received.
	PeerBytes     float64 `json:"peerBytesPerSecond"`
	PlatformBytes float64 `json:"platformBytesPerSecond"`
	RunnerBytes   float64 `json:"runnerBytesPerSecond"`
	// ForceSeconds is the time from the acceptance of a change until it was in
	// force at the last of the real nodes: the longest of the measurement.
	ForceSeconds float64 `json:"forceSeconds"`
	// Kinds are the content bytes a second of messages between nodes by kind.
	Kinds map[string]float64 `json:"peerKinds"`
}

// Between returns the cost of the time between two samples.
func Between(before, after Sample, took time.Duration) Cost {
	const mebibyte = 1 << 20
	seconds := took.Seconds()
	kinds := make(map[string]float64)
	for kind, bytes := range after.Kinds {
		kinds[kind] = (bytes - before.Kinds[kind]) / seconds
	}
	return Cost{
		Kinds:      kinds,
		CPUPercent: (after.CPU - before.CPU).Seconds() / seconds * 100, RSSMiB: float64(after.RSS) / mebibyte,
		PeerBytes: (after.Peers - before.Peers) / seconds, PlatformBytes: (after.Platform - before.Platform) / seconds,
		RunnerBytes: (after.Runners - before.Runners) / seconds,
	}
}

// Mean returns the average of costs, and the longest ForceSeconds.
func Mean(costs []Cost) Cost {
	mean := Cost{Kinds: make(map[string]float64)}
	share := 1 / float64(len(costs))
	for _, cost := range costs {
		for kind, bytes := range cost.Kinds {
			mean.Kinds[kind] += bytes * share
		}
		mean.CPUPercent += cost.CPUPercent * share
		mean.RSSMiB += cost.RSSMiB * share
		mean.PeerBytes += cost.PeerBytes * share
		mean.PlatformBytes += cost.PlatformBytes * share
		mean.RunnerBytes += cost.RunnerBytes * share
		mean.ForceSeconds = max(mean.ForceSeconds, cost.ForceSeconds)
	}
	return mean
}

// datagramSize is the mean size of the datagrams sent between two samples.
func datagramSize(before, after Sample) float64 {
	messages := after.Messages[kindDatagram] - before.Messages[kindDatagram]
	return (after.Kinds[kindDatagram] - before.Kinds[kindDatagram]) / max(1, messages)
}
