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

// BenchmarkIdleSessions measures what an idle session over loopback TCP holds and costs. Both ends live in this
// process, so each figure is for one end; what the networks hold without sessions is taken off.
func BenchmarkIdleSessions(b *testing.B) {
	const sessions = 400
	for b.Loop() {
		hub := listenOn(b, "hub")
		nodes := []*wigeonsession.Network{hub}
		for i := range sessions {
			nodes = append(nodes, listenOn(b, fmt.Sprintf("n%d", i)))
		}
		before, idle := memoryInUse(), processorTimePerSecond()
		for _, n := range nodes[1:] {
			if err := hub.Send(ctx, n.Self(), have(1)); err != nil {
				b.Fatal(err)
			}
		}
		time.Sleep(3 * time.Second)
		b.ReportMetric(float64(memoryInUse()-before)/sessions/2, "B/session-end")
		b.ReportMetric((processorTimePerSecond()-idle)/sessions/2, "cpu-ns/s/session-end")
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

// memoryInUse returns the bytes of heap and stacks in use after a collection.
func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// processorTimePerSecond returns the nanoseconds of processor time that this process takes in a second.
func processorTimePerSecond() float64 {
	start, from := processorTime(), time.Now()
	time.Sleep(10 * time.Second)
	return float64(processorTime()-start) / time.Since(from).Seconds()
}

// processorTime returns the user and system time of this process so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
