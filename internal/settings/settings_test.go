package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const good = `
node: node-1
zone: mvd-cordon
region: montevideo
timeZone: America/Montevideo
listen: {callers: "127.0.0.1:7001", operators: "127.0.0.1:7002", peers: "127.0.0.1:7003"}
platform: {table: "127.0.0.1:7011", machines: "127.0.0.1:7012"}
`

// TestGoodSettings: defaults fill what a file does not state.
func TestGoodSettings(t *testing.T) {
	s, err := Parse([]byte(good))
	assert.NilError(t, err)
	assert.NilError(t, s.Validate())
	assert.Equal(t, s.Membership, Default().Membership)
}

// TestUnknownFieldsAreRefusedWithLine: all of them, at once.
func TestUnknownFieldsAreRefusedWithLine(t *testing.T) {
	_, err := Parse([]byte(good + "nodes: 3\nlog: {levle: info}\n"))
	assert.ErrorContains(t, err, "line 8")
	assert.ErrorContains(t, err, "line 9")
	assert.ErrorContains(t, err, "levle")
}

// TestAllProblemsAreReported: a check names every problem, not the first.
func TestAllProblemsAreReported(t *testing.T) {
	s := Default()
	s.Listen.Callers = "localhost:1"
	s.TimeZone = "America/Nowhere"
	s.Claims.Shards = 0
	s.Log.Level = "loud"
	err := s.Validate()
	for _, part := range []string{"node is missing", "listen.callers", "not an IP address", "timeZone", "claims.shards", "log.level"} {
		assert.Assert(t, strings.Contains(err.Error(), part), "%s is missing in: %v", part, err)
	}
}
