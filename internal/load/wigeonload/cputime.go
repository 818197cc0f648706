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
	// clockTick is the unit of the times in /proc.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the places of the times behind the command in /proc/<pid>/stat.
	userField, systemField = 11, 12
)

// ownTime returns this process's CPU time.
func ownTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for a wrong argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// processTime returns the CPU time of processes together.
func processTime(processes []int) (time.Duration, error) {
	var total time.Duration
	for _, process := range processes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", process))
		if err != nil {
			return 0, err
		}
		// The command may hold spaces; the fields after it don't.
		_, rest, _ := bytes.Cut(text, []byte(") "))
		fields := bytes.Fields(rest)
		for _, place := range []int{userField, systemField} {
			ticks, err := strconv.ParseInt(string(fields[place]), 10, 64)
			if err != nil {
				return 0, err
			}
			total += time.Duration(ticks) * clockTick
		}
	}
	return total, nil
}
