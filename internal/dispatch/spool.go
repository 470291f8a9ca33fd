package dispatch

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// spoolLimit bounds, in bytes, what is kept of one stream for a client that reads slowly;
	// beyond it nothing more is read from its runner.
	spoolLimit = 256 << 10
	// totalSpoolLimit bounds the same for all streams of a node together; beyond it each stream
	// waits for its client.
	totalSpoolLimit = 8 << 20
	// spoolDrainTimeout is how long a connected client may read nothing of an answer that has
	// ended, before it counts as gone.
	spoolDrainTimeout = 30 * time.Second
)

// spoolUsage is how many bytes the spools of a node keep.
type spoolUsage struct{ kept atomic.Int64 }

// spool buffers a stream for a client that may read more slowly than its runner writes. A runner
// cuts off an answer that is not read for some seconds; without a spool, a client that pauses for
// as long would lose its answer. One goroutine writes to the spool, another one to the client.
type spool struct {
	writer http.ResponseWriter
	usage  *spoolUsage

	mutex   sync.Mutex
	pending []byte
	ended   bool
	failed  bool
	// dataReady is signalled when there is something to write or the stream ended, spaceReady when
	// something was written; done is closed when nothing more is written.
	dataReady  chan struct{}
	spaceReady chan struct{}
	done       chan struct{}
}

// newSpool starts to forward a stream. close ends it.
func newSpool(writer http.ResponseWriter, usage *spoolUsage) *spool {
	s := &spool{writer: writer, usage: usage, dataReady: make(chan struct{}, 1), spaceReady: make(chan struct{}, 1), done: make(chan struct{})}
	go s.run()
	return s
}

// run writes to the client until the stream has ended or the client is gone.
func (s *spool) run() {
	defer close(s.done)
	for {
		content, ended := s.take()
		if len(content) > 0 {
			s.send(content)
			continue
		}
		if ended {
			return
		}
		<-s.dataReady
	}
}

// take returns what is to be written next.
func (s *spool) take() (content []byte, ended bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, s.pending = s.pending, nil
	return content, s.ended
}

// send writes to the client. Content counts as kept until its write returns.
func (s *spool) send(content []byte) {
	_, err := s.writer.Write(content)
	if flusher, ok := s.writer.(http.Flusher); ok && err == nil {
		flusher.Flush()
	}
	s.usage.kept.Add(-int64(len(content)))
	s.mutex.Lock()
	s.failed = s.failed || err != nil
	s.mutex.Unlock()
	notify(s.spaceReady)
}

// write forwards events. It waits while too much is kept for the client, at most until ctx ends:
// events that do not fit by then are dropped.
func (s *spool) write(ctx context.Context, events []byte) {
	for !s.tryAppend(events) {
		select {
		case <-ctx.Done():
			return
		case <-s.spaceReady:
		case <-s.done:
			return
		}
	}
	notify(s.dataReady)
}

// tryAppend keeps events; false when there is no room for them. Events larger than the whole room
// are kept if nothing else is.
func (s *spool) tryAppend(events []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed {
		return true
	}
	full := len(s.pending)+len(events) > spoolLimit || s.usage.kept.Load()+int64(len(events)) > totalSpoolLimit
	if full && len(s.pending) > 0 {
		return false
	}
	s.pending = append(s.pending, events...)
	s.usage.kept.Add(int64(len(events)))
	return true
}

// close waits until the client has read everything, or left, which ends clientCtx. A client that
// reads nothing for spoolDrainTimeout is given up. It reports whether everything was written.
func (s *spool) close(clientCtx context.Context) (written bool) {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	notify(s.dataReady)
	timer := time.NewTimer(spoolDrainTimeout)
	defer timer.Stop()
	for {
		select {
		case <-s.done:
			return s.allWritten()
		case <-s.spaceReady:
			timer.Reset(spoolDrainTimeout)
			continue
		case <-clientCtx.Done():
		case <-timer.C:
		}
		// Ends a blocked write at once.
		_ = http.NewResponseController(s.writer).SetWriteDeadline(time.Now())
		<-s.done
		return s.allWritten()
	}
}

// allWritten reports whether no write to the client has failed.
func (s *spool) allWritten() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return !s.failed
}

// notify wakes a goroutine that waits on the channel, or the next one that does.
func notify(ready chan<- struct{}) {
	select {
	case ready <- struct{}{}:
	default:
	}
}
