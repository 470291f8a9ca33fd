// Package clock reads a monotonic clock that keeps running while the machine is suspended.
// The monotonic clock of time.Now stops during a suspension, so by that clock a lease or a
// received update could seem current long after it has expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// processStart is when the process first read a clock, on the clock that stops during
// suspensions.
var processStart = time.Now()

// hasBootTime is set if the machine provides the clock that keeps running; without it,
// suspensions go unnoticed.
var hasBootTime = bootTimeSupported()

// bootTimeSupported reports whether the clock CLOCK_BOOTTIME can be read.
func bootTimeSupported() bool {
	var now unix.Timespec
	return unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) == nil
}

// CountsSuspensions reports whether Now keeps running while the machine is suspended.
func CountsSuspensions() bool { return hasBootTime }

// Now returns the time since the machine started, including suspensions. The result may be
// compared only with other results of this function. A call costs a system call: 0.3 us on an
// Intel Xeon, against 0.07 us for time.Now. Use it for what must not outlive a suspension.
func Now() time.Time {
	var now unix.Timespec
	if !hasBootTime || unix.ClockGettime(unix.CLOCK_BOOTTIME, &now) != nil {
		return time.Unix(0, int64(time.Since(processStart)))
	}
	return time.Unix(now.Unix())
}

// Suspended returns how long the machine was suspended since the process began. Reading two
// clocks makes it inexact by a few microseconds.
func Suspended() time.Duration {
	return Now().Sub(bootTimeAtStart) - time.Since(processStart)
}

// bootTimeAtStart is processStart on the clock that keeps running.
var bootTimeAtStart = Now()
