package ingress

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/dispatch"
)

// Only a single value with the scheme and a key is a key.
func TestKeysAreRead(t *testing.T) {
	for _, test := range []struct {
		values []string
		key    string
	}{
		{[]string{"Token abc"}, "abc"},
		{[]string{"token abc"}, "abc"},
		{[]string{"  Token   abc  "}, "abc"},
		{[]string{"Token " + strings.Repeat("k", 10_000)}, strings.Repeat("k", 10_000)},
		{[]string{"Token \xff\x01"}, "\xff\x01"},
		{[]string{"Token"}, ""},
		{[]string{"Tokenabc"}, ""},
		{[]string{"Bearer abc"}, ""},
		{[]string{"abc"}, ""},
		{[]string{""}, ""},
		{nil, ""},
		{[]string{"Token abc", "Token def"}, ""},
	} {
		assert.Equal(t, parseKey(test.values, "Token"), test.key, "%q", test.values)
	}
}

// Two counts within bounds are given; anything else is unreadable, which differs from absent.
func TestTokenCountsAreRead(t *testing.T) {
	for _, test := range []struct {
		values []string
		in     int
		out    int
		counts dispatch.Counts
	}{
		{nil, 0, 0, dispatch.CountsAbsent},
		{[]string{"1460,80"}, 1460, 80, dispatch.CountsGiven},
		{[]string{" 1 , 2 "}, 1, 2, dispatch.CountsGiven},
		{[]string{"0,0"}, 0, 0, dispatch.CountsGiven},
		{[]string{"-1,80"}, 0, 80, dispatch.CountsUnreadable},
		{[]string{"5"}, 5, 0, dispatch.CountsUnreadable},
		{[]string{"x,80"}, 0, 80, dispatch.CountsUnreadable},
		{[]string{"1,2,3"}, 1, 0, dispatch.CountsUnreadable},
		{[]string{"99999999999999999999,1"}, maximumTokens, 1, dispatch.CountsUnreadable},
		{[]string{"9000000000000000000,1"}, maximumTokens, 1, dispatch.CountsUnreadable},
		{[]string{"1,2", "3,4"}, 1, 2, dispatch.CountsUnreadable},
		{[]string{""}, 0, 0, dispatch.CountsUnreadable},
	} {
		in, out, counts := parseTokens(test.values)
		assert.Equal(t, in, test.in, "%q", test.values)
		assert.Equal(t, out, test.out, "%q", test.values)
		assert.Equal(t, counts, test.counts, "%q", test.values)
	}
}
