// Package eligible answers one question: may this go to this runner now? Every choice
// of a runner asks it: first choices and repetitions of requests, resumed streams,
// questions for a runner's load, loads of models and adapters, unloads. It decides from
// the runner's own word, from what operators took out, and from what the request or
// its tenant demands. It is pure, takes constant time and allocates nothing.
package eligible

import (
	"lilacvane/internal/place"
)

// Reason says why something may not go to a runner, or that it may.
type Reason uint8

// The reasons, in the order in which they are looked at.
const (
	// Yes means that it may go there.
	Yes Reason = iota
	// OtherService means that the runner belongs to another service.
	OtherService
	// Gone means that the runner left the platform's list.
	Gone
	// Draining means that the runner says that it leaves.
	Draining
	// Drained means that a planned stop of lilacvane's operators empties the runner.
	Drained
	// ZoneOut means that the runner's zone is taken out.
	ZoneOut
	// OutsideHomes means that it may not be served in the runner's region.
	OutsideHomes
	// Cold means that the runner is cold and takes no more from this node now.
	Cold
	// Limited means that the runner named a limit and takes no more from this node now.
	Limited
	// Resting means that the runner asked this node for a time without requests, or has rested
	// and takes no more at once.
	Resting
)

// String names the reason as logs and explanations spell it.
func (r Reason) String() string {
	return [...]string{"eligible", "other_service", "gone", "draining", "drained", "zone_out", "outside_homes", "cold", "limited", "resting"}[r]
}

// Runner is what decides about a runner.
type Runner struct {
	// ID is the name by which operators know it.
	ID      string
	Service string
	Zone    place.Zone
	Region  place.Region
	// Listed is set while the platform lists the runner, or its absence proves nothing.
	Listed bool
	// Draining is the runner's own word that it leaves, on the platform's list or in an answer.
	Draining bool
	// Resting is set while the runner wants nothing from this node, or no more at once. Its
	// reports need no slot, so it is asked questions all the same.
	Resting bool
	// Permit is set unless the runner is cold, or named a limit, and this node may send it nothing
	// now; Limited is set where that is for its limit.
	Permit  bool
	Limited bool
}

// Purpose is what is to go to a runner: a Request, a Question, a Load or an Unload.
type Purpose interface{ purpose() }

// Request is a client's request, sent for the first time or again, or its stream resumed.
type Request struct {
	Service string
	Homes   place.Homes
}

// Question asks a runner for its load before a request is sent there.
type Question struct{ Request }

// Load is a load of a model or an adapter, for requests that come or that are expected.
type Load struct {
	Service string
	// Homes are those of the requests that it is for.
	Homes place.Homes
}

// Unload is an unload of a model or an adapter. It frees room also where nothing new may go.
type Unload struct{ Service string }

func (Request) purpose()  {}
func (Question) purpose() {}
func (Load) purpose()     {}
func (Unload) purpose()   {}

// Rules is what operators decided about runners and zones.
type Rules interface {
	// Drained reports whether a planned stop of a runner or its zone is in force.
	Drained(runner, zone string) bool
	// ZoneOut reports whether a zone is taken out, so that nothing new may go there.
	ZoneOut(zone place.Zone) bool
}

// Check says whether something may go to a runner now.
func Check(rules Rules, runner *Runner, purpose Purpose) Reason {
	switch p := purpose.(type) {
	case Request:
		return checkRequest(rules, runner, p)
	case Question:
		// A question counts as nothing that a cold runner has to bear.
		asked := *runner
		asked.Permit, asked.Resting = true, false
		return checkRequest(rules, &asked, p.Request)
	case Load:
		if reason := check(rules, runner, p.Service); reason != Yes {
			return reason
		}
		if reason := checkHomes(runner, p.Homes); reason != Yes {
			return reason
		}
		return checkRest(runner)
	case Unload:
		return checkUnload(runner, p)
	default:
		return Gone
	}
}

// check looks at what binds everything new.
func check(rules Rules, runner *Runner, service string) Reason {
	switch {
	case runner.Service != service:
		return OtherService
	case !runner.Listed:
		return Gone
	case runner.Draining:
		return Draining
	case rules.Drained(runner.ID, string(runner.Zone)):
		return Drained
	case rules.ZoneOut(runner.Zone):
		return ZoneOut
	default:
		return Yes
	}
}

func checkRequest(rules Rules, runner *Runner, request Request) Reason {
	if reason := check(rules, runner, request.Service); reason != Yes {
		return reason
	}
	if reason := checkHomes(runner, request.Homes); reason != Yes {
		return reason
	}
	switch {
	case runner.Permit:
	case runner.Limited:
		return Limited
	default:
		return Cold
	}
	return checkRest(runner)
}

func checkRest(runner *Runner) Reason {
	if runner.Resting {
		return Resting
	}
	return Yes
}

func checkHomes(runner *Runner, homes place.Homes) Reason {
	if homes.Allows(runner.Region) {
		return Yes
	}
	return OutsideHomes
}

func checkUnload(runner *Runner, unload Unload) Reason {
	switch {
	case runner.Service != unload.Service:
		return OtherService
	case !runner.Listed:
		return Gone
	case runner.Draining:
		return Draining
	default:
		return checkRest(runner)
	}
}
