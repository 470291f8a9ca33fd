package statement

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	testHeader      = "X-Leaves"
	testLimitHeader = "X-Limit"
	testBrittle     = "X-Brittle"
)

var testLimits = Limits{LongestRest: time.Minute, UnreadableRest: time.Second, LeavingFor: 5 * time.Minute, LeastRate: 0.1, LimitFor: time.Minute}

// TestStatementsAreRead: values that are not a number, or out of range, are bounded and reported
// as problems.
func TestStatementsAreRead(t *testing.T) {
	rest := func(duration time.Duration) []Statement { return []Statement{Rest{For: duration}} }
	for name, test := range map[string]struct {
		status   int
		leaving  []string
		limits   []string
		brittle  []string
		rests    []string
		want     []Statement
		problems int
	}{
		"nothing":                 {status: http.StatusOK},
		"leaves":                  {status: http.StatusOK, leaving: []string{"1"}, want: []Statement{Leaving{}}},
		"leaves and rests":        {status: http.StatusServiceUnavailable, leaving: []string{" 1 "}, rests: []string{"3"}, want: []Statement{Leaving{}, Rest{For: 3 * time.Second}}},
		"stays":                   {status: http.StatusOK, leaving: []string{"0"}},
		"garbled leaving":         {status: http.StatusOK, leaving: []string{"\x01q"}, problems: 1},
		"a fraction":              {status: http.StatusServiceUnavailable, rests: []string{"0.25"}, want: rest(250 * time.Millisecond)},
		"zero":                    {status: http.StatusServiceUnavailable, rests: []string{"0"}},
		"below zero":              {status: http.StatusServiceUnavailable, rests: []string{"-3"}, want: rest(time.Second), problems: 1},
		"a date":                  {status: http.StatusServiceUnavailable, rests: []string{"Fri, 31 Dec 1999 23:59:59 GMT"}, want: rest(time.Second), problems: 1},
		"no number":               {status: http.StatusServiceUnavailable, rests: []string{"soon"}, want: rest(time.Second), problems: 1},
		"nan":                     {status: http.StatusServiceUnavailable, rests: []string{"NaN"}, want: rest(time.Second), problems: 1},
		"empty":                   {status: http.StatusServiceUnavailable, rests: []string{""}, want: rest(time.Second), problems: 1},
		"an hour":                 {status: http.StatusServiceUnavailable, rests: []string{"3600"}, want: rest(time.Minute), problems: 1},
		"endless":                 {status: http.StatusServiceUnavailable, rests: []string{"Inf"}, want: rest(time.Minute), problems: 1},
		"too many requests":       {status: http.StatusTooManyRequests, rests: []string{"2"}, want: rest(2 * time.Second)},
		"of an answer that ran":   {status: http.StatusOK, rests: []string{"2"}},
		"of a failure":            {status: http.StatusInternalServerError, rests: []string{"2"}},
		"named twice":             {status: http.StatusServiceUnavailable, rests: []string{"2", "1"}, want: []Statement{Rest{For: 2 * time.Second}, Rest{For: time.Second}}},
		"a limit":                 {status: http.StatusOK, limits: []string{" 2 "}, want: []Statement{Limit{Rate: 2}}},
		"a fraction as limit":     {status: http.StatusServiceUnavailable, limits: []string{"0.5"}, want: []Statement{Limit{Rate: 0.5}}},
		"a million as limit":      {status: http.StatusOK, limits: []string{"1e6"}, want: []Statement{Limit{Rate: 1e6}}},
		"zero as limit":           {status: http.StatusOK, limits: []string{"0"}, want: []Statement{Limit{Rate: 0.1}}, problems: 1},
		"limit below zero":        {status: http.StatusOK, limits: []string{"-1"}, problems: 1},
		"limit that is no number": {status: http.StatusOK, limits: []string{"few"}, problems: 1},
		"nan as limit":            {status: http.StatusOK, limits: []string{"NaN"}, problems: 1},
		"endless limit":           {status: http.StatusOK, limits: []string{"Inf"}, problems: 1},
		"empty limit":             {status: http.StatusOK, limits: []string{""}, problems: 1},
		"brittle":                 {status: http.StatusOK, brittle: []string{" 4 "}, want: []Statement{Brittle{Rejections: 4}}},
		"brittle, none endured":   {status: http.StatusServiceUnavailable, brittle: []string{"0"}, want: []Statement{Brittle{}}},
		"brittle, no number":      {status: http.StatusOK, brittle: []string{"very"}, want: []Statement{Brittle{}}, problems: 1},
		"brittle, below zero":     {status: http.StatusOK, brittle: []string{"-1"}, want: []Statement{Brittle{}}, problems: 1},
		"brittle, endless":        {status: http.StatusOK, brittle: []string{"Inf"}, want: []Statement{Brittle{}}, problems: 1},
		"a time beyond any clock": {status: http.StatusServiceUnavailable, rests: []string{"1e300"}, want: rest(time.Minute), problems: 1},
	} {
		t.Run(name, func(t *testing.T) {
			header := http.Header{}
			for _, value := range test.leaving {
				header.Add(testHeader, value)
			}
			for _, value := range test.brittle {
				header.Add(testBrittle, value)
			}
			for _, value := range test.rests {
				header.Add(headerRest, value)
			}
			for _, value := range test.limits {
				header.Add(testLimitHeader, value)
			}
			statements, problems := read(Headers{Leaving: testHeader, Limit: testLimitHeader, Brittle: testBrittle}, testLimits, test.status, header)
			assert.DeepEqual(t, statements, test.want)
			assert.Equal(t, len(problems), test.problems, "%v", problems)
		})
	}
}
