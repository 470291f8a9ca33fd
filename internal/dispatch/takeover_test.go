package dispatch

import (
	"context"
	"net"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// blockSecondConnections makes each connection to an address after the first wait until its context ends.
func blockSecondConnections(j *job) {
	var mutex sync.Mutex
	known := make(map[string]bool)
	dial := j.dispatcher.Pool.Dial
	j.dispatcher.Pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		mutex.Lock()
		again := known[address]
		known[address] = true
		mutex.Unlock()
		if again {
			<-ctx.Done()
			return nil, context.Cause(ctx)
		}
		return dial(ctx, network, address)
	}
}

// TestTakeoverCutOffTheCheckOfAnAnswer: the first runner crashed in the middle of an answer without framing, and
// another one answered while the first was looked for, which ended the check. The part was passed on.
func TestTakeoverCutOffTheCheckOfAnAnswer(t *testing.T) {
	t.Parallel()
	j, written := hedgedJob(t, ends("", "part"), answers("second"))
	blockSecondConnections(j)
	for j.attempt(t.Context()) {
	}
	assert.Equal(t, written.Body.String(), "second")
}
