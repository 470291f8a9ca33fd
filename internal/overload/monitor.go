// Package overload measures how late this process is with its own work, and bounds the requests that it
// takes on by that. A process whose machine has no processor time or bandwidth left is late with all
// requests, whatever the state of the runners.
package overload

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"lilacvane/internal/place"
)

const (
	// watchAbove is the number of starting requests above which lateness is measured: an idle
	// process is not woken up for it.
	watchAbove = 4
	// watchHold is how long lateness is measured after the last moment with more than watchAbove.
	watchHold = time.Second
	// tickInterval is the time between two measurements.
	tickInterval = 20 * time.Millisecond
	// reportInterval is the time between two log lines.
	reportInterval = time.Second
	// readPart is the part of the limit up to which requests are admitted that were read already, as those
	// on kept connections: they go before new connections.
	readPart = 3
	// maxStart is how long a start counts at most: a client that sends nothing, or sends slowly, takes
	// none of this process's time.
	maxStart = time.Second
)

// Monitor measures the load of this process. Its methods may be called concurrently.
type Monitor struct {
	log logr.Logger
	// wake is signaled when lateness is to be measured.
	wake chan struct{}
	// freed is signaled when a start ends.
	freed chan struct{}
	// starting is the number of requests that were accepted and neither sent to a runner nor wait
	// for one.
	starting atomic.Int64
	counters counters

	mutex sync.Mutex
	// reads holds how long bytes that had arrived waited to be read, connects how much longer than
	// usual connections to runners took, attempts the same including attempts that timed out.
	reads    window
	connects window
	attempts window
	// firsts holds the times from requests' arrivals to the first bytes of their answers.
	firsts window
	// late is how late reads and connects were.
	late lateness
	// echo takes the measurements of reads; nil before Run.
	echo *echo
	// floors are the usual times of connection attempts.
	floors floors
	// limiter bounds starting.
	limiter limiter
	// starts are the requests that began to start, the oldest first; some have ended.
	starts []*Start
}

// NewMonitor returns a monitor that does not measure yet.
func NewMonitor(log logr.Logger) *Monitor {
	return &Monitor{log: log, wake: make(chan struct{}, 1), freed: make(chan struct{}, 1), floors: make(floors)}
}

// Begin admits a request that was read and begins to start. It returns false if this process has no room
// for one more.
func (m *Monitor) Begin() (*Start, bool) {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	if !m.limiter.admits(int(m.starting.Load()), readPart) {
		m.counters.refused.Add(1)
		return nil, false
	}
	return m.begin(now), true
}

// begin begins a start. mutex must be held.
func (m *Monitor) begin(now time.Time) *Start {
	m.counters.begun.Add(1)
	start := &Start{monitor: m, begun: now}
	m.starts = append(m.starts, start)
	if m.starting.Add(1) > watchAbove {
		select {
		case m.wake <- struct{}{}:
		default:
		}
	}
	return start
}

// beginAccepted begins the start of a connection for which there was room when its socket was opened.
func (m *Monitor) beginAccepted() *Start {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.begin(time.Now())
}

// expire ends the starts that take too long. mutex must be held.
func (m *Monitor) expire(now time.Time) {
	for len(m.starts) > 0 && (m.starts[0].ended.Load() || now.Sub(m.starts[0].begun) > maxStart) {
		m.starts[0].end()
		m.starts[0] = nil
		m.starts = m.starts[1:]
	}
}

// ObserveConnect records how long a connection attempt to a runner of a region took, and whether it
// timed out.
func (m *Monitor) ObserveConnect(region place.Region, took time.Duration, timedOut bool) {
	now := time.Now()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delay := took - m.floors.observe(now, region, took)
	m.attempts.add(now, delay)
	if !timedOut {
		m.connects.add(now, delay)
	}
}

// ObserveEnd records that a request ended, whether it was served, and the time from its arrival to the
// first byte of its answer.
func (m *Monitor) ObserveEnd(served bool, first time.Duration) {
	m.counters.ended.Add(1)
	if !served {
		return
	}
	m.counters.served.Add(1)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.firsts.add(time.Now(), first)
}

// observeRead records how long a byte that had arrived waited to be read.
func (m *Monitor) observeRead(late time.Duration) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.reads.add(time.Now(), late)
}

// adjust sets the limit of starting requests.
func (m *Monitor) adjust(now time.Time) {
	load := m.Load()
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.limiter.adjust(now, load)
	m.late.observe(now, max(m.connects.median(now), load.ReadDelay))
}

// room reports whether fewer requests start than a part of the limit.
func (m *Monitor) room(part float64) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(time.Now())
	return m.limiter.admits(int(m.starting.Load()), part)
}

// Allowance returns how much longer than usual others may seem to take because this process is, or
// lately was, late with its own work; zero if it was not. A shorter silence says nothing of them.
func (m *Monitor) Allowance() time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.late.allowance(time.Now())
}

// limited reports whether the number of starting requests is limited.
func (m *Monitor) limited() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.limiter.limit > 0
}

// Run measures lateness while requests start, until ctx ends.
func (m *Monitor) Run(ctx context.Context) {
	echo, err := newEcho(m.observeRead)
	if err != nil {
		// Connection attempts still show how late the process is.
		m.log.Error(err, "delay of reads cannot be measured", "step", "open pipe")
	}
	m.mutex.Lock()
	m.echo = echo
	m.mutex.Unlock()
	defer func() {
		if err := echo.close(); err != nil {
			m.log.Error(err, "pipe not closed", "step", "close pipe")
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			m.watch(ctx, echo)
		}
	}
}

// watch measures until few requests start.
func (m *Monitor) watch(ctx context.Context, echo *echo) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last := time.Now()
	reported := m.counters.read()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		if err := echo.send(now); err != nil {
			m.log.Error(err, "delay of reads not measured", "step", "write to pipe")
		}
		if now.Sub(reported.at) >= reportInterval {
			m.report(&reported)
		}
		m.adjust(now)
		if m.starting.Load() > watchAbove || m.limited() {
			last = now
		}
		if now.Sub(last) > watchHold {
			return
		}
	}
}
