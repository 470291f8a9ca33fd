package backend

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestParseWorkload checks that texts of three or four fields are parsed, that an invalid
// fourth field counts as the usual time, and that other invalid fields make the text invalid.
func TestParseWorkload(t *testing.T) {
	for text, want := range map[string]Workload{
		"3,0,8": {Running: 3, Slowness: 1}, "3, 2, 8, 250": {Running: 3, Waiting: 2, Slowness: 2.5}, "0,0,8,40": {Slowness: 0.4},
		"1,2,8,": {Running: 1, Waiting: 2, Slowness: 1}, "1,2,8,NaN": {Running: 1, Waiting: 2, Slowness: 1}, "1,2,8,-5": {Running: 1, Waiting: 2, Slowness: 1},
		"1,2,8,1e300": {Running: 1, Waiting: 2, Slowness: 1}, "1,2": {Running: 1, Waiting: 2, Slowness: 1},
	} {
		load, ok := ParseWorkload(text)
		assert.Assert(t, ok, text)
		assert.DeepEqual(t, load, want)
	}
	for _, text := range []string{"", "3", "a,0,8", "3,b,8", "-1,0,8", "3,-2,8"} {
		_, ok := ParseWorkload(text)
		assert.Assert(t, !ok, text)
	}
}

// FuzzParseWorkload checks that the result is always in the valid range, whatever a runner
// reports.
func FuzzParseWorkload(f *testing.F) {
	f.Add("3,0,8,100")
	f.Add("3,0,8")
	f.Add(",,,Inf")
	f.Fuzz(func(t *testing.T, text string) {
		if load, ok := ParseWorkload(text); ok {
			assert.Assert(t, load.Running >= 0 && load.Waiting >= 0 && load.Slowness > 0 && load.Slowness <= 100, "%+v", load)
		}
	})
}
