package fleet

import (
	"fmt"
	"testing"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/coldstart"
	"lilacvane/internal/place"
)

// largeFleet returns a fleet in which each of ten models is held by one runner in ten. As on a
// real node, cold starts and returned zones are set up, but no runner is cold and no zone was
// returned.
func largeFleet(size int) *Fleet {
	f := New("zone-a", time.Now, noRules{})
	services, returns := map[string]float64{"s": 6.9}, map[place.Zone]time.Time{}
	f.SetColdStarts(ColdStarts{
		Terms: func(service string) coldstart.Terms {
			return coldstart.NewTerms(services[service], 1.5, 5, 3*time.Second, coldstart.Lent{})
		},
		Returned: func(zone place.Zone) time.Time { return returns[zone] },
	})
	runners := make([]backend.Runner, size)
	for i := range runners {
		runners[i] = listed(fmt.Sprint("r", i), fmt.Sprint("m", i%10))
	}
	f.Replace(runners, false)
	return f
}

// BenchmarkChoose measures a choice among 1,000 runners of which one in ten holds the unit.
func BenchmarkChoose(b *testing.B) {
	f := largeFleet(1000)
	query := Query{Service: "s", Unit: backend.Unit{Model: "m3"}}
	b.ReportAllocs()
	for b.Loop() {
		choice, ok := f.Choose(query)
		if !ok {
			b.Fatal("no choice")
		}
		f.Done(choice, query, Served, time.Millisecond, false)
	}
}

// BenchmarkChooseNone measures a choice among 10,000 runners of which none may take the
// request.
func BenchmarkChooseNone(b *testing.B) {
	f := largeFleet(10_000)
	query := Query{Service: "s", Unit: backend.Unit{Model: "none"}}
	b.ReportAllocs()
	for b.Loop() {
		f.Choose(query)
	}
}

// BenchmarkObstacles measures finding out why none of 10,000 runners may take a request,
// without the cache.
func BenchmarkObstacles(b *testing.B) {
	f := largeFleet(10_000)
	query := Query{Service: "s", Unit: backend.Unit{Model: "none"}}
	b.ReportAllocs()
	for b.Loop() {
		f.findObstacles(query)
	}
}
