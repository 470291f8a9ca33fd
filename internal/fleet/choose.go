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

// Costs of choosing a runner, in milliseconds of expected delay.
const (
	// prefillTokensPerMillisecond is how fast a runner is expected to read a
	// prompt.
	prefillTokensPerMillisecond = 35.0
	costPerRequest              = 4.0
	costWhenFull                = 400.0
	costOtherZone               = 2.0
	costMissing                 = 20_000.0
	// tieSpread is the random part of a cost, so that nodes with the same
	// beliefs do not all choose the same runner.
	tieSpread = 1.0
)

// Query describes a request to be placed.
type Query struct {
	Service string
	// Unit is empty for services that are not engines.
	Unit backend.Unit
	// Prompt are the parts of the prompt, in order.
	Prompt []Part
	// Homes are the regions in which alone the request may be served.
	Homes place.Homes
	// Priority is the request's rank, 0 first: the more urgent, the less it is one that
	// warms a cold runner.
	Priority int
	// Objective is the time of a prompt answer's first byte; zero where none is told.
	Objective time.Duration
	// Exclude are runners that were tried already.
	Exclude []string
	// Among bounds the choice to these runners; not set for all.
	Among []string
}

// Choice is the runner chosen for a request, and why.
type Choice struct {
	Runner backend.Runner
	// Cost is the expected delay in milliseconds.
	Cost float64
	// KeptTokens is how much of the prompt the runner is believed to keep, and
	// UnreadTokens how much it has to read.
	KeptTokens   int
	UnreadTokens int
	// InFlight is this node's requests at the runner before this one.
	InFlight int
	// Candidates is how many runners could have been chosen.
	Candidates int
	// Full is set when all slots of the runner are believed taken.
	Full bool
	// begun is when the request was counted there, prompt the time within which its
	// answer is to begin; zero where none is told.
	begun  time.Time
	prompt time.Duration
	// permitUntil is until when the permit holds that was spent on the request; zero
	// where the runner needed none.
	permitUntil time.Time
}

// Choose returns the runner with the least expected delay, and counts the
// request as under way there until Done is called.
func (f *Fleet) Choose(query Query) (Choice, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sweep()
	choices := f.choices(query)
	if len(choices) == 0 {
		return Choice{}, false
	}
	best := slices.MinFunc(choices, compareChoices)
	chosen := f.runners[best.Runner.ID]
	best.Candidates = len(choices)
	best.InFlight = chosen.inFlight
	best.begun, best.prompt = f.now(), query.Objective
	best.permitUntil = f.spendPermit(chosen)
	f.begin(chosen, query, best)
	return best, true
}

// choices returns the runners that a request may be sent to. mutex is held.
func (f *Fleet) choices(query Query) []Choice {
	var feasible []*runner
	for _, known := range f.runners {
		if f.feasible(known, query) {
			feasible = append(feasible, known)
		}
	}
	last, apart := lastKept(feasible)
	drawn := rand.Float64()
	choices := make([]Choice, 0, len(feasible))
	fitting := make([]bool, 0, len(feasible))
	for _, known := range feasible {
		choice := f.rank(known, query)
		zoneCost := f.zoneCost(known, drawn)
		choice.Cost += zoneCost
		fits := !apart || query.Unit == (backend.Unit{}) || !f.mixes(known, choice.UnreadTokens, last)
		if !fits {
			choice.Cost += costOfMixing
		}
		choices = append(choices, choice)
		fitting = append(fitting, fits && zoneCost == 0)
	}
	f.preferShared(choices, query, fitting)
	if query.Among == nil {
		return choices
	}
	return slices.DeleteFunc(choices, func(choice Choice) bool { return !slices.Contains(query.Among, choice.Runner.ID) })
}

func compareChoices(a, b Choice) int { return cmp.Compare(a.Cost, b.Cost) }

// Candidates returns the runners of which a request is best sent to one, count at
// most, best first by what this node knows; none where there is no choice. Where several
// in this node's region have places, no others are among them.
func (f *Fleet) Candidates(query Query, count int) []backend.Runner {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sweep()
	choices := f.choices(query)
	if len(choices) < 2 {
		return nil
	}
	if near := f.nearWithPlaces(choices); len(near) > 1 {
		choices = near
	}
	slices.SortFunc(choices, compareChoices)
	candidates := make([]backend.Runner, 0, count)
	for _, choice := range choices[:min(count, len(choices))] {
		candidates = append(candidates, choice.Runner)
	}
	return candidates
}

// nearWithPlaces returns the choices in this node's region that are not full.
func (f *Fleet) nearWithPlaces(choices []Choice) []Choice {
	near := make([]Choice, 0, len(choices))
	for _, choice := range choices {
		if f.ways.near(&choice.Runner) && !choice.Full {
			near = append(near, choice)
		}
	}
	return near
}

// feasible reports whether a request may be sent to a runner at all.
func (f *Fleet) feasible(known *runner, query Query) bool {
	return f.hinders(known, query) == unhindered
}

// hinders says why a request may not be sent to a runner, or that it may. mutex is held.
func (f *Fleet) hinders(known *runner, query Query) Reason {
	if reason := f.eligible(known, request(query)); reason != eligible.Yes {
		return Reason(reason)
	}
	if slices.Contains(query.Exclude, known.listed.ID) {
		return AlreadyTried
	}
	return f.serves(known, query.Unit)
}

// serves says why a runner is not believed to serve a unit, or that it is. mutex is held.
func (f *Fleet) serves(known *runner, unit backend.Unit) Reason {
	switch {
	case unit == backend.Unit{}:
		return unhindered
	case !f.holds(known, unit):
		return UnitNotHeld
	case f.silent(known):
		return RunnerSilent
	default:
		return unhindered
	}
}

// eligible says whether something may go to a runner now.
func (f *Fleet) eligible(known *runner, purpose eligible.Purpose) eligible.Reason {
	return f.check(known, purpose, f.permit(known), f.takesNoMore(known))
}

// check is eligible for a runner to which one request may go, or not, if it is cold, and which
// rests or not.
func (f *Fleet) check(known *runner, purpose eligible.Purpose, permit, resting bool) eligible.Reason {
	listed := &known.listed
	return eligible.Check(f.rules, &eligible.Runner{
		ID: listed.Name(), Service: listed.Service, Zone: place.Zone(listed.Zone), Region: place.Region(listed.Region),
		Listed: known.present || listed.Missing, Draining: f.leaves(known), Resting: resting, Permit: permit, Limited: f.limited(known),
	}, purpose)
}

// rank estimates the delay of a request at a runner.
func (f *Fleet) rank(known *runner, query Query) Choice {
	choice := Choice{Runner: known.listed}
	running := known.told.estimate(f.now(), known.inFlight)
	work := 0.0
	if query.Unit == (backend.Unit{}) {
		work = max(known.latency, 1) * float64(running+1) / float64(max(known.listed.Slots, 1))
	} else {
		total, kept := known.prompts.match(query.Unit, query.Prompt, f.now())
		choice.KeptTokens = kept
		choice.UnreadTokens = total - kept
		queued := max(known.told.queued(f.now(), known.prefill, f.meanUnread), known.prefill)
		work = float64(choice.UnreadTokens+queued)/prefillTokensPerMillisecond + float64(running)*costPerRequest
	}
	cost := rand.Float64()*tieSpread + work*known.told.factor(f.now())
	if known.listed.Slots > 0 && running >= known.listed.Slots {
		choice.Full = true
		cost += costWhenFull * float64(running-known.listed.Slots+1)
	}
	cost += f.costOfWay(&known.listed)
	if known.listed.Missing {
		cost += costMissing
	}
	cost += known.health.penalty(f.now())
	cost += f.costOfCold(known, query)
	choice.Cost = cost
	return choice
}

func (f *Fleet) begin(known *runner, query Query, choice Choice) {
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

// Started notes that the runner began to answer a request for a unit: its prompt
// has been read.
func (f *Fleet) Started(choice Choice) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[choice.Runner.ID]; known != nil {
		known.answeredAt = f.now()
		known.unanswered--
		known.cold.Answered(choice.prompt == 0 || f.now().Sub(choice.begun) <= choice.prompt)
		known.prefill = max(known.prefill-choice.UnreadTokens, 0)
	}
}

// Result is how an attempt at a runner ended.
type Result uint8

// The results.
const (
	// Served means that the runner answered.
	Served Result = iota
	// Failed means that the runner failed the request or broke off.
	Failed
	// Busy means that the runner stated that it did not run the request.
	Busy
	// NotHeld means that the runner stated that it does not hold the unit.
	NotHeld
	// Unreachable means that no connection could be made.
	Unreachable
	// Canceled means that the attempt was ended from this side.
	Canceled
)

// Done notes the end of an attempt. started tells whether Started was called for
// it.
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
		known.cold.Answered(choice.prompt == 0 || elapsed <= choice.prompt)
	}
	f.learn(known, query, result, elapsed)
	if known.inFlight == 0 && !known.present {
		f.sweep()
	}
}

func (f *Fleet) learn(known *runner, query Query, result Result, elapsed time.Duration) {
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
		known.health.lost(now)
	case Busy:
		known.answeredAt = now
		known.health.failure(now)
		if !f.noteRest(known) {
			known.refuse(query.Unit, now)
		}
	case NotHeld:
		known.answeredAt = now
		known.refuse(query.Unit, now)
	case Canceled:
	}
}

// refuse notes that the runner refused a request for a unit.
func (r *runner) refuse(unit backend.Unit, now time.Time) {
	if r.refused == nil {
		r.refused = make(map[backend.Unit]time.Time)
	}
	r.refused[unit] = now.Add(RefusalPause)
}

// Reported notes the load that a runner told when it was asked.
func (f *Fleet) Reported(id string, report backend.Report) {
	f.Told(id, backend.Workload{Running: report.Active, Waiting: report.Queued, Slowness: report.Slowness})
}

// Told notes the load a runner told in an answer.
func (f *Fleet) Told(id string, load backend.Workload) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if known := f.runners[id]; known != nil {
		known.told = toldLoad{running: load.Running, waiting: load.Waiting, slowness: load.Slowness, own: known.inFlight, prefill: known.prefill, at: f.now()}
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
