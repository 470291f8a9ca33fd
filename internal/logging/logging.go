// Package logging provides the logger of a node. It writes one line of JSON per event, with the
// keys step, peer, request, model and revision where they apply.
package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"lilacvane/internal/fault"
)

const (
	// queueSize is the number of lines that may wait to be written.
	queueSize = 512
	// linesPerSecond and lineBurst limit the log volume.
	linesPerSecond = 150
	lineBurst      = 400
	// dropReportInterval is how often dropped lines are reported.
	dropReportInterval = 2 * time.Second
)

// Bounded is a logger that never blocks its callers. Lines beyond its rate limit or its queue are
// dropped, counted and reported.
type Bounded struct {
	logr.Logger
	level zap.AtomicLevel
	sink  *boundedSink
}

// NewBounded returns a logger that writes JSON lines to out. The error is that of SetLevel.
func NewBounded(level string, out io.Writer) (*Bounded, error) {
	sink := newBoundedSink(out)
	b := &Bounded{level: zap.NewAtomicLevel(), sink: sink}
	if err := b.SetLevel(level); err != nil {
		return nil, err
	}
	encoding := zap.NewProductionEncoderConfig()
	encoding.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	encoding.TimeKey = "time"
	core := zapcore.NewCore(zapcore.NewJSONEncoder(encoding), sink, b.level)
	b.Logger = zapr.NewLogger(zap.New(core))
	return b, nil
}

// SetLevel sets the level: error, info or debug. It returns an error for an unknown level.
func (b *Bounded) SetLevel(level string) error {
	parsed, err := zapcore.ParseLevel(level)
	if err != nil {
		return fault.New(fault.CodeInvalid, "open log", "unknown level %q", level)
	}
	b.level.SetLevel(parsed)
	return nil
}

// Dropped returns the number of dropped lines.
func (b *Bounded) Dropped() int64 { return b.sink.dropped.Load() }

// Close writes queued lines, for at most the given time.
func (b *Bounded) Close(limit time.Duration) { b.sink.close(limit) }

// boundedSink writes queued lines in its own goroutine.
type boundedSink struct {
	lines   chan []byte
	limiter *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}
}

func newBoundedSink(out io.Writer) *boundedSink {
	s := &boundedSink{
		lines: make(chan []byte, queueSize), limiter: rate.NewLimiter(linesPerSecond, lineBurst),
		done: make(chan struct{}), stop: make(chan struct{}),
	}
	go s.run(out)
	return s
}

// Write queues a line.
func (s *boundedSink) Write(line []byte) (int, error) {
	if !s.limiter.Allow() {
		s.dropped.Add(1)
		return len(line), nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Sync does nothing, as lines are written without buffering.
func (s *boundedSink) Sync() error { return nil }

func (s *boundedSink) run(out io.Writer) {
	defer close(s.done)
	ticker := time.NewTicker(dropReportInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line)
		case <-ticker.C:
			reported = s.reportDrops(out, reported)
		case <-s.stop:
			s.drain(out)
			return
		}
	}
}

func (s *boundedSink) reportDrops(out io.Writer, reported int64) int64 {
	dropped := s.dropped.Load()
	if dropped > reported {
		_, _ = fmt.Fprintf(out, "{\"level\":\"info\",\"msg\":\"log lines dropped\",\"lines\":%d,\"total\":%d}\n", dropped-reported, dropped)
	}
	return dropped
}

func (s *boundedSink) drain(out io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = out.Write(line)
		default:
			return
		}
	}
}

func (s *boundedSink) close(limit time.Duration) {
	s.once.Do(func() { close(s.stop) })
	select {
	case <-s.done:
	case <-time.After(limit):
	}
}
