package overload

import (
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// counters count what happened since the process started.
type counters struct {
	// begun counts requests that began to start, sent those that were sent to a runner, and refused
	// those that were read and not admitted.
	begun, sent, refused atomic.Int64
	// ended counts requests that ended, served those of them that were served.
	ended, served atomic.Int64
	// shuts counts how often a Gate closed its socket, shut is for how long, in nanoseconds.
	shuts, shut atomic.Int64
}

// counts are the values of counters at a time.
type counts struct {
	at                                         time.Time
	begun, sent, refused, ended, served, shuts int64
	// shut is how long sockets were closed, used the processor time of the process.
	shut, used time.Duration
}

func (c *counters) read() counts {
	return counts{
		at: time.Now(), begun: c.begun.Load(), sent: c.sent.Load(), refused: c.refused.Load(), ended: c.ended.Load(), served: c.served.Load(),
		shuts: c.shuts.Load(), shut: time.Duration(c.shut.Load()), used: processorTime(),
	}
}

// report writes a log line with the load and what happened since the counts of the last one, which it
// replaces.
func (m *Monitor) report(last *counts) {
	load, now := m.Load(), m.counters.read()
	elapsed := now.at.Sub(last.at)
	m.log.Info("node load", "starting", load.Starting, "limit", load.Limit, "readDelayMs", load.ReadDelay.Milliseconds(),
		"connectDelayMs", load.ConnectDelay.Milliseconds(), "firstMs", load.First.Milliseconds(),
		"begun", now.begun-last.begun, "sent", now.sent-last.sent, "refused", now.refused-last.refused,
		"ended", now.ended-last.ended, "served", now.served-last.served,
		"shuts", now.shuts-last.shuts, "shutMs", (now.shut - last.shut).Milliseconds(),
		"cores", (now.used-last.used).Seconds()/elapsed.Seconds(), "goroutines", runtime.NumGoroutine(), "elapsedMs", elapsed.Milliseconds())
	*last = now
}

// processorTime returns the processor time that the process has used; zero if it is not known.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
