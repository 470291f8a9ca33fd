package test

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/command"
	"lilacvane/internal/commandline"
	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/runnerstub"
	"lilacvane/internal/lab/world"
	"lilacvane/internal/wire"
)

// A request crashed each runner that began to run it, and was sent again under other
// identifiers at other nodes. No node knew that two attempts were the same request, and a
// broken connection was attributed to the runner, so each attempt went to the next runner,
// and requests waiting for a model went to the first runner that came back. The logs showed
// "attempt failed ... attempt 1 ... interrupted: unexpected EOF" at five runners within 2.1
// s, each from another node, and 14 runners that crashed under one request in 12 s, beside
// 78 other requests, none of which was involved in two of these crashes.

const (
	// poisonText in a request or a model's name makes the emulated runner crash.
	poisonText = "ends-its-runner"
	// propagationBound is the platform's bound on the time until all nodes know what one of
	// them learned.
	propagationBound = 3 * time.Second
	// After maxCrashes crashes a request may not be sent on. It may still be sent
	// maxSendsAfterCrashes times once propagationBound has passed since the last of these
	// crashes.
	maxCrashes           = 3
	maxSendsAfterCrashes = 3
	codePoison           = fault.Code("crashes_runners")
	// poisonPause and harmlessPause are the times between requests.
	poisonPause   = 150 * time.Millisecond
	harmlessPause = 40 * time.Millisecond
	// harmlessTries is how often a client sends a harmless request.
	harmlessTries = 3
)

// TestRequestThatEndsRunnersIsNotSentOn: a request that crashes its runners is sent
// repeatedly to all nodes, together with harmless ones in the same batches. Runners are
// restarted under another identifier or under their own, and are reached directly or
// through a proxy that accepts connections for them while they are down.
func TestRequestThatEndsRunnersIsNotSentOn(t *testing.T) {
	t.Parallel()
	stream := clientRequest{Path: "/reply/x", Model: "alpha", Events: 30}
	for name, test := range map[string]poisonTest{
		"other identifier": {renamed: true, request: stream},
		"same identifier":  {proxied: true, request: stream},
		// The service holds no models, and its runners answer no questions of nodes. The
		// node itself sends the request to several runners.
		"safe": {renamed: true, request: clientRequest{Path: "/read/x"}},
		// Hardly any other requests are sent, so none shows that a runner is down.
		"once, alone": {renamed: true, request: clientRequest{Path: "/send/x"}, harmlessPause: time.Second},
		// There are enough other runners that no node uses a runner that crashed again
		// until it is back after some seconds.
		"once, seldom": {renamed: true, request: clientRequest{Path: "/send/x"}, harmlessPause: time.Second,
			mailers: 16, poisonPause: 400 * time.Millisecond, downtime: 8 * time.Second},
		// The same, after requests of all nodes have timed out at all of the runners.
		"once, after time-outs": {renamed: true, request: clientRequest{Path: "/send/x"}, harmlessPause: time.Second,
			mailers: 16, poisonPause: 400 * time.Millisecond, downtime: 8 * time.Second, timeOuts: true},
		// The node that counts crashes for all nodes is frozen from before the first crash.
		"holder still": {renamed: true, request: stream, holderFrozen: true},
	} {
		// Not in parallel, as all cases together would start more than a hundred processes.
		t.Run(name, func(t *testing.T) { runPoisonTest(t, test) })
	}
}

// poisonTest describes a request that crashes runners, and its world.
type poisonTest struct {
	request clientRequest
	// renamed is set if runners are restarted under another identifier, proxied if they are
	// reached through a proxy, proxiedNodes if only nodes and the store are.
	renamed, proxied, proxiedNodes bool
	// harmlessPause is the time between harmless requests; the constant harmlessPause if
	// not set.
	harmlessPause time.Duration
	// nodes is the number of nodes, mailers that of runners without models, downtime how long runners are down
	// after a crash, poisonPause the time between requests that crash them. Each has a
	// default.
	nodes, mailers        int
	downtime, poisonPause time.Duration
	// timeOuts makes requests time out at all runners without models first.
	timeOuts bool
	// holderFrozen freezes the holder of the control lease during the test.
	holderFrozen bool
}

// poisonWorld is a world in which one request crashes the runners that run it.
type poisonWorld struct {
	world *world.World
	nodes []*world.Node
	poisonTest

	mutex sync.Mutex
	// harmlessAnswers counts the answers to harmless requests, by status or code.
	harmlessAnswers map[string]int
}

func runPoisonTest(t *testing.T, test poisonTest) {
	t.Helper()
	p := startPoisonWorld(t, test)
	if test.timeOuts {
		p.timeOut(t)
	}
	if test.holderFrozen {
		holder := leaseHolder(t, p.world, p.nodes[0])
		assert.NilError(t, holder.Freeze())
		p.nodes = slices.DeleteFunc(p.nodes, func(node *world.Node) bool { return node == holder })
	}
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	senders.Go(func() { p.sendPoison(ctx) })
	senders.Go(func() { p.sendHarmless(ctx) })
	var third time.Time
	waitUntil(t, "the request crashed its runners", func() error {
		crashes := eventTimes(readHistory(t, p.world), journal.EventCrash)
		if len(crashes) < maxCrashes {
			return fmt.Errorf("%d crashed", len(crashes))
		}
		third = crashes[maxCrashes-1]
		return nil
	})
	// Attempts continue for twice as long as nodes may take to learn of the third crash.
	time.Sleep(time.Until(third.Add(2 * propagationBound)))
	end()
	senders.Wait()
	late := 0
	for _, at := range eventTimes(readHistory(t, p.world), journal.EventPoison) {
		if at.Sub(third) > propagationBound {
			late++
		}
	}
	crashes := eventTimes(readHistory(t, p.world), journal.EventCrash)
	t.Logf("%d runners crashed, %d sends after the bound; refused at nodes %v after the third crash; harmless requests: %v",
		len(crashes), late, p.refusedAfter(t, third), p.harmlessAnswers)
	assert.Assert(t, late <= maxSendsAfterCrashes, "sent %d more times, %d runners crashed", late, len(crashes))
	p.checkAnswers(t)
}

func startPoisonWorld(t *testing.T, test poisonTest) *poisonWorld {
	t.Helper()
	const runners, nodes = 5, 4
	w := newWorld(t, func(o *world.Options) {
		o.Proxied, o.DirectRunners = test.proxied || test.proxiedNodes, test.proxiedNodes
	})
	p := &poisonWorld{world: w, poisonTest: test, harmlessAnswers: make(map[string]int)}
	p.harmlessPause = cmp.Or(p.harmlessPause, harmlessPause)
	p.poisonPause = cmp.Or(p.poisonPause, poisonPause)
	restart := world.RestartPolicy{After: cmp.Or(test.downtime, time.Second), Renamed: test.renamed}
	for index := range runners {
		options := engineOptions(w, fmt.Sprintf("runner-%d", index+1), zones[index%len(zones)])
		options.CrashBy, options.CrashByParts, options.Restart = poisonText, partGuilty, restart
		_, err := w.StartRunner(options)
		assert.NilError(t, err)
	}
	for index := range cmp.Or(test.mailers, runners) {
		options := mailerOptions(fmt.Sprintf("mailer-%d", index+1), zones[index%len(zones)])
		options.CrashBy, options.Restart = poisonText, restart
		_, err := w.StartRunner(options)
		assert.NilError(t, err)
	}
	p.nodes = startNodes(t, w, cmp.Or(test.nodes, nodes))
	apply(t, p.nodes[0], append(model("alpha", runners), readyPolicy("alpha", runners))...)
	waitKnown(t, "alpha", p.nodes...)
	waitUntil(t, "all runners hold the model", func() error {
		if got := len(runnersHolding(t, p.nodes[0], "alpha")); got != runners {
			return fmt.Errorf("%d hold it", got)
		}
		return nil
	})
	return p
}

// timeOut makes requests of each node time out at the runners without models.
func (p *poisonWorld) timeOut(t *testing.T) {
	t.Helper()
	for _, faults := range []runnerstub.Faults{{MuteShare: 1}, {}} {
		for index := range p.mailers {
			assert.NilError(t, p.world.SetRunnerFaults(fmt.Sprintf("mailer-%d", index+1), faults))
		}
		if faults.MuteShare == 0 {
			return
		}
		var requests []clientRequest
		for range 3 * p.mailers * len(p.nodes) {
			requests = append(requests, clientRequest{Path: p.request.Path, Method: http.MethodPost, Body: []byte(newID()), Deadline: time.Second})
		}
		sendAll(t, p.nodes, requests)
	}
}

// sendPoison sends the request that crashes runners until ctx ends, without waiting for
// answers.
func (p *poisonWorld) sendPoison(ctx context.Context) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		tries.Go(func() { p.tryPoison(ctx, p.nodes[number%len(p.nodes)]) })
		time.Sleep(p.poisonPause)
	}
}

func (p *poisonWorld) tryPoison(ctx context.Context, node *world.Node) clientAnswer {
	return send(ctx, node, p.poison("please"))
}

// poison returns a request that crashes runners. Its content begins with word, so that
// requests with different words count separately.
func (p *poisonWorld) poison(word string) clientRequest {
	request := p.request
	request.ID, request.Method, request.Body, request.Deadline = newID(), http.MethodPost, []byte(word+" "+poisonText), 4*time.Second
	return request
}

// sendHarmless sends other requests of the same kind until ctx ends. Their clients retry
// with the same content if they are not served.
func (p *poisonWorld) sendHarmless(ctx context.Context) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		tries.Go(func() {
			for try := range harmlessTries {
				if p.tryHarmless(ctx, number, p.nodes[(number+try)%len(p.nodes)]) {
					return
				}
				time.Sleep(poisonPause)
			}
		})
		time.Sleep(p.harmlessPause)
	}
}

// tryHarmless sends a harmless request and reports whether it was served.
func (p *poisonWorld) tryHarmless(ctx context.Context, number int, node *world.Node) bool {
	request := p.request
	request.Method, request.Body, request.Deadline = http.MethodPost, []byte("innocent "+strconv.Itoa(number)), 4*time.Second
	got := send(ctx, node, request)
	what := strconv.Itoa(got.Status)
	if code := errorCode(got); code == codePoison || code == fault.CodeCrashSuspected {
		what = string(code)
	}
	if ctx.Err() != nil {
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.harmlessAnswers[what]++
	return got.Status == http.StatusOK && got.Complete
}

// refusedAfter returns how long after an instant each node first refused the request,
// according to its log.
func (p *poisonWorld) refusedAfter(t *testing.T, instant time.Time) []time.Duration {
	t.Helper()
	var times []time.Duration
	for _, node := range p.nodes {
		for line := range strings.Lines(readFile(t, p.world.LogPath(node))) {
			var entry struct {
				Time time.Time
				Msg  string
			}
			if json.Unmarshal([]byte(line), &entry) == nil && entry.Msg == "request refused as runners end under it" {
				times = append(times, entry.Time.Sub(instant).Round(time.Millisecond))
				break
			}
		}
	}
	return times
}

// checkAnswers checks that no harmless request was refused as one that crashes runners,
// that the request that does gets a final answer at each node and does not run any more,
// and that others are served.
func (p *poisonWorld) checkAnswers(t *testing.T) {
	t.Helper()
	assert.Equal(t, p.harmlessAnswers[string(codePoison)]+p.harmlessAnswers[string(fault.CodeCrashSuspected)], 0, "%v", p.harmlessAnswers)
	before := len(eventTimes(readHistory(t, p.world), journal.EventPoison))
	for _, node := range p.nodes {
		got := p.tryPoison(t.Context(), node)
		assert.Equal(t, got.Status, http.StatusBadRequest, "%+v", got)
		assert.Equal(t, errorCode(got), codePoison, "%+v", got)
		waitUntil(t, "harmless requests are served", func() error {
			if !p.tryHarmless(t.Context(), int(time.Now().UnixNano()), node) {
				return fmt.Errorf("%v", p.harmlessAnswers)
			}
			return nil
		})
	}
	assert.Equal(t, len(eventTimes(readHistory(t, p.world), journal.EventPoison)), before)
}

// waitRefusedAtAllNodes waits until each node refuses the request for good, and returns how
// often it has reached runners by then.
func (p *poisonWorld) waitRefusedAtAllNodes(t *testing.T) int {
	t.Helper()
	for _, node := range p.nodes {
		waitUntil(t, "the request is refused at "+node.Name, func() error {
			if got := p.tryPoison(t.Context(), node); errorCode(got) != codePoison {
				return fmt.Errorf("%d %s", got.Status, got.Body)
			}
			return nil
		})
	}
	return len(eventTimes(readHistory(t, p.world), journal.EventPoison))
}

// TestRefusedRequestIsKnownAfterNodesEnded: nodes that are restarted one by one, or that
// were all killed at once, still refuse what was refused before. Operators can see the
// request and the reason, and can allow it to run again.
func TestRefusedRequestIsKnownAfterNodesEnded(t *testing.T) {
	t.Parallel()
	p := startPoisonWorld(t, poisonTest{renamed: true, request: clientRequest{Path: "/read/x"}})
	reached := p.waitRefusedAtAllNodes(t)
	for _, node := range p.nodes {
		assert.NilError(t, node.Terminate())
		assert.NilError(t, node.Wait(stopGrace))
		assert.NilError(t, p.world.RestartNode(node))
	}
	assert.Equal(t, p.waitRefusedAtAllNodes(t), reached, "after nodes were stopped in turn")
	for _, node := range p.nodes {
		node.Kill()
	}
	for _, node := range p.nodes {
		assert.NilError(t, p.world.RestartNode(node))
	}
	assert.Equal(t, p.waitRefusedAtAllNodes(t), reached, "after all nodes were killed")

	expect := newCommandCheck(t, p.nodes[1])
	var listed []wire.PoisonStatus
	assert.NilError(t, json.Unmarshal([]byte(expect(commandline.ExitOK, wire.PoisonRefused, "quarantine", "list", "-o", "json")), &listed))
	assert.Equal(t, len(listed), 1)
	assert.Assert(t, len(listed[0].Runners) >= maxCrashes, "%+v", listed)
	short := listed[0].Request[:16]
	got := p.tryPoison(t.Context(), p.nodes[0])
	expect(commandline.ExitOK, short, "explain", "request", got.ID)
	expect(commandline.ExitOK, listed[0].Runners[0], "explain", "content", short)
	expect(command.ExitNotFound, "lift quarantine", "quarantine", "lift", "0123")
	expect(commandline.ExitOK, "may run again", "quarantine", "lift", short)
	waitUntil(t, "the request runs again at another node", func() error {
		if got := p.tryPoison(t.Context(), p.nodes[2]); errorCode(got) != "" && errorCode(got) == codePoison {
			return fmt.Errorf("%+v", got)
		}
		return nil
	})
	assert.Assert(t, len(eventTimes(readHistory(t, p.world), journal.EventPoison)) > reached)
}

var errNoNodeRefuses = errors.New("not yet")

// errorCode returns the code of an error answer, or "" for other answers.
func errorCode(got clientAnswer) fault.Code {
	var body fault.Body
	if json.Unmarshal([]byte(got.Body), &body) != nil {
		return ""
	}
	return body.Error.Code
}

// eventTimes returns when an event happened at any runner, in order.
func eventTimes(h history, event journal.Event) []time.Time {
	var times []time.Time
	for _, record := range h.records {
		if record.Event == event {
			times = append(times, record.Time)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	return times
}
