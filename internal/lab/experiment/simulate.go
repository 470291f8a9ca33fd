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

// Configuration selects how long idle models stay loaded and whether they are loaded ahead
// of demand.
type Configuration struct {
	Name string `json:"name"`
	// Fixed is a fixed keep-alive time; zero for a learned one.
	Fixed time.Duration `json:"fixedKeepAlive"`
	// Ahead loads models ahead of the times at which they are usually used.
	Ahead bool `json:"wakeAhead"`
}

// Options are the options of a run.
type Options struct {
	Seed uint64 `json:"seed"`
	// LearnDays pass before the measurement begins, which takes MeasureDays.
	LearnDays   int `json:"learnDays"`
	MeasureDays int `json:"measureDays"`
	// Deadline is the maximum time that a request waits.
	Deadline time.Duration `json:"deadline"`
}

// Outcome is the result of a configuration. Waits are in seconds, from the arrival of a
// request to a ready replica.
type Outcome struct {
	Configuration Configuration `json:"configuration"`
	Requests      int           `json:"requests"`
	Cold          int           `json:"coldRequests"`
	Refused       int           `json:"refused"`
	Loads         int           `json:"loads"`
	// ColdP50 to ColdP99 are percentiles of the waits of requests that found no ready replica,
	// AllP95 and AllP99 of those of all requests.
	ColdP50 float64 `json:"coldP50"`
	ColdP95 float64 `json:"coldP95"`
	ColdP99 float64 `json:"coldP99"`
	AllP95  float64 `json:"allP95"`
	AllP99  float64 `json:"allP99"`
	// IdleHours are the runner hours that replicas without work took: their idle time
	// weighted by their share of the runner's memory.
	IdleHours float64 `json:"idleAcceleratorHours"`
}

type replicaState uint8

const (
	unloaded replicaState = iota
	loading
	ready
)

// replica is a model on its runner.
type replica struct {
	state    replicaState
	runner   int
	active   int
	lastUsed float64
	// idleCountedTo is the time up to which idle time was counted.
	idleCountedTo float64
	// waiting are the arrival times of the requests that wait for the load.
	waiting []float64
	used    bool
}

type event struct {
	at   float64
	kind eventKind
	// model is the index of the model; unused for ticks.
	model int
}

type eventKind uint8

const (
	requestArrives eventKind = iota
	loadEnds
	requestEnds
	tick
)

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(value any) { *e = append(*e, value.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	tickSeconds           = 10.0
	serviceSeconds        = 5.0
	maxKeepAlive          = 2 * time.Hour
	diskToMemoryRatio     = 4
	microsecondsPerSecond = 1e6
)

// simulation is a run of one configuration.
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
	// disk holds the models on the disk of each runner, least recently loaded first.
	disk          [][]int
	nextLoadStart float64
	storeLoads    int
	lastUseTime   []float64
	measureFrom   float64
	outcome       Outcome
	coldWaits     *hdrhistogram.Histogram
	allWaits      *hdrhistogram.Histogram
}

// Run simulates a deployment with a configuration. The same options give the same trace
// for every configuration.
func Run(d Deployment, configuration Configuration, options Options) (Outcome, error) {
	zone, err := time.LoadLocation(d.TimeZone)
	if err != nil {
		return Outcome{}, err
	}
	s := &simulation{
		deployment: d, configuration: configuration, options: options,
		start:       time.Date(2026, time.March, 2, 0, 0, 0, 0, zone),
		measureFrom: float64(options.LearnDays) * secondsPerDay,
		coldWaits:   hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
		allWaits:    hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	s.prepare()
	days := options.LearnDays + options.MeasureDays
	end := float64(days) * secondsPerDay
	for _, a := range d.trace(s.models, days, s.start, rand.New(rand.NewPCG(options.Seed, 2))) {
		heap.Push(&s.queue, event{at: a.at, kind: requestArrives, model: a.model})
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
	s.keeper = sleep.NewKeeper(sleep.Settings{Fixed: s.configuration.Fixed, IdlePerColdSecond: s.deployment.IdlePerColdSecond, TailPower: s.deployment.TailPower,
		Limit: maxKeepAlive})
	s.replicas = make([]replica, len(s.models))
	s.lastUseTime = make([]float64, len(s.models))
	s.freeMiB = make([]int64, s.deployment.Runners)
	s.disk = make([][]int, s.deployment.Runners)
	for runner := range s.freeMiB {
		s.freeMiB[runner] = s.deployment.RunnerMiB
	}
	planned := make([]int64, s.deployment.Runners)
	for index, m := range s.models {
		s.lastUseTime[index] = -1
		if m.base != noBase {
			s.replicas[index].runner = s.replicas[m.base].runner
			continue
		}
		home := leastPlannedRunner(planned)
		planned[home] += m.mib
		s.replicas[index].runner = home
	}
}

// leastPlannedRunner returns the runner with the least planned memory.
func leastPlannedRunner(planned []int64) int {
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
	case requestArrives:
		s.handleArrival(e.model)
	case loadEnds:
		s.finishLoad(e.model)
	case requestEnds:
		s.endRequest(e.model)
	case tick:
		s.tick()
		heap.Push(&s.queue, event{at: s.now + tickSeconds, kind: tick})
	}
}

func (s *simulation) measuring() bool { return s.now >= s.measureFrom }

// countIdleTime adds a replica's idle time up to now. It must be called before each change
// of the replica's state.
func (s *simulation) countIdleTime(index int) {
	r := &s.replicas[index]
	from := max(r.idleCountedTo, s.measureFrom)
	r.idleCountedTo = s.now
	if r.state != ready || r.active > 0 || s.now <= from {
		return
	}
	share := float64(s.models[index].mib) / float64(s.deployment.RunnerMiB)
	s.outcome.IdleHours += (s.now - from) / secondsPerHour * share
}

func (s *simulation) handleArrival(index int) {
	r := &s.replicas[index]
	r.used = true
	if base := s.models[index].base; base != noBase {
		s.replicas[base].used = true
	}
	if last := s.lastUseTime[index]; last >= 0 && s.now > last && r.active == 0 {
		s.keeper.ObserveGap(s.models[index].name, time.Duration((s.now-last)*float64(time.Second)))
	}
	s.lastUseTime[index] = s.now
	if s.measuring() {
		s.outcome.Requests++
	}
	if r.state == ready {
		s.recordWait(0, false)
		s.startRequest(index)
		return
	}
	r.waiting = append(r.waiting, s.now)
	s.load(index)
}

func (s *simulation) recordWait(seconds float64, cold bool) {
	if !s.measuring() {
		return
	}
	value := max(1, int64(seconds*microsecondsPerSecond))
	_ = s.allWaits.RecordValue(value)
	if cold {
		s.outcome.Cold++
		_ = s.coldWaits.RecordValue(value)
	}
}

func (s *simulation) startRequest(index int) {
	s.countIdleTime(index)
	s.replicas[index].active++
	if base := s.models[index].base; base != noBase {
		s.countIdleTime(base)
		s.replicas[base].active++
	}
	heap.Push(&s.queue, event{at: s.now + serviceSeconds, kind: requestEnds, model: index})
}

func (s *simulation) endRequest(index int) {
	s.release(index)
	if base := s.models[index].base; base != noBase {
		s.release(base)
	}
}

func (s *simulation) release(index int) {
	s.countIdleTime(index)
	s.replicas[index].active--
	s.replicas[index].lastUsed = s.now
	s.lastUseTime[index] = s.now
}

// load starts to load a model, or first its base model, and evicts idle replicas if memory
// is short. Loads that cannot start now are retried at the next tick.
func (s *simulation) load(index int) {
	r := &s.replicas[index]
	if r.state != unloaded {
		return
	}
	if base := s.models[index].base; base != noBase && s.replicas[base].state != ready {
		s.load(base)
		return
	}
	if !s.makeRoom(index) || s.nextLoadStart > s.now+tickSeconds {
		return
	}
	s.countIdleTime(index)
	r.state = loading
	s.freeMiB[r.runner] -= s.models[index].mib
	s.nextLoadStart = max(s.nextLoadStart, s.now) + 1/s.deployment.LoadsPerSecond
	if s.measuring() {
		s.outcome.Loads++
	}
	heap.Push(&s.queue, event{at: s.now + s.loadSeconds(index), kind: loadEnds, model: index})
}

func (s *simulation) loadSeconds(index int) float64 {
	mib := float64(s.models[index].mib)
	if s.onDisk(index) {
		return mib / s.deployment.DiskMiB
	}
	s.storeLoads++
	slowdown := max(1, float64(s.storeLoads)/float64(s.deployment.Concurrency))
	return max(0, s.nextLoadStart-s.now) + mib/s.deployment.StoreMiB*slowdown
}

// onDisk returns whether a model's checkpoint is on its runner's disk.
func (s *simulation) onDisk(index int) bool {
	return slices.Contains(s.disk[s.replicas[index].runner], index)
}

// sleepReplica describes a model on its runner to package sleep.
func (s *simulation) sleepReplica(index int) sleep.Replica {
	mib := float64(s.models[index].mib)
	speed := s.deployment.StoreMiB
	if s.onDisk(index) {
		speed = s.deployment.DiskMiB
	}
	return sleep.Replica{
		Name: s.models[index].name, LoadTime: time.Duration(mib / speed * float64(time.Second)), Share: mib / float64(s.deployment.RunnerMiB),
	}
}

// makeRoom evicts idle replicas from the model's runner, least recently used first, until
// the model fits. It returns whether it does.
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

// inUse returns whether an adapter of the model is loading or has work.
func (s *simulation) inUse(base int) bool {
	for index, m := range s.models {
		if m.base == base && (s.replicas[index].state == loading || s.replicas[index].active > 0) {
			return true
		}
	}
	return false
}

// unload unloads a replica and its ready adapters.
func (s *simulation) unload(index int) {
	for other, m := range s.models {
		if m.base == index && s.replicas[other].state == ready {
			s.unload(other)
		}
	}
	s.countIdleTime(index)
	r := &s.replicas[index]
	r.state = unloaded
	s.freeMiB[r.runner] += s.models[index].mib
}

func (s *simulation) finishLoad(index int) {
	s.countIdleTime(index)
	r := &s.replicas[index]
	r.state = ready
	r.lastUsed = s.now
	s.storeLoads = max(0, s.storeLoads-1)
	s.cacheOnDisk(index)
	for _, arrived := range r.waiting {
		s.recordWait(s.now-arrived, true)
		s.startRequest(index)
	}
	r.waiting = nil
	for other, m := range s.models {
		if m.base == index && len(s.replicas[other].waiting) > 0 {
			s.load(other)
		}
	}
}

// cacheOnDisk puts a model on its runner's disk and drops the least recently loaded models
// that do not fit any more.
func (s *simulation) cacheOnDisk(index int) {
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
	for first > 0 && total+s.models[disk[first-1]].mib <= diskToMemoryRatio*s.deployment.RunnerMiB {
		first--
		total += s.models[disk[first]].mib
	}
	s.disk[runner] = disk[first:]
}

// tick unloads replicas that were idle for longer than their keep-alive time, loads models
// ahead of demand, starts delayed loads and refuses requests that waited too long.
func (s *simulation) tick() {
	local := s.start.Add(time.Duration(s.now * float64(time.Second)))
	for index := range s.replicas {
		r := &s.replicas[index]
		s.keeper.ObserveUse(s.models[index].name, local, r.used)
		r.used = false
		ahead := s.configuration.Ahead && s.keeper.WakeAhead(s.sleepReplica(index), local)
		switch {
		case r.state == unloaded && (ahead || len(r.waiting) > 0):
			s.load(index)
		case r.state == ready && r.active == 0 && !ahead && !s.inUse(index):
			idle := time.Duration((s.now - r.lastUsed) * float64(time.Second))
			if idle > s.keeper.KeepAlive(s.sleepReplica(index)) {
				s.unload(index)
			}
		}
		s.refuseExpired(r)
	}
}

func (s *simulation) refuseExpired(r *replica) {
	kept := r.waiting[:0]
	for _, arrived := range r.waiting {
		if s.now-arrived <= s.options.Deadline.Seconds() {
			kept = append(kept, arrived)
			continue
		}
		if s.measuring() {
			s.outcome.Refused++
		}
	}
	r.waiting = kept
}

func (s *simulation) finish() Outcome {
	for index := range s.replicas {
		s.countIdleTime(index)
	}
	s.outcome.Configuration = s.configuration
	seconds := func(h *hdrhistogram.Histogram, quantile float64) float64 {
		return float64(h.ValueAtQuantile(quantile)) / microsecondsPerSecond
	}
	s.outcome.ColdP50, s.outcome.ColdP95, s.outcome.ColdP99 = seconds(s.coldWaits, 50), seconds(s.coldWaits, 95), seconds(s.coldWaits, 99)
	s.outcome.AllP95, s.outcome.AllP99 = seconds(s.allWaits, 95), seconds(s.allWaits, 99)
	return s.outcome
}
