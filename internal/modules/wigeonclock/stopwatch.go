package wigeonclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stopwatch measures the time since its start, including time in which the machine was suspended, which the runtime's
// monotonic clock leaves out.
type Stopwatch struct {
	startedAt time.Time
	// suspendedBefore is the time in suspension up to the start.
	suspendedBefore time.Duration
}

// NewStopwatch returns a stopwatch that starts now.
func NewStopwatch() Stopwatch {
	return Stopwatch{startedAt: time.Now(), suspendedBefore: suspendedTime()}
}

// StartedAt returns the time of the start.
func (s Stopwatch) StartedAt() time.Time { return s.startedAt }

// Elapsed returns the time since the start.
func (s Stopwatch) Elapsed() time.Duration {
	return time.Since(s.startedAt) + max(suspendedTime()-s.suspendedBefore, 0)
}

// suspendedTime returns the time that the machine has spent in suspension since it was booted. It is zero where the
// kernel doesn't tell.
func suspendedTime() time.Duration {
	monotonic := readClock(unix.CLOCK_MONOTONIC)
	boot := readClock(unix.CLOCK_BOOTTIME)
	if monotonic == 0 || boot == 0 {
		return 0
	}
	return boot - monotonic
}

// readClock returns the time of a kernel clock, or zero if the kernel doesn't have it.
func readClock(id int32) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(id, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
