package experiment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"lilacvane/internal/sleep"
)

// Configuration is one way to decide about sleep.
type Configuration struct {
	Name string `json:"name"`
	// Fixed is a fixed keep-alive time; zero: learned.
	Fixed time.Duration `json:"fixedKeepAlive"`
	// Ahead wakes models ahead of their usual time.
	Ahead bool `json:"wakeAhead"`
}

// Options of a run.
type Options struct {
	Seed uint64 `json:"seed"`
	// LearnDays pass before anything is measured, MeasureDays are measured.
	LearnDays   int `json:"learnDays"`
	MeasureDays int `json:"measureDays"`
	// Deadline is how long a request waits at most.
	Deadline time.Duration `json:"deadline"`
}

// Outcome is what a configuration gave. Waits are in seconds, from arrival to a
// ready replica.
type Outcome struct {
	Configuration Configuration `json:"configuration"`
	Requests      int           `json:"requests"`
	Cold          int           `json:"coldRequests"`
	Refused       int           `json:"refused"`
	Loads         int           `json:"loads"`
	// ColdP50 to ColdP99 are the waits of requests that found no ready replica,
	// AllP95 and AllP99 those of all requests.
	ColdP50 float64 `json:"coldP50"`
	ColdP95 float64 `json:"coldP95"`
	ColdP99 float64 `json:"coldP99"`
	AllP95  float64 `json:"allP95"`
	AllP99  float64 `json:"allP99"`
	// IdleHours are hours of a whole runner taken by replicas without work:
	// idle time weighted by the share of the runner's memory.
	IdleHours float64 `json:"idleAcceleratorHours"`
}

type replicaState uint8

const (
	asleep replicaState = iota
	loading
	ready
)

// replica is one model on its runner.
type replica struct {
	state    replicaState
	runner   int
	active   int
	lastUsed float64
	// accounted is the time up to which idle time was counted.
	accounted float64
	// waiting are the arrival times of requests that wait for the load.
	waiting []float64
	used    bool
}

type event struct {
	at   float64
	kind eventKind
	// subject is a model, for all kinds but ticks.
	subject int
}

type eventKind uint8

const (
	arrive eventKind = iota
	loaded
	ended
	tick
)

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push is used by package heap.
func (e *events) Push(value any) { *e = append(*e, value.(event)) }

// Pop is used by package heap.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	tickSeconds    = 10.0
	serviceSeconds = 5.0
	keepLimit      = 2 * time.Hour
	diskFactor     = 4
	microseconds   = 1e6
)

// simulation is one run of one configuration.
type simulation struct {
	deployment    Deployment
	configuration Configuration
	options       Options
	start         time.Time
	models        []model
	replicas      []replica
	keeper        *sleep.Keeper
	queue         events
	now           float64
	freeMiB       []int64
	// disk holds, by runner, the models on its disk, oldest first.
	disk        [][]int
	nextStart   float64
	running     int
	lastUse     []float64
	measureFrom float64
	outcome     Outcome
	coldWaits   *hdrhistogram.Histogram
	allWaits    *hdrhistogram.Histogram
}

// Run simulates a deployment under a configuration. The same options give the
// same trace for every configuration.
func Run(d Deployment, configuration Configuration, options Options) (Outcome, error) {
	zone, err := time.LoadLocation(d.TimeZone)
	if err != nil {
		return Outcome{}, err
	}
	s := &simulation{
		deployment: d, configuration: configuration, options: options,
		start:       time.Date(2026, time.March, 2, 0, 0, 0, 0, zone),
		measureFrom: float64(options.LearnDays) * secondsADay,
		coldWaits:   hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		allWaits:    hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	s.prepare()
	days := options.LearnDays + options.MeasureDays
	end := float64(days) * secondsADay
	for _, a := range d.trace(s.models, days, s.start, rand.New(rand.NewPCG(options.Seed, 2))) {
		heap.Push(&s.queue, event{at: a.at, kind: arrive, subject: a.model})
	}
	heap.Push(&s.queue, event{at: tickSeconds, kind: tick})
	for s.queue.Len() > 0 && s.queue[0].at < end {
		next := heap.Pop(&s.queue).(event)
		s.now = next.at
		s.handle(next)
	}
	return s.finish(), nil
}

func (s *simulation) prepare() {
	s.models = s.deployment.catalogue(rand.New(rand.NewPCG(s.options.Seed, 1)))
	s.keeper = sleep.NewKeeper(sleep.Settings{Fixed: s.configuration.Fixed, Exchange: s.deployment.Exchange, TailPower: s.deployment.TailPower,
		Limit: keepLimit})
	s.replicas = make([]replica, len(s.models))
	s.lastUse = make([]float64, len(s.models))
	s.freeMiB = make([]int64, s.deployment.Runners)
	s.disk = make([][]int, s.deployment.Runners)
	for runner := range s.freeMiB {
		s.freeMiB[runner] = s.deployment.RunnerMiB
	}
	planned := make([]int64, s.deployment.Runners)
	for index, m := range s.models {
		s.lastUse[index] = -1
		if m.base != noBase {
			s.replicas[index].runner = s.replicas[m.base].runner
			continue
		}
		home := emptiest(planned)
		planned[home] += m.mib
		s.replicas[index].runner = home
	}
}

// emptiest returns the runner with the least memory planned.
func emptiest(planned []int64) int {
	home := 0
	for runner, mib := range planned {
		if mib < planned[home] {
			home = runner
		}
	}
	return home
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case arrive:
		s.arrive(e.subject)
	case loaded:
		s.loaded(e.subject)
	case ended:
		s.ended(e.subject)
	case tick:
		s.tick()
		heap.Push(&s.queue, event{at: s.now + tickSeconds, kind: tick})
	}
}

func (s *simulation) measured() bool { return s.now >= s.measureFrom }

// account counts a replica's idle time up to now. It is called before the
// replica's state changes.
func (s *simulation) account(index int) {
	r := &s.replicas[index]
	from := max(r.accounted, s.measureFrom)
	r.accounted = s.now
	if r.state != ready || r.active > 0 || s.now <= from {
		return
	}
	share := float64(s.models[index].mib) / float64(s.deployment.RunnerMiB)
	s.outcome.IdleHours += (s.now - from) / secondsAnHour * share
}

func (s *simulation) arrive(index int) {
	r := &s.replicas[index]
	r.used = true
	if base := s.models[index].base; base != noBase {
		s.replicas[base].used = true
	}
	if last := s.lastUse[index]; last >= 0 && s.now > last && r.active == 0 {
		s.keeper.ObserveGap(s.models[index].name, time.Duration((s.now-last)*float64(time.Second)))
	}
	s.lastUse[index] = s.now
	if s.measured() {
		s.outcome.Requests++
	}
	if r.state == ready {
		s.wait(0, false)
		s.begin(index)
		return
	}
	r.waiting = append(r.waiting, s.now)
	s.load(index)
}

func (s *simulation) wait(seconds float64, cold bool) {
	if !s.measured() {
		return
	}
	value := max(1, int64(seconds*microseconds))
	_ = s.allWaits.RecordValue(value)
	if cold {
		s.outcome.Cold++
		_ = s.coldWaits.RecordValue(value)
	}
}

func (s *simulation) begin(index int) {
	s.account(index)
	s.replicas[index].active++
	if base := s.models[index].base; base != noBase {
		s.account(base)
		s.replicas[base].active++
	}
	heap.Push(&s.queue, event{at: s.now + serviceSeconds, kind: ended, subject: index})
}

func (s *simulation) ended(index int) {
	s.release(index)
	if base := s.models[index].base; base != noBase {
		s.release(base)
	}
}

func (s *simulation) release(index int) {
	s.account(index)
	s.replicas[index].active--
	s.replicas[index].lastUsed = s.now
	s.lastUse[index] = s.now
}

// load starts to load a model, its base first, making room if need be. What
// cannot start now is tried again at the next tick.
func (s *simulation) load(index int) {
	r := &s.replicas[index]
	if r.state != asleep {
		return
	}
	if base := s.models[index].base; base != noBase && s.replicas[base].state != ready {
		s.load(base)
		return
	}
	if !s.makeRoom(index) || s.nextStart > s.now+tickSeconds {
		return
	}
	s.account(index)
	r.state = loading
	s.freeMiB[r.runner] -= s.models[index].mib
	s.nextStart = max(s.nextStart, s.now) + 1/s.deployment.LoadsPerSecond
	if s.measured() {
		s.outcome.Loads++
	}
	heap.Push(&s.queue, event{at: s.now + s.loadSeconds(index), kind: loaded, subject: index})
}

func (s *simulation) loadSeconds(index int) float64 {
	mib := float64(s.models[index].mib)
	if s.onDisk(index) {
		return mib / s.deployment.DiskMiB
	}
	s.running++
	slowdown := max(1, float64(s.running)/float64(s.deployment.Concurrency))
	return max(0, s.nextStart-s.now) + mib/s.deployment.StoreMiB*slowdown
}

// onDisk tells whether a model's checkpoint is on its runner's disk.
func (s *simulation) onDisk(index int) bool {
	return slices.Contains(s.disk[s.replicas[index].runner], index)
}

// replica describes a model where it would be loaded.
func (s *simulation) replica(index int) sleep.Replica {
	mib := float64(s.models[index].mib)
	speed := s.deployment.StoreMiB
	if s.onDisk(index) {
		speed = s.deployment.DiskMiB
	}
	return sleep.Replica{
		Name: s.models[index].name, LoadTime: time.Duration(mib / speed * float64(time.Second)), Share: mib / float64(s.deployment.RunnerMiB),
	}
}

// makeRoom evicts the replicas idle longest from the model's runner.
func (s *simulation) makeRoom(index int) bool {
	runner := s.replicas[index].runner
	needed := s.models[index].mib - s.freeMiB[runner]
	if needed <= 0 {
		return true
	}
	var idle []int
	for other := range s.replicas {
		candidate := &s.replicas[other]
		if candidate.runner == runner && candidate.state == ready && candidate.active == 0 && other != s.models[index].base && !s.inUse(other) {
			idle = append(idle, other)
		}
	}
	sort.Slice(idle, func(i, j int) bool { return s.replicas[idle[i]].lastUsed < s.replicas[idle[j]].lastUsed })
	for _, other := range idle {
		if needed <= 0 {
			break
		}
		needed -= s.models[other].mib
		s.unload(other)
	}
	return needed <= 0
}

// inUse tells whether an adapter of the model is loading, or has work.
func (s *simulation) inUse(base int) bool {
	for index, m := range s.models {
		if m.base == base && (s.replicas[index].state == loading || s.replicas[index].active > 0) {
			return true
		}
	}
	return false
}

// unload puts a replica to sleep, with its idle adapters.
func (s *simulation) unload(index int) {
	for other, m := range s.models {
		if m.base == index && s.replicas[other].state == ready {
			s.unload(other)
		}
	}
	s.account(index)
	r := &s.replicas[index]
	r.state = asleep
	s.freeMiB[r.runner] += s.models[index].mib
}

func (s *simulation) loaded(index int) {
	s.account(index)
	r := &s.replicas[index]
	r.state = ready
	r.lastUsed = s.now
	s.running = max(0, s.running-1)
	s.remember(index)
	for _, arrived := range r.waiting {
		s.wait(s.now-arrived, true)
		s.begin(index)
	}
	r.waiting = nil
	for other, m := range s.models {
		if m.base == index && len(s.replicas[other].waiting) > 0 {
			s.load(other)
		}
	}
}

// remember puts a model on its runner's disk and drops the oldest ones.
func (s *simulation) remember(index int) {
	runner := s.replicas[index].runner
	disk := s.disk[runner]
	for position, cached := range disk {
		if cached == index {
			disk = append(disk[:position], disk[position+1:]...)
			break
		}
	}
	disk = append(disk, index)
	var total int64
	first := len(disk)
	for first > 0 && total+s.models[disk[first-1]].mib <= diskFactor*s.deployment.RunnerMiB {
		first--
		total += s.models[disk[first]].mib
	}
	s.disk[runner] = disk[first:]
}

// tick sleeps what has been idle for its keep-alive time, wakes ahead, starts
// loads that had to wait and refuses what waited too long.
func (s *simulation) tick() {
	local := s.start.Add(time.Duration(s.now * float64(time.Second)))
	for index := range s.replicas {
		r := &s.replicas[index]
		s.keeper.ObserveUse(s.models[index].name, local, r.used)
		r.used = false
		ahead := s.configuration.Ahead && s.keeper.WakeAhead(s.replica(index), local)
		switch {
		case r.state == asleep && (ahead || len(r.waiting) > 0):
			s.load(index)
		case r.state == ready && r.active == 0 && !ahead && !s.inUse(index):
			idle := time.Duration((s.now - r.lastUsed) * float64(time.Second))
			if idle > s.keeper.For(s.replica(index)) {
				s.unload(index)
			}
		}
		s.refuse(r)
	}
}

func (s *simulation) refuse(r *replica) {
	kept := r.waiting[:0]
	for _, arrived := range r.waiting {
		if s.now-arrived <= s.options.Deadline.Seconds() {
			kept = append(kept, arrived)
			continue
		}
		if s.measured() {
			s.outcome.Refused++
		}
	}
	r.waiting = kept
}

func (s *simulation) finish() Outcome {
	for index := range s.replicas {
		s.account(index)
	}
	s.outcome.Configuration = s.configuration
	seconds := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / microseconds
	}
	s.outcome.ColdP50, s.outcome.ColdP95, s.outcome.ColdP99 = seconds(s.coldWaits, 50), seconds(s.coldWaits, 95), seconds(s.coldWaits, 99)
	s.outcome.AllP95, s.outcome.AllP99 = seconds(s.allWaits, 95), seconds(s.allWaits, 99)
	return s.outcome
}
