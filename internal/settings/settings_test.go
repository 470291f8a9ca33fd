package settings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const minimalSettings = `
node: n
zone: z
listen: {ready: "127.0.0.1:1", peers: "127.0.0.1:2"}
store: {address: "127.0.0.1:3"}
`

// All invalid settings of a file are reported, each with its field.
func TestAllInvalidSettingsAreReported(t *testing.T) {
	read, unknown, err := Parse([]byte(minimalSettings + "relay: {scope: galaxy}\ncapacity: {cores: -1, linkMbps: -1, memoryMB: -1}\nretries: {ratio: 2}\nstop: {grace: 1s, notice: 2s}\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(unknown), 0)
	err = read.Validate()
	for _, field := range []string{"relay.scope", "capacity.cores", "capacity.linkMbps", "capacity.memoryMB", "retries.ratio", "stop.notice"} {
		assert.ErrorContains(t, err, field)
	}
}

// TestShortGraceEndedTheStart: a file that sets a grace below the default notice, and no notice, was refused.
func TestShortGraceEndedTheStart(t *testing.T) {
	for text, notice := range map[string]time.Duration{
		"":                                 3 * time.Second,
		"stop: {grace: 4s}\n":              3 * time.Second,
		"stop: {grace: 3s}\n":              2500 * time.Millisecond,
		"stop: {grace: 1200ms}\n":          time.Second,
		"stop: {grace: 1200ms, odd: 1}\n":  time.Second,
		"stop: {grace: 4s, notice: 0s}\n":  0,
		"stop: {grace: 20s, notice: 5s}\n": 5 * time.Second,
	} {
		read, _, err := Parse([]byte(minimalSettings + text))
		assert.NilError(t, err)
		assert.NilError(t, read.Validate(), text)
		assert.Equal(t, read.Stop.Notice, notice, text)
	}
}

// An unknown field is reported, and the other fields apply.
func TestUnknownFieldsChangeNothing(t *testing.T) {
	read, unknown, err := Parse([]byte(minimalSettings + "relay: {scope: zone, radius: 3}\n"))
	assert.NilError(t, err)
	assert.Equal(t, len(unknown), 1)
	assert.Equal(t, read.Relay.Scope, ScopeZone)
	assert.NilError(t, read.Validate())
}

// The scarcest of CPU, link and memory counts; unknown values do not.
func TestSpare(t *testing.T) {
	for _, c := range []struct {
		capacity Capacity
		spare    float64
	}{
		{Capacity{}, 1},
		{Capacity{Cores: 0.8, LinkMbps: 200}, 1},
		{Capacity{Cores: 0.25, LinkMbps: 1000}, 0.5},
		{Capacity{Cores: 0.8, LinkMbps: 10}, 0.1},
		{Capacity{LinkMbps: 10}, 0.1},
		{Capacity{Cores: 0.8, LinkMbps: 200, MemoryMB: 128}, 0.25},
	} {
		assert.Equal(t, c.capacity.Spare(), c.spare, "%+v", c.capacity)
	}
}

// A machine fits if its memory is unknown or at least MinMemoryMB.
func TestMachineBelowMinimumDoesNotFit(t *testing.T) {
	for memory, fits := range map[float64]bool{0: true, MinMemoryMB: true, MinMemoryMB - 1: false} {
		assert.Equal(t, Capacity{MemoryMB: memory}.Fits(), fits, "%v MB", memory)
	}
}
