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
	// beyond it nothing more is read of its runner.
	spoolLimit = 256 << 10
	// spoolsLimit bounds the same of all streams of a node; beyond it each waits for its client.
	spoolsLimit = 8 << 20
	// spoolPatience is how long a client that is still there may read nothing of an answer that
	// has ended, before it is taken as gone.
	spoolPatience = 30 * time.Second
)

// spools is how many bytes the spools of a node keep.
type spools struct{ kept atomic.Int64 }

// spool passes a stream on to a client that may read more slowly than its runner writes. A
// runner cuts off an answer that is not read for some seconds: without a spool that of a
// client which pauses for as long. One goroutine writes to it, another one to the client.
type spool struct {
	writer http.ResponseWriter
	all    *spools

	mutex   sync.Mutex
	pending []byte
	ended   bool
	failed  bool
	// filled is signalled when there is something to write or the stream ended, emptied when
	// something was written; done is closed when nothing more is written.
	filled  chan struct{}
	emptied chan struct{}
	done    chan struct{}
}

// newSpool starts to pass a stream on. close ends it.
func newSpool(writer http.ResponseWriter, all *spools) *spool {
	s := &spool{writer: writer, all: all, filled: make(chan struct{}, 1), emptied: make(chan struct{}, 1), done: make(chan struct{})}
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
		<-s.filled
	}
}

// take returns what is to be written next.
func (s *spool) take() (content []byte, ended bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	content, s.pending = s.pending, nil
	return content, s.ended
}

// send writes to the client. What was begun counts as kept until it is written.
func (s *spool) send(content []byte) {
	_, err := s.writer.Write(content)
	if flusher, ok := s.writer.(http.Flusher); ok && err == nil {
		flusher.Flush()
	}
	s.all.kept.Add(-int64(len(content)))
	s.mutex.Lock()
	s.failed = s.failed || err != nil
	s.mutex.Unlock()
	signal(s.emptied)
}

// write passes events on. It waits while too much is kept for the client, at most until ctx
// ends: what the client does not read then is not kept either.
func (s *spool) write(ctx context.Context, events []byte) {
	for !s.put(events) {
		select {
		case <-ctx.Done():
			return
		case <-s.emptied:
		case <-s.done:
			return
		}
	}
	signal(s.filled)
}

// put keeps events; false when there is no room for them. What is larger than all room is kept
// alone.
func (s *spool) put(events []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.failed {
		return true
	}
	full := len(s.pending)+len(events) > spoolLimit || s.all.kept.Load()+int64(len(events)) > spoolsLimit
	if full && len(s.pending) > 0 {
		return false
	}
	s.pending = append(s.pending, events...)
	s.all.kept.Add(int64(len(events)))
	return true
}

// close waits until the client has read what is kept, or client ends because it left. One that
// reads nothing for long is given up.
func (s *spool) close(client context.Context) {
	s.mutex.Lock()
	s.ended = true
	s.mutex.Unlock()
	signal(s.filled)
	timer := time.NewTimer(spoolPatience)
	defer timer.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-s.emptied:
			timer.Reset(spoolPatience)
			continue
		case <-client.Done():
		case <-timer.C:
		}
		// A write that is held up ends at once.
		_ = http.NewResponseController(s.writer).SetWriteDeadline(time.Now())
		<-s.done
		return
	}
}

// signal lets a goroutine that waits for a channel go on, or the next one that does.
func signal(waiting chan<- struct{}) {
	select {
	case waiting <- struct{}{}:
	default:
	}
}
