// Package experiment simulates deployments in virtual time: the server's own decisions on
// when to unload idle models and when to load them ahead of demand (package sleep), under
// a synthetic load with daily and weekly patterns. A fixed keep-alive time is the baseline.
package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Deployment is a fleet of runners with its models, demand and weight store.
type Deployment struct {
	Name     string   `json:"name"`
	TimeZone string   `json:"timeZone"`
	Zones    []string `json:"zones"`
	Runners  int      `json:"runners"`
	// RunnerMiB is a runner's memory, Slots the number of its concurrent requests.
	RunnerMiB int64 `json:"runnerMiB"`
	Slots     int   `json:"slots"`
	Models    int   `json:"models"`
	Adapters  int   `json:"adapters"`
	// LoadsPerSecond limits the rate at which loads from the weight store start, Concurrency
	// is the number of them that run at full speed. StoreMiB and DiskMiB are the speeds of
	// loads from the store and from a runner's disk, in MiB per second.
	LoadsPerSecond float64 `json:"loadsPerSecond"`
	Concurrency    int     `json:"concurrency"`
	StoreMiB       float64 `json:"storeMiBPerSecond"`
	DiskMiB        float64 `json:"diskMiBPerSecond"`
	// IdlePerColdSecond is the number of idle seconds that one second of a cold start is worth.
	IdlePerColdSecond float64 `json:"idleSecondsPerColdSecond"`
	TailPower         float64 `json:"tailPower"`
	// Event is a recurring load peak over a share of the models, such as a match or a
	// council's mailing, at Hour on the given weekdays.
	Event Event `json:"event"`
}

// Event is demand for many models at once.
type Event struct {
	Share    float64        `json:"share"`
	Hour     float64        `json:"hour"`
	Weekdays []time.Weekday `json:"weekdays"`
}

// Montevideo and Santiago have the sizes of the two present deployments.
var (
	Montevideo = Deployment{
		Name: "montevideo", TimeZone: "America/Montevideo", Zones: []string{"mvd-cordon", "mvd-prado", "mvd-buceo", "mvd-cerro"},
		Runners: 24, RunnerMiB: 81920, Slots: 16, Models: 60, Adapters: 90, LoadsPerSecond: 3, Concurrency: 6,
		StoreMiB: 1024, DiskMiB: 4096, IdlePerColdSecond: 1.9, TailPower: 2,
		Event: Event{Share: 0.3, Hour: 18.5, Weekdays: []time.Weekday{time.Friday}},
	}
	Santiago = Deployment{
		Name: "santiago", TimeZone: "America/Santiago", Zones: []string{"scl-a", "scl-b", "scl-c"},
		Runners: 23, RunnerMiB: 81920, Slots: 16, Models: 40, Adapters: 100, LoadsPerSecond: 4, Concurrency: 13,
		StoreMiB: 1024, DiskMiB: 4096, IdlePerColdSecond: 35, TailPower: 1,
		Event: Event{Share: 0.5, Hour: 20, Weekdays: []time.Weekday{time.Saturday, time.Sunday, time.Wednesday}},
	}
)

// model is a model or an adapter with its demand.
type model struct {
	name string
	base int
	mib  int64
	// sessionsPerDay is the mean number of sessions, whose start times are normally
	// distributed around peakHour with the standard deviation spreadHours.
	sessionsPerDay float64
	peakHour       float64
	spreadHours    float64
	event          bool
}

const (
	smallModelMiB      = 8192
	modelStepMiB       = 8192
	modelSteps         = 4
	smallAdapterMiB    = 128
	adapterStepMiB     = 128
	adapterSteps       = 6
	noBase             = -1
	maxSessionsPerDay  = 40.0
	popularityExponent = 0.9
)

// catalogue returns the deployment's models and adapters. Popularity falls as a power of
// the rank, as that of rarely used models does.
func (d Deployment) catalogue(random *rand.Rand) []model {
	var models []model
	for index := range d.Models + d.Adapters {
		m := model{
			name: fmt.Sprintf("model-%d", index), base: noBase,
			mib:            smallModelMiB + modelStepMiB*int64(random.IntN(modelSteps)),
			sessionsPerDay: maxSessionsPerDay / math.Pow(float64(index%d.Models+1), popularityExponent),
			peakHour:       7 + 13*random.Float64(), spreadHours: 0.5 + 2.5*random.Float64(),
			event: random.Float64() < d.Event.Share,
		}
		if index >= d.Models {
			m.name = fmt.Sprintf("adapter-%d", index-d.Models)
			m.base = random.IntN(d.Models)
			m.mib = smallAdapterMiB + adapterStepMiB*int64(random.IntN(adapterSteps))
			m.sessionsPerDay = maxSessionsPerDay / 4 / math.Pow(float64(index-d.Models+1), popularityExponent)
			m.peakHour = models[m.base].peakHour
			m.spreadHours = models[m.base].spreadHours
		}
		models = append(models, m)
	}
	return models
}

// arrival is a request for a model at a time in seconds since the start.
type arrival struct {
	at    float64
	model int
}

const (
	secondsPerDay   = 86400.0
	secondsPerHour  = 3600.0
	sessionRequests = 6
	sessionGap      = 45.0
	eventRequests   = 30
	eventGap        = 120.0
	weekendFactor   = 0.4
	uniformShare    = 0.1
)

// trace returns the requests of a number of days from start on.
func (d Deployment) trace(models []model, days int, start time.Time, random *rand.Rand) []arrival {
	var arrivals []arrival
	for day := range days {
		weekday := start.AddDate(0, 0, day).Weekday()
		weekend := weekday == time.Saturday || weekday == time.Sunday
		for index, m := range models {
			expected := m.sessionsPerDay
			if weekend {
				expected *= weekendFactor
			}
			for range poisson(expected, random) {
				at := float64(day)*secondsPerDay + sessionStart(m, random)
				arrivals = appendSession(arrivals, index, at, sessionRequests, sessionGap, random)
			}
			if m.event && d.Event.occursOn(weekday) {
				at := float64(day)*secondsPerDay + d.Event.Hour*secondsPerHour + 60*random.Float64()
				arrivals = appendSession(arrivals, index, at, eventRequests, eventGap, random)
			}
		}
	}
	return arrivals
}

func (e Event) occursOn(weekday time.Weekday) bool {
	for _, day := range e.Weekdays {
		if day == weekday {
			return true
		}
	}
	return false
}

func sessionStart(m model, random *rand.Rand) float64 {
	if random.Float64() < uniformShare {
		return secondsPerDay * random.Float64()
	}
	hour := math.Mod(m.peakHour+m.spreadHours*random.NormFloat64()+24, 24)
	return hour * secondsPerHour
}

func appendSession(arrivals []arrival, model int, at float64, requests int, gap float64, random *rand.Rand) []arrival {
	for range 1 + poisson(float64(requests-1), random) {
		arrivals = append(arrivals, arrival{at: at, model: model})
		at += gap * random.ExpFloat64()
	}
	return arrivals
}

// poisson returns a Poisson-distributed random number, by counting exponential gaps.
func poisson(mean float64, random *rand.Rand) int {
	count := 0
	for total := random.ExpFloat64(); total < mean; total += random.ExpFloat64() {
		count++
	}
	return count
}
