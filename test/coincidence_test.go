package test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"lilacvane/internal/fault"
)

const (
	// deniedSlack and deniedShare are the platform's bound on proper requests that are denied: deniedSlack and
	// one in deniedShare of all.
	deniedSlack = 5
	deniedShare = 500
	// popularClients is how many clients ask for the same content at any time.
	popularClients = 12
	// servedAgainTime is how long after their runners are back requests must be served again.
	servedAgainTime = 4 * time.Second
)

// coincidence is a world in which runners crash for reasons of their own.
type coincidence struct {
	*partWorld
	// popular is the content that all clients ask for, and when and how each of its requests ended.
	mutex   sync.Mutex
	answers []timedAnswer
}

// timedAnswer is the answer to a request and when that was sent.
type timedAnswer struct {
	sent   time.Time
	answer clientAnswer
}

// ask sends the request to random nodes, one after the other, until ctx ends.
func (c *coincidence) ask(ctx context.Context, next func() clientRequest) {
	for ctx.Err() == nil {
		sent := time.Now()
		answer := send(ctx, c.nodes[rand.IntN(len(c.nodes))], next())
		if ctx.Err() != nil {
			return
		}
		c.mutex.Lock()
		c.answers = append(c.answers, timedAnswer{sent, answer})
		c.mutex.Unlock()
		if answer.Status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// counts returns how many requests that were sent after a time ended with each status.
func (c *coincidence) counts(after time.Time) (counts map[int]int, all int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	counts = make(map[int]int)
	for _, one := range c.answers {
		if one.sent.After(after) {
			counts[one.answer.Status]++
			all++
		}
	}
	return counts, all
}

// denied returns how many requests were denied as ones that crash runners.
func (c *coincidence) denied() (denied, all int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, one := range c.answers {
		if strings.Contains(one.answer.Body, string(fault.CodeCrashesRunners)) {
			denied++
		}
	}
	return denied, len(c.answers)
}

// crashAll crashes the runners at the same moment; they are back a moment later.
func (c *coincidence) crashAll(runners ...int) {
	var crashing sync.WaitGroup
	for _, number := range runners {
		crashing.Go(func() { c.world.CrashRunner(fmt.Sprintf("runner-%d", number)) })
	}
	crashing.Wait()
}

// TestPopularContentWasDeniedAfterOneCrashOfItsRunners: many clients ask for the same content. All runners that
// run it crash at once, for a reason of their own. It must be served again once they are back, and hardly
// any request may be denied.
func TestPopularContentWasDeniedAfterOneCrashOfItsRunners(t *testing.T) {
	t.Parallel()
	c := &coincidence{partWorld: startPartWorld(t, partTest{nodes: 4, runners: 4})}
	popular := c.request(0, nil)
	ctx, end := context.WithCancel(t.Context())
	defer end()
	var clients sync.WaitGroup
	for range popularClients {
		clients.Go(func() {
			c.ask(ctx, func() clientRequest {
				request := popular
				request.ID = newID()
				return request
			})
		})
	}
	time.Sleep(2 * time.Second)
	c.crashAll(1, 2, 3, 4)
	time.Sleep(propagationBound + servedAgainTime)
	settled := time.Now()
	time.Sleep(2 * time.Second)
	end()
	clients.Wait()
	denied, all := c.denied()
	late, asked := c.counts(settled)
	t.Logf("%d of %d requests denied; at the end %v", denied, all, late)
	assert.Check(t, denied <= deniedSlack+all/deniedShare, "%d of %d requests denied", denied, all)
	assert.Check(t, asked > 0 && 2*late[http.StatusOK] > asked, "at the end: %v", late)
}
