package config

import (
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func withRoutes(prefixes ...string) *Configuration {
	c := &Configuration{}
	for i, prefix := range prefixes {
		c.Routes = append(c.Routes, Route{Name: strconv.Itoa(i), Host: "h", PathPrefix: prefix})
	}
	c.BuildIndex()
	return c
}

// TestLongestPrefixMatches compares lookups with a linear search of all routes, for
// prefixes that end with a slash and for others.
func TestLongestPrefixMatches(t *testing.T) {
	part := rapid.StringMatching(`[ab]{0,2}`)
	text := rapid.Custom(func(t *rapid.T) string { return "/" + strings.Join(rapid.SliceOfN(part, 0, 4).Draw(t, "parts"), "/") })
	rapid.Check(t, func(t *rapid.T) {
		prefixes := rapid.SliceOfNDistinct(text, 0, 12, func(s string) string { return s }).Draw(t, "prefixes")
		path := text.Draw(t, "path")
		longest := ""
		for _, prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(longest) {
				longest = prefix
			}
		}
		found := withRoutes(prefixes...).Match("h", path)
		if longest == "" {
			assert.Assert(t, found == nil)
			return
		}
		assert.Assert(t, found != nil)
		assert.Equal(t, found.PathPrefix, longest)
	})
}

// TestOtherHostsRoutesDoNotMatch checks that routes match only their own host.
func TestOtherHostsRoutesDoNotMatch(t *testing.T) {
	assert.Assert(t, withRoutes("/a/").Match("other", "/a/b") == nil)
}

// BenchmarkMatch measures lookups among few and many routes of a host. They should
// take the same time.
func BenchmarkMatch(b *testing.B) {
	for _, count := range []int{10, 100, 1600, 16_000} {
		var prefixes []string
		for i := range count {
			prefixes = append(prefixes, "/p"+strconv.Itoa(i)+"/")
		}
		c := withRoutes(prefixes...)
		b.Run(strconv.Itoa(count), func(b *testing.B) {
			for b.Loop() {
				c.Match("h", "/p3/run/one")
			}
		})
	}
}
