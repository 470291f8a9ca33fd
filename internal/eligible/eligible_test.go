package eligible

import (
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"lilacvane/internal/place"
)

// rules implements Rules with fixed answers.
type rules struct {
	drained map[string]bool
	out     map[place.Zone]bool
}

func (r rules) Drained(runner, _ string) bool { return r.drained[runner] }

func (r rules) ZoneOut(zone place.Zone) bool { return r.out[zone] }

func TestCheck(t *testing.T) {
	healthy := Runner{ID: "r1", Service: "engines", Zone: "a", Region: "north", Listed: true, Permit: true}
	with := func(change func(*Runner)) Runner {
		runner := healthy
		change(&runner)
		return runner
	}
	north, south := place.NewHomes([]place.Region{"north"}), place.NewHomes([]place.Region{"south"})
	request := Request{Service: "engines"}
	out := rules{out: map[place.Zone]bool{"a": true}}
	drained := rules{drained: map[string]bool{"r1": true}}
	cold := with(func(r *Runner) { r.Permit = false })
	draining := with(func(r *Runner) { r.Draining = true })
	resting := with(func(r *Runner) { r.Resting = true })
	for _, test := range []struct {
		name    string
		rules   rules
		runner  Runner
		purpose Purpose
		want    Reason
	}{
		{"request", rules{}, healthy, request, Yes},
		{"request of another service", rules{}, healthy, Request{Service: "mail"}, OtherService},
		{"runner not listed", rules{}, with(func(r *Runner) { r.Listed = false }), request, Gone},
		{"draining runner", rules{}, draining, request, Draining},
		{"runner drained", drained, healthy, request, Drained},
		{"zone out", out, healthy, request, ZoneOut},
		{"load query in a zone out", out, healthy, LoadQuery{request}, ZoneOut},
		{"load in a zone out", out, healthy, Load{Service: "engines"}, ZoneOut},
		{"unload in a zone out", out, healthy, Unload{Service: "engines"}, Yes},
		{"unload at a drained runner", drained, healthy, Unload{Service: "engines"}, Yes},
		{"unload at a draining runner", rules{}, draining, Unload{Service: "engines"}, Draining},
		{"at home", rules{}, healthy, Request{Service: "engines", Homes: north}, Yes},
		{"outside homes", rules{}, healthy, Request{Service: "engines", Homes: south}, OutsideHomes},
		{"load query outside homes", rules{}, healthy, LoadQuery{Request{Service: "engines", Homes: south}}, OutsideHomes},
		{"load outside homes", rules{}, healthy, Load{Service: "engines", Homes: south}, OutsideHomes},
		{"cold", rules{}, cold, request, Cold},
		{"load query at a cold runner", rules{}, cold, LoadQuery{request}, Yes},
		{"load at a cold runner", rules{}, cold, Load{Service: "engines"}, Yes},
		{"request at a runner that rests", rules{}, resting, request, Resting},
		{"load query at a runner that rests", rules{}, resting, LoadQuery{request}, Yes},
		{"load at a runner that rests", rules{}, resting, Load{Service: "engines"}, Resting},
		{"unload at a runner that rests", rules{}, resting, Unload{Service: "engines"}, Resting},
		{"runner that rests and drains", rules{}, with(func(r *Runner) { r.Resting, r.Draining = true, true }), request, Draining},
	} {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, Check(test.rules, &test.runner, test.purpose).String(), test.want.String())
		})
	}
}

// BenchmarkCheck checks 10,000 runners in turn.
func BenchmarkCheck(b *testing.B) {
	runners := make([]Runner, 10_000)
	for i := range runners {
		runners[i] = Runner{ID: strconv.Itoa(i), Service: "engines", Zone: place.Zone(strconv.Itoa(i % 6)), Region: "north", Listed: true, Permit: true}
	}
	var inForce Rules = rules{out: map[place.Zone]bool{"2": true}}
	request := Request{Service: "engines", Homes: place.NewHomes([]place.Region{"north", "south"})}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		Check(inForce, &runners[i%len(runners)], request)
	}
}

func TestCheckAllocatesNothing(t *testing.T) {
	runner := Runner{ID: "r1", Service: "engines", Zone: "a", Region: "north", Listed: true, Permit: true}
	inForce := rules{}
	request := Request{Service: "engines", Homes: place.NewHomes([]place.Region{"south", "north"})}
	var asked Rules = inForce
	assert.Equal(t, testing.AllocsPerRun(100, func() { Check(asked, &runner, request) }), 0.0)
}
