package policy

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/api"
	"lilacvane/internal/fault"
)

// TestBadProgramsAreRefusedWithPlace checks that programs with errors in syntax, types, names
// or cost are refused with the line and column.
func TestBadProgramsAreRefusedWithPlace(t *testing.T) {
	for source, place := range map[string]string{
		"hour >= 7 ? 1":                       "line 1, column",
		"hour >= 7 &&\n nosuch ? 1 : 0":       "line 2, column 2",
		"hour >= 7":                           "line 1, column 1",
		"hour + 'x'":                          "line 1, column",
		strings.Repeat("1+", MaximumBytes):    "bytes",
		"[1,2,3].map(x, [x]).size() + '1'":    "line 1, column",
		"(" + strings.Repeat("(", 300) + "1)": "",
	} {
		_, err := Compile(source)
		assert.Assert(t, fault.IsCode(err, fault.CodeInvalid), "%.40q: %v", source, err)
		assert.Assert(t, strings.Contains(err.Error(), place), "%.40q: %v", source, err)
	}
}

// TestProgramSeesLocalTime checks that a program reads local time in the time zone of its
// input.
func TestProgramSeesLocalTime(t *testing.T) {
	program, err := Compile("weekday >= 1 && weekday <= 5 && hour >= 7 && region == 'montevideo' ? 2 : 0")
	assert.NilError(t, err)
	zone, err := time.LoadLocation("America/Montevideo")
	assert.NilError(t, err)
	monday := time.Date(2026, time.December, 7, 7, 40, 0, 0, zone)
	for _, test := range []struct {
		at    time.Time
		ready int
	}{{monday, 2}, {monday.Add(-time.Hour), 0}, {monday.AddDate(0, 0, -1), 0}} {
		ready, err := program.Ready(Input{Model: "redactor", Region: "montevideo", Time: test.at})
		assert.NilError(t, err)
		assert.Equal(t, ready, test.ready, "%s", test.at)
	}
}

// fixedSource is a Source with fixed objects.
type fixedSource []api.Object

func (f fixedSource) List(api.Kind) []api.Object { return f }

// TestFailingPolicyKeepsLastResult checks that a policy that fails at run time keeps its last
// good result and is listed as failing.
func TestFailingPolicyKeepsLastResult(t *testing.T) {
	object := api.NewObject(api.KindPolicy, "p", api.Policy{Models: []string{"*"}, Ready: "6 / (hour - 8)"})
	object.Generation = 1
	set := NewSet(fixedSource{object}, "r", time.UTC)
	set.Refresh()
	at := time.Date(2026, time.December, 7, 10, 0, 0, 0, time.UTC)
	ready, from := set.Ready("m", at)
	assert.Equal(t, ready, 3)
	assert.Equal(t, from, "p")
	ready, _ = set.Ready("m", at.Add(-2*time.Hour))
	assert.Equal(t, ready, 3)
	assert.Equal(t, len(set.Failures()), 1)
}

// FuzzCompile checks that no program makes Compile or Ready panic or run without limit, and
// that results are in range.
func FuzzCompile(f *testing.F) {
	for _, seed := range []string{"1", "hour >= 7 ? 2 : 0", "model.startsWith('a') ? 1 : 0", "[1,2].map(x, x * hour).size()", "((((", "'\\x00'"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, source string) {
		program, err := Compile(source)
		if err != nil {
			return
		}
		ready, err := program.Ready(Input{Model: "m", Region: "r", Time: time.Unix(0, 0).UTC()})
		if err == nil && (ready < 0 || ready > api.MaximumReplicas) {
			t.Fatalf("%q returned %d", source, ready)
		}
	})
}
