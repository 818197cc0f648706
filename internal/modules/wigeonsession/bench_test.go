package wigeonsession_test

import (
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"
)

// BenchmarkIdleSessions measures the memory and CPU time of idle sessions over loopback TCP. Both ends run in this
// process, so the results are divided by two to give the cost per end. The cost of networks without sessions is subtracted.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions = 400
	for b.Loop() {
		hub := listenOn(b, "hub")
		nodes := []*wigeonsession.Network{hub}
		for i := range sessions {
			nodes = append(nodes, listenOn(b, fmt.Sprintf("n%d", i)))
		}
		before, idleCPU := memoryInUse(), cpuTimePerSecond()
		for _, n := range nodes[1:] {
			if err := hub.Send(ctx, n.Self(), configurationHave(1)); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		b.ReportMetric(float64(memoryInUse()-before)/sessions/2, "B/session-end")
		b.ReportMetric((cpuTimePerSecond()-idleCPU)/sessions/2, "cpu-ns/s/session-end")
		for _, n := range nodes {
			if err := n.Stop(ctx); err != nil {
				b.Fatal(err)
			}
		}
	}
}

func listenOn(b *testing.B, id string) *wigeonsession.Network {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	n := wigeonsession.New(wigeonshift.Instance{ID: id, Address: l.Addr().String()}, wigeonsession.WithListener(l))
	if err := n.Start(ctx); err != nil {
		b.Fatal(err)
	}
	return n
}

// memoryInUse returns the heap and stack bytes in use after a garbage collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// cpuTimePerSecond returns the CPU nanoseconds that this process uses per second, measured over 10 seconds.
func cpuTimePerSecond() float64 {
	before, startedAt := cpuTime(), time.Now()
	time.Sleep(10 * time.Second)
	return float64(cpuTime()-before) / time.Since(startedAt).Seconds()
}

// cpuTime returns the user and system CPU time of this process so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
