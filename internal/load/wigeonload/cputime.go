package wigeonload

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"syscall"
	"time"
)

const (
	// clockTick is the unit of CPU times in /proc/<pid>/stat.
	clockTick = 10 * time.Millisecond
	// userTimeIndex and systemTimeIndex are the indices of the CPU times among the fields after the command in
	// /proc/<pid>/stat.
	userTimeIndex, systemTimeIndex = 11, 12
)

// ownCPUTime returns the CPU time of this process.
func ownCPUTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for invalid arguments.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processCPUTime returns the total CPU time of the processes with the given IDs.
func processCPUTime(pids []int) (time.Duration, error) {
	var total time.Duration
	for _, pid := range pids {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		if err != nil {
			return 0, err
		}
		// The command in parentheses may contain spaces; the fields after it do not.
		_, rest, _ := bytes.Cut(text, []byte(") "))
		fields := bytes.Fields(rest)
		for _, i := range []int{userTimeIndex, systemTimeIndex} {
			ticks, err := strconv.ParseInt(string(fields[i]), 10, 64)
			if err != nil {
				return 0, err
			}
			total += time.Duration(ticks) * clockTick
		}
	}
	return total, nil
}
