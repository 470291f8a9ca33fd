package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/backend"
)

// incarnation returns a runner named r that was born at that time.
func incarnation(born int64, models ...string) backend.Runner {
	runner := listed(backend.IncarnationID("r", born), models...)
	runner.Born = born
	return runner
}

// TestNothingOfAnEarlierIncarnationCounts checks that late information on an earlier
// incarnation of a runner, received before or after the new one is listed, never causes a
// request to be sent to the new one for what only the earlier one held.
func TestNothingOfAnEarlierIncarnationCounts(t *testing.T) {
	query := Query{Service: "s", Unit: backend.Unit{Model: "m"}}
	old, anew := incarnation(1000, "m"), incarnation(2000)
	view := View{Runner: old.ID, Ready: []backend.Holding{{Model: "m"}}}
	for name, late := range map[string]func(*Fleet, Choice){
		"nothing":       func(*Fleet, Choice) {},
		"holder's view": func(f *Fleet, _ Choice) { f.ApplyViews([]View{view}, 0) },
		"report":        func(f *Fleet, _ Choice) { f.ObserveReport(old.ID, backend.Report{Active: 3}) },
		"answer":        func(f *Fleet, c Choice) { f.Started(c); f.Done(c, query, Served, time.Second, true) },
		"broken answer": func(f *Fleet, c Choice) { f.Done(c, query, Failed, time.Second, false) },
		"permits":       func(f *Fleet, _ Choice) { f.ApplyPermits([]PermitsLent{{Runner: old.ID, Count: 5}}, f.now()) },
		"row removed":   func(f *Fleet, _ Choice) { f.Apply(nil, []string{old.ID}, true) },
	} {
		for _, before := range []bool{true, false} {
			f, _ := testFleet()
			f.Replace([]backend.Runner{old}, false)
			f.ApplyViews([]View{view}, 0)
			choice, ok := f.Choose(query)
			assert.Assert(t, ok)
			if before {
				late(f, choice)
			}
			f.Apply([]backend.Runner{anew}, nil, false)
			if !before {
				late(f, choice)
			}
			_, ok = f.Choose(query)
			assert.Assert(t, !ok, "%s, before the new incarnation is listed: %v", name, before)
			known, _ := f.Listed("r")
			assert.Equal(t, known.ID, anew.ID, name)
			assert.Assert(t, f.Named("r"))

			f.Apply([]backend.Runner{incarnation(2000, "m")}, nil, false)
			choice, ok = f.Choose(query)
			assert.Assert(t, ok, name)
			assert.Equal(t, choice.InFlight, 0, name)
		}
	}
}

// TestRunnerThatLeftCameBackFromCopy: a list from a copy of the store named a runner ready that had said
// that it leaves, or listed one that had left.
func TestRunnerThatLeftCameBackFromCopy(t *testing.T) {
	f, _ := testFleet()
	leaving, gone, restarted := listed("leaving", "m"), listed("gone", "m"), incarnation(2000, "m")
	f.Replace([]backend.Runner{listed("leaving", "m"), gone, incarnation(1000, "m")}, false)
	leaving.Draining = true
	f.Apply([]backend.Runner{leaving, restarted}, []string{"gone"}, false)
	assert.Assert(t, f.Outdated(gone) && f.Outdated(incarnation(1000, "m")))
	assert.Assert(t, !f.Outdated(leaving) && !f.Outdated(restarted) && !f.Outdated(listed("new")))
	f.Apply([]backend.Runner{listed("leaving", "m")}, nil, false)
	found, ok := f.Find("leaving")
	assert.Assert(t, ok && found.Draining)
}

// TestRunnerThatVanishedInAnOutageIsNotOutdated covers a row that lapsed while the store was away.
func TestRunnerThatVanishedInAnOutageIsNotOutdated(t *testing.T) {
	f, c := testFleet()
	f.Replace([]backend.Runner{listed("r", "m")}, false)
	f.Replace(nil, true)
	assert.Assert(t, !f.Outdated(listed("r", "m")))
	c.now = c.now.Add(missingLifetime + time.Second)
	f.Apply(nil, nil, false)
	assert.Assert(t, !f.Outdated(listed("r", "m")))
}
