package dispatch

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// slowClient is a writer to a client that reads nothing until read is closed.
type slowClient struct {
	*httptest.ResponseRecorder
	read chan struct{}
	left chan struct{}
	once sync.Once
}

func newSlowClient() *slowClient {
	return &slowClient{ResponseRecorder: httptest.NewRecorder(), read: make(chan struct{}), left: make(chan struct{})}
}

func (c *slowClient) Write(content []byte) (int, error) {
	select {
	case <-c.read:
		return c.ResponseRecorder.Write(content)
	case <-c.left:
		return 0, errors.New("gone")
	}
}

func (c *slowClient) SetWriteDeadline(time.Time) error {
	c.once.Do(func() { close(c.left) })
	return nil
}

var _ http.ResponseWriter = (*slowClient)(nil)

// TestSlowClientDoesNotHoldUpItsRunner checks that a runner's answer is read on while its client
// reads nothing, and that the client gets all of it once it reads.
func TestSlowClientDoesNotHoldUpItsRunner(t *testing.T) {
	client, all := newSlowClient(), &spoolUsage{}
	s := newSpool(client, all)
	for range 100 {
		s.write(t.Context(), []byte("data: word\n\n"))
	}
	close(client.read)
	s.close(t.Context())
	assert.Equal(t, client.Body.Len(), 100*len("data: word\n\n"))
	assert.Equal(t, all.kept.Load(), int64(0))
}

// TestSpoolIsBounded checks that what is kept for clients that read nothing is bounded, for each
// stream and for all together, and that nothing is kept of a stream whose client left.
func TestSpoolIsBounded(t *testing.T) {
	all := &spoolUsage{}
	events := make([]byte, 8<<10)
	ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
	defer cancel()
	var writing sync.WaitGroup
	var streams []*spool
	for range 3 * totalSpoolLimit / spoolLimit {
		s := newSpool(newSlowClient(), all)
		streams = append(streams, s)
		writing.Go(func() {
			for ctx.Err() == nil {
				s.write(ctx, events)
			}
		})
	}
	writing.Wait()
	for _, s := range streams {
		s.mutex.Lock()
		assert.Check(t, len(s.pending) <= spoolLimit)
		s.mutex.Unlock()
	}
	kept, most := all.kept.Load(), int64(totalSpoolLimit+2*len(streams)*len(events))
	assert.Assert(t, kept > totalSpoolLimit/2 && kept <= most, "%d bytes are kept, %d at most", kept, most)
	gone, leave := context.WithCancel(t.Context())
	leave()
	for _, s := range streams {
		s.close(gone)
	}
	assert.Equal(t, all.kept.Load(), int64(0))
}

// TestStalledClientIsGivenUp checks that an answer that has ended does not occupy its node for
// ever.
func TestStalledClientIsGivenUp(t *testing.T) {
	client := newSlowClient()
	s := newSpool(client, &spoolUsage{})
	s.write(t.Context(), []byte("data: word\n\n"))
	_ = client.SetWriteDeadline(time.Time{})
	s.close(t.Context())
	s.write(t.Context(), []byte("data: more\n\n"))
	assert.Equal(t, client.Body.Len(), 0)
}

// TestAnswerThatItsClientDidNotReadCountedAsServed: a stream that its runner completed, and of which the client had not read all
// when its connection ended, was not served.
func TestAnswerThatItsClientDidNotReadCountedAsServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		j := zonedJob(zonesOut{})
		j.stream = &clientStream{spool: newSpool(newSlowClient(), &spoolUsage{}), forwarded: 1, forwardedAt: time.Now()}
		j.stream.spool.write(t.Context(), []byte("data: word\n\n"))
		j.outcome.Result = ResultServed
		ctx, end := context.WithCancel(t.Context())
		time.AfterFunc(time.Second, end)
		j.closeStream(ctx)
		assert.Equal(t, j.finish().Result, ResultCanceled)
	})
}
