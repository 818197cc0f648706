package wigeonslope

import (
	"context"
	"runtime"
	"slices"
	"syscall"
	"time"

	"wigeonshift/internal/modules/wigeonclock"
)

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	// The call fails only for an invalid argument.
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// liveHeap returns the bytes of live heap after garbage collection.
func liveHeap() float64 {
	// The second collection frees what finalizers and pools held through the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// median returns the middle value, or the upper one of the two middle values.
func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[len(sorted)/2]
}

// sleep waits for d, or returns the context's error if it ends earlier.
func sleep(ctx context.Context, d time.Duration) error {
	if !wigeonclock.Sleep(ctx, d) {
		return ctx.Err()
	}
	return nil
}

// measurePoints calls measure for each size and returns the points.
func measurePoints(sizes []int, measure func(size int) (float64, error)) ([]Point, error) {
	var ps []Point
	for _, size := range sizes {
		y, err := measure(size)
		if err != nil {
			return nil, err
		}
		ps = append(ps, Point{X: float64(size), Y: y})
	}
	return ps, nil
}
