package test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
	"lilacvane/internal/lab/journal"
	"lilacvane/internal/lab/storestub"
	"lilacvane/internal/lab/world"
)

const (
	// maxPartCrashes is how many runners may crash under requests with one part before the time starts
	// from which it may reach runners maxSendsAfterCrashes times.
	maxPartCrashes = 5
	// leastSoundPart is the least share of sound requests with the same first part that are served at
	// the first attempt, relative to that before.
	leastSoundPart = 0.5
	// partSharedFirst and partGuilty are the parts of requests that crash runners.
	partSharedFirst = "f1"
	partGuilty      = "bad1"
	partGuiltyToo   = "bad2"
)

// partTest describes requests with a part that crashes runners, and their world.
type partTest struct {
	nodes, runners int
	// guilty returns the parts of the request with that number that crashes runners.
	guilty func(number int) []string
	// pause is the time between such requests, soundPause that between sound ones, soundDelay how long
	// sound ones are sent before.
	pause, soundPause time.Duration
	// keys are the callers' keys, in turn; empty for none.
	keys []string
	// store is a fault of the store during the test, killed is set if the nodes that count crashes are
	// killed after the second one, ends if runners end for other reasons.
	store  storestub.Faults
	killed bool
	ends   bool
}

// partWorld is a world in which requests with a part of their prompts crash runners.
type partWorld struct {
	partTest
	world *world.World
	nodes []*world.Node

	mutex sync.Mutex
	// guiltyIDs are the requests that crash runners; sound are the others.
	guiltyIDs map[string]bool
	sound     []soundAnswer
}

// soundAnswer is the answer to a request without a part that crashes runners.
type soundAnswer struct {
	sent   time.Time
	first  string
	answer clientAnswer
}

// startPartWorld starts a partWorld whose runners all hold the model.
func startPartWorld(t *testing.T, test partTest) *partWorld {
	t.Helper()
	w := &partWorld{partTest: test, guiltyIDs: make(map[string]bool)}
	w.world = newWorld(t, func(o *world.Options) { o.DirectRunners = true })
	for number := range test.runners {
		options := engineOptions(w.world, fmt.Sprintf("runner-%d", number+1), zones[number%len(zones)])
		options.CrashByParts = partGuilty + "," + partGuiltyToo
		options.Restart = world.RestartPolicy{After: 1500 * time.Millisecond, Renamed: true}
		_, err := w.world.StartRunner(options)
		assert.NilError(t, err)
	}
	w.nodes = startNodes(t, w.world, test.nodes)
	apply(t, w.nodes[0], append(model("alpha", test.runners), readyPolicy("alpha", test.runners))...)
	waitKnown(t, "alpha", w.nodes...)
	waitUntil(t, "all runners hold the model", func() error {
		if got := len(runnersHolding(t, w.nodes[0], "alpha")); got < test.runners {
			return fmt.Errorf("%d hold it", got)
		}
		return nil
	})
	return w
}

// request returns a stream's request with these parts before its own.
func (w *partWorld) request(number int, parts []string) clientRequest {
	c := clientRequest{ID: newID(), Method: http.MethodPost, Path: "/reply/x", Model: "alpha", Events: 15, Deadline: 4 * time.Second, Parts: parts, Body: []byte(newID())}
	if len(w.keys) > 0 {
		c.Key = w.keys[number%len(w.keys)]
	}
	return c
}

// sendGuilty sends requests that crash runners to the nodes in turn until ctx ends.
func (w *partWorld) sendGuilty(ctx context.Context) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		request := w.request(number, w.guilty(number))
		node := w.nodes[number%len(w.nodes)]
		w.mutex.Lock()
		w.guiltyIDs[request.ID] = true
		w.mutex.Unlock()
		tries.Go(func() { send(ctx, node, request) })
		time.Sleep(w.pause)
	}
}

// sendSound sends sound requests that share the first part, or another one, until ctx ends.
func (w *partWorld) sendSound(ctx context.Context) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		first := []string{partSharedFirst, "f2", "f3"}[number%3]
		request := w.request(number, []string{first, fmt.Sprintf("c%d", rand.IntN(30))})
		node := w.nodes[rand.IntN(len(w.nodes))]
		tries.Go(func() {
			sent := time.Now()
			answer := send(ctx, node, request)
			if ctx.Err() != nil {
				return
			}
			w.mutex.Lock()
			defer w.mutex.Unlock()
			w.sound = append(w.sound, soundAnswer{sent: sent, first: first, answer: answer})
		})
		time.Sleep(w.soundPause)
	}
}

// crashes returns when runners crashed under requests.
func (w *partWorld) crashes(t *testing.T) []time.Time {
	t.Helper()
	return eventTimes(readHistory(t, w.world), journal.EventCrash)
}

// share returns the share of sound requests with the shared first part, sent between two times, that
// were served, and how many there are.
func (w *partWorld) share(from, to time.Time) (share float64, count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	served := 0
	for _, sound := range w.sound {
		if sound.first != partSharedFirst || sound.sent.Before(from) || !sound.sent.Before(to) {
			continue
		}
		count++
		if sound.answer.Status == http.StatusOK && sound.answer.Complete {
			served++
		}
	}
	return float64(served) / float64(max(count, 1)), count
}

// refusals counts the sound requests sent since a time that were refused as ones that crash runners.
func (w *partWorld) refusals(since time.Time) map[fault.Code]int {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	counts := make(map[fault.Code]int)
	for _, sound := range w.sound {
		for _, code := range []fault.Code{codePoison, fault.CodeCrashSuspected} {
			if sound.sent.After(since) && strings.Contains(sound.answer.Body, string(code)) {
				counts[code]++
			}
		}
	}
	return counts
}

// errFewCrashes says that too few runners have crashed yet.
var errFewCrashes = errors.New("few runners have crashed yet")

func runPartTest(t *testing.T, test partTest) {
	t.Helper()
	w := startPartWorld(t, test)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var senders sync.WaitGroup
	begin := time.Now()
	senders.Go(func() { w.sendSound(ctx) })
	time.Sleep(2 * time.Second)
	guiltyFrom := time.Now()
	if test.store.Down != "" {
		assert.NilError(t, w.world.SetStoreFaults(test.store))
	}
	senders.Go(func() { w.sendGuilty(ctx) })
	if test.ends {
		senders.Go(func() { w.endRunners(ctx) })
	}
	if test.killed {
		w.killCounters(t)
	}
	// The requests go on for longer than any bound after the last crash that counts.
	fifth, last := time.Time{}, time.Now()
	waitUntil(t, "no runner crashes any more, or five did some time ago", func() error {
		crashes := w.crashes(t)
		if len(crashes) >= maxPartCrashes {
			fifth = crashes[maxPartCrashes-1]
		}
		if len(crashes) > 0 {
			last = crashes[min(len(crashes), maxPartCrashes)-1]
		}
		if len(crashes) < 2 || time.Since(last) < 3*propagationBound {
			return errFewCrashes
		}
		return nil
	})
	end()
	senders.Wait()
	w.check(t, begin, guiltyFrom, fifth, last)
}

// check checks the bound on what reaches runners, and that sound requests are served.
func (w *partWorld) check(t *testing.T, begin, guiltyFrom, fifth, last time.Time) {
	t.Helper()
	late, afterSpread := 0, 0
	for _, record := range readHistory(t, w.world).records {
		if record.Event != journal.EventPoison || !w.guiltyIDs[record.Request] {
			continue
		}
		if !fifth.IsZero() && record.Time.Sub(fifth) > propagationBound {
			late++
		}
		if record.Time.Sub(last) > spreadBound {
			afterSpread++
		}
	}
	before, countBefore := w.share(begin, guiltyFrom)
	after, countAfter := w.share(last.Add(2*propagationBound), time.Now())
	t.Logf("%d runners crashed; %d sends after the bound, %d later than %s after the last crash that counts; sound: %.2f of %d before, %.2f of %d after; refused: %v",
		len(w.crashes(t)), late, afterSpread, spreadBound, before, countBefore, after, countAfter, w.refusals(begin))
	assert.Check(t, late <= maxSendsAfterCrashes, "%d requests with the part reached runners", late)
	if countAfter >= 20 && countBefore >= 20 {
		assert.Check(t, after >= leastSoundPart*before, "%.2f of sound requests with the same first part are served, %.2f before", after, before)
		assert.Check(t, len(w.refusals(last.Add(2*propagationBound))) == 0, "sound requests are refused: %v", w.refusals(last.Add(2*propagationBound)))
	}
}

// endRunners ends runners for other reasons until ctx ends.
func (w *partWorld) endRunners(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(700 * time.Millisecond)
		w.world.CrashRunner(fmt.Sprintf("runner-%d", 1+rand.IntN(w.runners)))
	}
}

// killCounters kills the lease holder and three further nodes after the second crash, and starts them
// again.
func (w *partWorld) killCounters(t *testing.T) {
	t.Helper()
	holder := leaseHolder(t, w.world, w.nodes[0])
	waitUntil(t, "two runners crashed", func() error {
		if len(w.crashes(t)) < 2 {
			return errFewCrashes
		}
		return nil
	})
	killed := []*world.Node{holder}
	for _, node := range w.nodes {
		if node != holder && len(killed) < 4 {
			killed = append(killed, node)
		}
	}
	for _, node := range killed {
		node.Kill()
	}
	for _, node := range killed {
		assert.NilError(t, w.world.RestartNode(node))
	}
}

// always returns the same parts for each request that crashes runners.
func always(parts ...string) func(int) []string { return func(int) []string { return parts } }

// basicPartTest is a world whose requests that crash runners share their second part.
var basicPartTest = partTest{nodes: 7, runners: 12, guilty: always(partSharedFirst, partGuilty), pause: 150 * time.Millisecond, soundPause: 20 * time.Millisecond}

// with returns a changed test.
func (test partTest) with(change func(test *partTest)) partTest {
	change(&test)
	return test
}

// runPartTests runs tests one after the other, as each starts some twenty processes.
func runPartTests(t *testing.T, tests map[string]partTest) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) { runPartTest(t, test) })
	}
}

// TestRequestsWithAPartThatCrashesRunnersWereSentOn: requests that share a part of their prompts crash each
// runner that begins to answer one, and no two are alike. Each counted by itself, and any number of
// runners crashed.
func TestRequestsWithAPartThatCrashesRunnersWereSentOn(t *testing.T) {
	t.Parallel()
	runPartTests(t, map[string]partTest{
		"second part": basicPartTest,
		"first part":  basicPartTest.with(func(test *partTest) { test.guilty = always(partGuilty, "c1") }),
		"third part": basicPartTest.with(func(test *partTest) {
			test.guilty = func(number int) []string { return []string{partSharedFirst, fmt.Sprintf("c%d", number%30), partGuilty} }
		}),
		"at any place": basicPartTest.with(func(test *partTest) {
			test.guilty = func(number int) []string {
				parts := []string{[]string{partSharedFirst, "f2", "f3"}[number%3], fmt.Sprintf("c%d", number%30)}
				return slices.Insert(parts, number%3, partGuilty)
			}
		}),
	})
}

// TestPartThatCrashesRunnersWasNotFoundAmongOthers: the same where little tells the part from others: two at
// once, several callers, hardly any sound requests, many requests at once.
func TestPartThatCrashesRunnersWasNotFoundAmongOthers(t *testing.T) {
	t.Parallel()
	runPartTests(t, map[string]partTest{
		"two at once": basicPartTest.with(func(test *partTest) {
			test.guilty = func(number int) []string {
				return []string{partSharedFirst, []string{partGuilty, partGuiltyToo}[number%2]}
			}
		}),
		"several callers":       basicPartTest.with(func(test *partTest) { test.keys = []string{"k1", "k2", "k3", "k4"} }),
		"hardly any sound ones": basicPartTest.with(func(test *partTest) { test.soundPause = 2 * time.Second }),
		"many at once":          basicPartTest.with(func(test *partTest) { test.pause, test.runners = 15*time.Millisecond, 24 }),
	})
}

// TestPartThatCrashesRunnersWasSentOnBesideFaults: the same while the store is down, the nodes that count are
// killed, or runners end for other reasons. Runners that start while the store is down are not listed.
func TestPartThatCrashesRunnersWasSentOnBesideFaults(t *testing.T) {
	t.Parallel()
	runPartTests(t, map[string]partTest{
		"store busy":      basicPartTest.with(func(test *partTest) { test.store, test.runners = storestub.Faults{Down: storestub.Busy}, 24 }),
		"store silent":    basicPartTest.with(func(test *partTest) { test.store, test.runners = storestub.Faults{Down: storestub.Silent}, 24 }),
		"counters killed": basicPartTest.with(func(test *partTest) { test.killed = true }),
		"other ends":      basicPartTest.with(func(test *partTest) { test.ends = true }),
	})
}
