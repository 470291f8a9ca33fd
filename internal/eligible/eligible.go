// Package eligible decides whether something may be sent to a runner now. Every choice of a
// runner uses it: first attempts and retries of requests, resumed streams, queries for a
// runner's load, loads of models and adapters, unloads. The decision follows from what the
// runner stated, from what operators took out of service, and from the demands of the request
// or its tenant. It is a pure function, takes constant time and allocates nothing.
package eligible

import (
	"lilacvane/internal/place"
)

// Reason is why something may not be sent to a runner, or that it may.
type Reason uint8

// The reasons, in the order in which they are checked.
const (
	// Yes means that it may be sent.
	Yes Reason = iota
	// OtherService means that the runner belongs to another service.
	OtherService
	// Gone means that the runner left the platform's list.
	Gone
	// Draining means that the runner stated that it is leaving.
	Draining
	// Drained means that a planned stop by operators of lilacvane drains the runner.
	Drained
	// ZoneOut means that the runner's zone was taken out of service.
	ZoneOut
	// OutsideHomes means that the request may not be served in the runner's region.
	OutsideHomes
	// Cold means that the runner is cold and takes no more from this node now.
	Cold
	// Limited means that the runner stated a limit and takes no more from this node now.
	Limited
	// Resting means that the runner asked this node for a time without requests, or that it
	// has rested and takes no more at once.
	Resting
)

// String returns the reason as spelled in logs and explanations.
func (r Reason) String() string {
	return [...]string{"eligible", "other_service", "gone", "draining", "drained", "zone_out", "outside_homes", "cold", "limited", "resting"}[r]
}

// Runner holds what is known of a runner and decides whether something may be sent to it.
type Runner struct {
	// ID is the name by which operators know the runner.
	ID      string
	Service string
	Zone    place.Zone
	Region  place.Region
	// Listed is set while the platform lists the runner, or while its absence from the list
	// proves nothing.
	Listed bool
	// Draining is set if the runner stated that it is leaving, in the platform's list or in an
	// answer.
	Draining bool
	// Resting is set while the runner asks this node for a time without requests, or has rested
	// and takes no more at once. Load queries are still sent, as they need no slot.
	Resting bool
	// Permit is set if this node may send the runner a request now. It is unset only for a
	// runner that is cold or stated a limit; Limited is set if the reason is the limit.
	Permit  bool
	Limited bool
}

// Purpose is what is to be sent to a runner: a Request, a LoadQuery, a Load or an Unload.
type Purpose interface{ purpose() }

// Request is a client's request, sent for the first time or again, or its resumed stream.
type Request struct {
	Service string
	Homes   place.Homes
}

// LoadQuery is a load query: it asks a runner for its load before a request is sent there.
type LoadQuery struct{ Request }

// Load is a load of a model or an adapter, for current or expected requests.
type Load struct {
	Service string
	// Homes are those of the requests for which it is loaded.
	Homes place.Homes
}

// Unload is an unload of a model or an adapter. It frees memory also where nothing new may be
// sent.
type Unload struct{ Service string }

func (Request) purpose()   {}
func (LoadQuery) purpose() {}
func (Load) purpose()      {}
func (Unload) purpose()    {}

// Rules provides the decisions of operators about runners and zones.
type Rules interface {
	// Drained reports whether a planned stop of a runner or its zone is in force.
	Drained(runner, zone string) bool
	// ZoneOut reports whether a zone was taken out of service, so that nothing new may be sent
	// there.
	ZoneOut(zone place.Zone) bool
}

// Check returns whether something may be sent to a runner now, and if not, why.
func Check(rules Rules, runner *Runner, purpose Purpose) Reason {
	switch p := purpose.(type) {
	case Request:
		return checkRequest(rules, runner, p)
	case LoadQuery:
		// A load query adds no work for a cold or resting runner.
		asked := *runner
		asked.Permit, asked.Resting = true, false
		return checkRequest(rules, &asked, p.Request)
	case Load:
		if reason := checkCommon(rules, runner, p.Service); reason != Yes {
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

// checkCommon checks what applies to every purpose that adds work.
func checkCommon(rules Rules, runner *Runner, service string) Reason {
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
	if reason := checkCommon(rules, runner, request.Service); reason != Yes {
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
