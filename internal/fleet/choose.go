package fleet

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"lilacvane/internal/backend"
	"lilacvane/internal/eligible"
	"lilacvane/internal/place"
)

// Costs by which a runner is chosen, in milliseconds of expected delay.
const (
	// prefillTokensPerMillisecond is the expected speed at which a runner reads a prompt.
	prefillTokensPerMillisecond = 35.0
	// costPerRequest is the cost of each request that the runner already has.
	costPerRequest = 4.0
	// costWhenFull is the cost of each request beyond the runner's slots.
	costWhenFull = 400.0
	// costOtherZone is the cost of a runner outside this node's zone.
	costOtherZone = 2.0
	// costMissing is the cost of a runner that vanished from the list without notice, or whose
	// zone gets no share of the requests.
	costMissing = 20_000.0
	// tieJitter is the random part of a cost, so that nodes with the same information do not
	// all choose the same runner.
	tieJitter = 1.0
)

// Query describes a request for which a runner is needed.
type Query struct {
	Service string
	// Unit is empty for services that are not engines.
	Unit backend.Unit
	// Prompt lists the parts of the prompt in order.
	Prompt []Part
	// Homes are the only regions in which the request may be served.
	Homes place.Homes
	// Priority is the rank of the request; 0 is the most urgent. The more urgent a request,
	// the less likely it is sent to a cold runner.
	Priority int
	// Objective is the time within which the first byte of the answer is due; zero if none is
	// set.
	Objective time.Duration
	// Build is the only build that may serve the request, as it began a stream that the request
	// continues; nil allows all.
	Build *backend.Build
	// Exclude lists the runners that were tried already.
	Exclude []string
	// Among restricts the choice to these runners; nil allows all.
	Among []string
}

// Choice is the runner chosen for a request, with the figures that led to it.
type Choice struct {
	Runner backend.Runner
	// Cost is the expected delay in milliseconds.
	Cost float64
	// KeptTokens is how many tokens of the prompt the runner is believed to have cached;
	// UnreadTokens is how many it still has to read.
	KeptTokens   int
	UnreadTokens int
	// InFlight is the number of this node's requests at the runner before this one.
	InFlight int
	// Candidates is the number of runners that could have been chosen.
	Candidates int
	// Full is set if all slots of the runner are believed to be taken.
	Full bool
	// startedAt is when the request was counted as in flight; objective is the time within
	// which its answer should begin, zero if none is set.
	startedAt time.Time
	objective time.Duration
	// permitUntil is when the permit spent on the request expires; zero if the runner needed
	// none.
	permitUntil time.Time
	// roomUntil is until when the request may be sent to a brittle runner because that had room;
	// zero if the runner is not brittle or had none.
	roomUntil time.Time
}

// Choose returns the runner with the lowest expected delay and counts the request as in flight
// there until Done is called.
func (f *Fleet) Choose(query Query) (Choice, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.forgetDeparted()
	choices := f.choices(query)
	if len(choices) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(choices, compareChoices)
	chosen := f.runners[best.Runner.ID]
	best.Candidates = len(choices)
	best.InFlight = chosen.inFlight
	best.startedAt, best.objective = f.now(), query.Objective
	best.roomUntil = f.roomUntil(chosen)
	best.permitUntil = f.spendPermit(chosen)
	f.recordStart(chosen, query, best)
	return best, true
}

// choices returns the runners to which a request may be sent, with their costs. mutex must be
// held.
func (f *Fleet) choices(query Query) []Choice {
	var feasible []*runner
	for _, known := range f.runners {
		if f.feasible(known, query) {
			feasible = append(feasible, known)
		}
	}
	limit, split := shortPoolLimit(feasible)
	drawn := rand.Float64()
	choices := make([]Choice, 0, len(feasible))
	preferred := make([]bool, 0, len(feasible))
	for _, known := range feasible {
		choice := f.rank(known, query)
		zoneCost := f.zoneCost(known, drawn)
		choice.Cost += zoneCost
		fits := !split || query.Unit == (backend.Unit{}) || !f.mixesPromptLengths(known, choice.UnreadTokens, limit)
		if !fits {
			choice.Cost += costMixedPrompts
		}
		choices = append(choices, choice)
		preferred = append(preferred, fits && zoneCost == 0)
	}
	f.preferPrefixRunner(choices, query, preferred)
	if query.Among == nil {
		return choices
	}
	return slices.DeleteFunc(choices, func(choice Choice) bool { return !slices.Contains(query.Among, choice.Runner.ID) })
}

func compareChoices(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) }

// Candidates returns at most count runners to which a request could be sent, best first as far
// as this node knows; nil if there is no choice between several. If more than one runner of
// this node's region has free slots, only such runners are returned.
func (f *Fleet) Candidates(query Query, count int) []backend.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.forgetDeparted()
	choices := f.choices(query)
	if len(choices) < 2 {
		return nil
	}
	if near := f.localWithFreeSlots(choices); len(near) > 1 {
		choices = near
	}
	slices.SortFunc(choices, compareChoices)
	candidates := make([]backend.Runner, 0, count)
	for _, choice := range choices[:min(count, len(choices))] {
		candidates = append(candidates, choice.Runner)
	}
	return candidates
}

// localWithFreeSlots returns the choices in this node's region that are not full.
func (f *Fleet) localWithFreeSlots(choices []Choice) []Choice {
	near := make([]Choice, 0, len(choices))
	for _, choice := range choices {
		if f.latencies.isLocal(&choice.Runner) && !choice.Full {
			near = append(near, choice)
		}
	}
	return near
}

// feasible reports whether a request may be sent to a runner at all.
func (f *Fleet) feasible(known *runner, query Query) bool {
	return f.blockedBy(known, query) == unblocked
}

// blockedBy returns why a request may not be sent to a runner, or unblocked. mutex must be
// held.
func (f *Fleet) blockedBy(known *runner, query Query) Reason {
	if reason := f.eligibility(known, request(query)); reason != eligible.Yes {
		return Reason(reason)
	}
	if !query.allowsBuild(known) {
		return OtherBuild
	}
	if slices.Contains(query.Exclude, known.listed.ID) {
		return AlreadyTried
	}
	return f.unitBlockedBy(known, query.Unit)
}

// unitBlockedBy returns why a runner is believed not to serve a unit, or unblocked. mutex must
// be held.
func (f *Fleet) unitBlockedBy(known *runner, unit backend.Unit) Reason {
	switch {
	case unit == backend.Unit{}:
		return unblocked
	case !f.holds(known, unit):
		return UnitNotHeld
	case f.silent(known):
		return RunnerSilent
	default:
		return unblocked
	}
}

// eligibility returns whether something may be sent to a runner now, and if not, why.
func (f *Fleet) eligibility(known *runner, purpose eligible.Purpose) eligible.Reason {
	return f.eligibilityWith(known, purpose, f.hasPermit(known), f.isResting(known))
}

// eligibilityWith is eligibility with the permit and the rest given: permit is set if the
// runner needs no permit or there is one, resting if the runner takes nothing more now.
func (f *Fleet) eligibilityWith(known *runner, purpose eligible.Purpose, permit, resting bool) eligible.Reason {
	listed := &known.listed
	return eligible.Check(f.rules, &eligible.Runner{
		ID: listed.Name(), Service: listed.Service, Zone: place.Zone(listed.Zone), Region: place.Region(listed.Region),
		Listed: known.present || listed.Missing, Draining: f.isDraining(known), Resting: resting, Permit: permit, Limited: f.limited(known),
	}, purpose)
}

// rank estimates the delay of a request at a runner.
func (f *Fleet) rank(known *runner, query Query) Choice {
	choice := Choice{Runner: known.listed}
	running := known.load.estimate(f.now(), known.inFlight)
	work := 0.0
	if query.Unit == (backend.Unit{}) {
		work = max(known.latency, 1) * float64(running+1) / float64(max(known.listed.Slots, 1))
	} else {
		total, kept := known.prompts.match(query.Unit, query.Prompt, f.now())
		choice.KeptTokens = kept
		choice.UnreadTokens = total - kept
		queued := max(known.load.queued(f.now(), known.prefill, f.meanUnread), known.prefill)
		work = float64(choice.UnreadTokens+queued)/prefillTokensPerMillisecond + float64(running)*costPerRequest
	}
	cost := rand.Float64()*tieJitter + work*known.load.factor(f.now())
	if known.listed.Slots > 0 && running >= known.listed.Slots {
		choice.Full = true
		cost += costWhenFull * float64(running-known.listed.Slots+1)
	}
	cost += f.locationCost(&known.listed)
	if known.listed.Missing {
		cost += costMissing
	}
	cost += known.health.penalty(f.now())
	cost += f.coldCost(known, query)
	choice.Cost = cost
	return choice
}

func (f *Fleet) recordStart(known *runner, query Query, choice Choice) {
	known.inFlight++
	known.unanswered++
	if query.Unit == (backend.Unit{}) {
		return
	}
	if known.byUnit == nil {
		known.byUnit = make(map[backend.Unit]int)
	}
	known.byUnit[query.Unit]++
	f.meanUnread += unreadWeight * (float64(choice.UnreadTokens) - f.meanUnread)
	known.prefill += choice.UnreadTokens
	known.prompts.add(query.Unit, query.Prompt, f.now())
}

// Started records that a runner began to answer a request, which it does once it has read the
// prompt.
func (f *Fleet) Started(choice Choice) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[choice.Runner.ID]; known != nil {
		known.answeredAt = f.now()
		known.unanswered--
		known.cold.Answered(choice.objective == 0 || f.now().Sub(choice.startedAt) <= choice.objective)
		known.prefill = max(known.prefill-choice.UnreadTokens, 0)
		f.wakeHeldBack(known)
	}
}

// Result is the outcome of an attempt at a runner.
type Result uint8

// The results.
const (
	// Served means that the runner answered.
	Served Result = iota
	// Failed means that the runner failed the request or broke off the answer.
	Failed
	// Busy means that the runner reported that it did not run the request.
	Busy
	// NotHeld means that the runner reported that it does not hold the unit.
	NotHeld
	// Unreachable means that no connection could be made.
	Unreachable
	// Canceled means that this node ended the attempt.
	Canceled
)

// Done records the end of an attempt; started is set if Started was called for it.
func (f *Fleet) Done(choice Choice, query Query, result Result, elapsed time.Duration, started bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	known := f.runners[choice.Runner.ID]
	if known == nil {
		return
	}
	known.inFlight--
	if !started {
		known.unanswered--
	}
	if query.Unit != (backend.Unit{}) {
		if known.byUnit[query.Unit]--; known.byUnit[query.Unit] <= 0 {
			delete(known.byUnit, query.Unit)
		}
		if !started {
			known.prefill = max(known.prefill-choice.UnreadTokens, 0)
		}
	}
	if result == Served && !started {
		known.cold.Answered(choice.objective == 0 || elapsed <= choice.objective)
	}
	f.recordResult(known, query, result, elapsed)
	f.wakeHeldBack(known)
	if known.inFlight == 0 && !known.present {
		f.forgetDeparted()
	}
}

func (f *Fleet) recordResult(known *runner, query Query, result Result, elapsed time.Duration) {
	now := f.now()
	switch result {
	case Served:
		known.answeredAt = now
		known.health.success()
		known.latency += latencyWeight * (milliseconds(elapsed) - known.latency)
	case Failed:
		known.health.failure(now)
		known.prompts.clear()
	case Unreachable:
		known.health.unreachable(now)
	case Busy:
		known.answeredAt = now
		known.health.failure(now)
		known.recordRejection(now)
		if !f.recordRest(known) {
			known.recordRefusal(query.Unit, now)
		}
	case NotHeld:
		known.answeredAt = now
		known.recordRefusal(query.Unit, now)
	case Canceled:
	}
}

// recordRefusal records that the runner refused a request for a unit.
func (r *runner) recordRefusal(unit backend.Unit, now time.Time) {
	if r.refused == nil {
		r.refused = make(map[backend.Unit]time.Time)
	}
	r.refused[unit] = now.Add(RefusalPause)
}

// ObserveReport records the load from a report that a runner gave when asked.
func (f *Fleet) ObserveReport(id string, report backend.Report) {
	f.ObserveWorkload(id, backend.Workload{Running: report.Active, Waiting: report.Queued, Slowness: report.Slowness})
}

// ObserveWorkload records the load that a runner stated in an answer.
func (f *Fleet) ObserveWorkload(id string, load backend.Workload) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[id]; known != nil {
		known.load = reportedLoad{running: load.Running, waiting: load.Waiting, slowness: load.Slowness, own: known.inFlight, prefill: known.prefill, at: f.now()}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
