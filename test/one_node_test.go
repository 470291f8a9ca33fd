package test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/lab/world"
)

// leastOneNodeShare is the least share of requests served at the first attempt of those that a node has
// read, while most new connections go to one node, relative to that before.
const leastOneNodeShare = 0.75

// oneNodeTest is a world whose clients open a connection for each request.
type oneNodeTest struct {
	nodes []*world.Node

	mutex   sync.Mutex
	answers []oneNodeAnswer
}

// oneNodeAnswer is an answer to a first attempt. One without a status was not read.
type oneNodeAnswer struct {
	sent   time.Time
	answer clientAnswer
}

// send sends requests, each on its own connection, to the nodes that pick returns, until ctx ends.
func (o *oneNodeTest) send(ctx context.Context, pause time.Duration, pick func(number int) *world.Node) {
	var tries sync.WaitGroup
	defer tries.Wait()
	for number := 0; ctx.Err() == nil; number++ {
		node, request := pick(number), mixedRequest(number)
		tries.Go(func() {
			sent := time.Now()
			answer := send(context.WithoutCancel(ctx), node, request)
			o.mutex.Lock()
			defer o.mutex.Unlock()
			o.answers = append(o.answers, oneNodeAnswer{sent: sent, answer: answer})
		})
		time.Sleep(pause)
	}
}

// share returns the share served of the requests that were read, of those sent between two times.
func (o *oneNodeTest) share(from, to time.Time) (share float64, read int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	served := 0
	for _, one := range o.answers {
		if one.sent.Before(from) || !one.sent.Before(to) || one.answer.Status == 0 {
			continue
		}
		read++
		if one.answer.Status == http.StatusOK && one.answer.Complete {
			served++
		}
	}
	return float64(served) / float64(max(read, 1)), read
}

// TestMostNewConnectionsGoToOneNode: all new connections go to one node, four times as many as before,
// and then to another one while the first stops. Of the requests that they read, the nodes serve three
// quarters as many at the first attempt as before.
func TestMostNewConnectionsGoToOneNode(t *testing.T) {
	t.Parallel()
	for _, nodes := range []int{3, 7} {
		t.Run(fmt.Sprintf("%d nodes", nodes), func(t *testing.T) {
			w := newWorld(t, nil)
			startRunners(t, w, 4)
			startMailers(t, w, 4)
			o := &oneNodeTest{nodes: startNodes(t, w, nodes)}
			apply(t, o.nodes[0], append(model("alpha", 4), readyPolicy("alpha", 4))...)
			waitKnown(t, "alpha", o.nodes...)
			waitUntil(t, "all runners hold the model", func() error {
				if got := len(runnersHolding(t, o.nodes[0], "alpha")); got < 4 {
					return fmt.Errorf("%d hold it", got)
				}
				return nil
			})
			const pause = 48 * time.Millisecond
			phase := func(length, pause time.Duration, pick func(int) *world.Node) (from time.Time) {
				ctx, end := context.WithTimeout(t.Context(), length)
				defer end()
				from = time.Now()
				o.send(ctx, pause, pick)
				return from
			}
			before := phase(3*time.Second, pause, func(number int) *world.Node { return o.nodes[number%nodes] })
			first := phase(contactTime+2*time.Second, pause/4, func(int) *world.Node { return o.nodes[0] })
			assert.NilError(t, o.nodes[0].Terminate())
			second := phase(contactTime+2*time.Second, pause/4, func(int) *world.Node { return o.nodes[1] })
			base, _ := o.share(before, first)
			for name, from := range map[string]time.Time{"one node": first, "the next one while the first stops": second} {
				share, read := o.share(from.Add(contactTime), from.Add(contactTime+2*time.Second))
				t.Logf("%d nodes, %s: %.2f of %d that were read are served, %.2f before", nodes, name, share, read, base)
				assert.Check(t, read > 0 && share >= leastOneNodeShare*base, "%s: %.2f of %d", name, share, read)
			}
			assert.NilError(t, o.nodes[0].Wait(stopGrace+answerMargin))
		})
	}
}
