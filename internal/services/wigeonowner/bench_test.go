package wigeonowner_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wigeonshift"
	"wigeonshift/internal/modules/wigeonsession"
	"wigeonshift/internal/services/wigeonbroker"
	"wigeonshift/internal/services/wigeonmember"
	"wigeonshift/internal/services/wigeonowner"
	"wigeonshift/internal/standin/wigeonplatform"

	"github.com/uber-go/tally/v4"
)

// lifecycle is implemented by every component of a node.
type lifecycle interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
}

// BenchmarkPermit measures the whole life of a permit between two instances over loopback TCP: one request, one grant
// and three reports. The CPU time is that of both instances. The bytes are those of all frames in both directions.
func BenchmarkPermit(b *testing.B) {
	core := wigeonplatform.NewCore()
	scope := tally.NewTestScope("", nil)
	var brokers []*wigeonbroker.Broker
	var managers []*wigeonowner.Manager
	for i := range 2 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			b.Fatal(err)
		}
		self := wigeonshift.Instance{ID: fmt.Sprintf("n%d", i), Address: listener.Addr().String(), Region: "lima"}
		core.PutInstance(self)
		network := wigeonsession.New(self, wigeonsession.WithListener(listener), wigeonsession.WithScope(scope))
		members := wigeonmember.New(core, network)
		managers = append(managers, wigeonowner.New(network, members, core, core, &fixedConfiguration{}, &fakeEngines{}))
		brokers = append(brokers, wigeonbroker.New(network, members, core))
		for _, s := range []lifecycle{network, members, managers[i], brokers[i]} {
			if err := s.Start(ctx); err != nil {
				b.Fatal(err)
			}
			defer s.Stop(ctx)
		}
	}
	broker := brokers[0]
	for deadline := time.Now().Add(20 * time.Second); len(managers[0].Statuses())+len(managers[1].Statuses()) == 0; {
		if time.Now().After(deadline) {
			b.Fatal("no owner")
		}
		time.Sleep(10 * time.Millisecond)
	}
	if len(managers[0].Statuses()) > 0 {
		broker = brokers[1]
	}
	permitOnce(b, broker, 0)
	before, bytes := cpuTime(), sentBytes(scope)
	b.ReportAllocs()
	b.ResetTimer()
	var serial atomic.Int64
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			permitOnce(b, broker, serial.Add(1))
		}
	})
	b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
	b.ReportMetric(float64(sentBytes(scope)-bytes)/float64(b.N), "wire-bytes/op")
}

// permitOnce requests one permit and reports a complete attempt.
func permitOnce(b *testing.B, broker *wigeonbroker.Broker, serial int64) {
	s, err := broker.RequestPermit(ctx, wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID(fmt.Sprintf("bench-%d", serial)), Shard: shardID, Product: "p", Organisation: "o", Tier: "t",
		Deadline: time.Now().Add(time.Minute), PromptTokens: 64 * 8, MaxTokens: 16, Model: "m",
		Fingerprint: wigeonshift.Fingerprint(serial), Prefix: make([]wigeonshift.BlockHash, 8),
	})
	if err != nil {
		b.Error(err)
		return
	}
	a := <-s.Answers()
	if a.Grant == nil {
		b.Errorf("not granted: %+v", a.Refuse)
		return
	}
	finish(s, a.Grant)
}

// cpuTime returns the user and system time that this process has used so far.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// sentBytes returns the number of bytes in all frames sent so far.
func sentBytes(scope tally.TestScope) int64 {
	total := int64(0)
	for _, c := range scope.Snapshot().Counters() {
		if c.Name() == "peerBytesSent" {
			total += c.Value()
		}
	}
	return total
}
