package overload

import (
	"errors"
	"os"
	"sync/atomic"
	"time"
)

// echo measures how long bytes that arrived wait to be read: it sends bytes to itself through the
// kernel, as timers of a process without processor time left may still be on time. The nil echo measures
// nothing.
type echo struct {
	reader, writer *os.File
	observe        func(delay time.Duration)
	// sent is when the byte on its way was sent, in nanoseconds since start; zero for none.
	sent  atomic.Int64
	start time.Time
	done  chan struct{}
}

// newEcho returns an echo that calls observe with each measurement.
func newEcho(observe func(delay time.Duration)) (*echo, error) {
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	e := &echo{reader: reader, writer: writer, observe: observe, start: time.Now(), done: make(chan struct{})}
	go e.read()
	return e, nil
}

// send begins a measurement if none is under way.
func (e *echo) send(now time.Time) error {
	if e == nil || !e.sent.CompareAndSwap(0, max(int64(now.Sub(e.start)), 1)) {
		return nil
	}
	_, err := e.writer.Write([]byte{0})
	return err
}

// read ends measurements until the echo is closed.
func (e *echo) read() {
	defer close(e.done)
	buffer := make([]byte, 1)
	for {
		if _, err := e.reader.Read(buffer); err != nil {
			return
		}
		e.observe(time.Since(e.start) - time.Duration(e.sent.Swap(0)))
	}
}

// age returns how long the byte on its way has been waiting to be read, zero if there is none.
func (e *echo) age(now time.Time) time.Duration {
	if e == nil || e.sent.Load() == 0 {
		return 0
	}
	return now.Sub(e.start) - time.Duration(e.sent.Load())
}

// close ends the measurements.
func (e *echo) close() error {
	if e == nil {
		return nil
	}
	err := errors.Join(e.writer.Close(), e.reader.Close())
	<-e.done
	return err
}
