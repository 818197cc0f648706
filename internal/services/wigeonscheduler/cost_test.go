package wigeonscheduler

import (
	"fmt"
	"runtime"
	"strconv"
	"testing"
	"time"

	"wigeonshift"
)

// benchSlots is the number of slots of each endpoint in the benchmarks.
const benchSlots = 16

// newBenchShard returns an owner with endpoints for the benchmarks.
func newBenchShard(endpoints int) *testShard {
	return newTestShard(endpoints, func(s *wigeonshift.EndpointSpec) { s.MaxConcurrent = benchSlots })
}

// benchRequest returns request number i, assigned to one of the organisations. Requests 500 apart share a prefix.
func benchRequest(i, organisations int, now time.Time) PermitRequested {
	prefix := make([]wigeonshift.BlockHash, 4)
	for b := range prefix {
		prefix[b] = wigeonshift.BlockHash(i%500*16 + b)
	}
	return PermitRequested{Entry: "entry", Request: wigeonshift.PermitRequest{
		ID: wigeonshift.RequestID("r" + strconv.Itoa(i)), Shard: "p/s/r/0", Organisation: "o" + strconv.Itoa(i%organisations),
		Rank: wigeonshift.TierRank(i % 4), Model: "m", Deadline: now.Add(time.Minute), PromptTokens: 300, MaxTokens: 50,
		Prefix: prefix, Fingerprint: wigeonshift.Fingerprint(i + 1),
	}}
}

// grantOf returns the first permit among effects, nil if there is none.
func grantOf(effects []Effect) *wigeonshift.Permit {
	for _, ef := range effects {
		if a, ok := ef.(AnswerPermit); ok && a.Answer.Grant != nil {
			return a.Answer.Grant
		}
	}
	return nil
}

// completeAttempt sends the reports of one attempt from its start to its end.
func (ts *testShard) completeAttempt(p *wigeonshift.Permit) {
	report := wigeonshift.AttemptReport{Request: p.Request, Shard: p.Shard, Token: p.Token, Endpoint: p.Endpoint}
	for _, state := range []wigeonshift.AttemptState{wigeonshift.AttemptStarted, wigeonshift.AttemptFirstToken, wigeonshift.AttemptFinished} {
		report.State = state
		if state == wigeonshift.AttemptFirstToken {
			report.Elapsed, report.CachedTokens, report.TokensDone = 60*time.Millisecond, p.CachedTokens, 1
		}
		if state == wigeonshift.AttemptFinished {
			report.Elapsed, report.TokensDone = 1200*time.Millisecond, 40
		}
		Reduce(ts.st, Event{At: ts.now, Random: 7, Body: AttemptReported{Entry: "entry", Report: report}})
	}
}

// BenchmarkDecision measures the four events of a request at the owner with three quarters of all slots in use.
func BenchmarkDecision(b *testing.B) {
	for _, endpoints := range []int{16, 64, 512} {
		for _, organisations := range []int{1, 1000, 48000} {
			b.Run(fmt.Sprintf("endpoints=%d/organisations=%d", endpoints, organisations), func(b *testing.B) {
				ts := newBenchShard(endpoints)
				inFlight := endpoints * benchSlots * 3 / 4
				permits := make([]*wigeonshift.Permit, 0, inFlight)
				next := 0
				ask := func() *wigeonshift.Permit {
					ts.now = ts.now.Add(50 * time.Microsecond)
					next++
					return grantOf(Reduce(ts.st, Event{At: ts.now, Random: uint64(next), Body: benchRequest(next, organisations, ts.now)}))
				}
				for range inFlight {
					if p := ask(); p != nil {
						permits = append(permits, p)
					}
				}
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					slot := i % len(permits)
					ts.completeAttempt(permits[slot])
					if p := ask(); p != nil {
						permits[slot] = p
					}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
				b.ReportMetric(4*float64(b.N)/b.Elapsed().Seconds(), "events/s")
			})
		}
	}
}

// liveHeapBytes returns the size of the live heap.
func liveHeapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkMemory measures the bytes of an endpoint, of a running request and of a queued request, and the number of
// organisations kept after their requests have ended.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		const endpoints, queued, organisations = 64, 10000, 48000
		start := liveHeapBytes()
		ts := newBenchShard(endpoints)
		empty := liveHeapBytes()
		running := 0
		for i := range endpoints * benchSlots {
			if grantOf(Reduce(ts.st, Event{At: ts.now, Body: benchRequest(i, 10, ts.now)})) != nil {
				running++
			}
		}
		full := liveHeapBytes()
		for i := range queued {
			Reduce(ts.st, Event{At: ts.now, Body: benchRequest(endpoints*benchSlots+i, 10, ts.now)})
		}
		long := liveHeapBytes()
		waiting := 0
		for _, t := range ts.st.Shard.Status().Tiers {
			waiting += t.Queued
		}
		b.ReportMetric((empty-start)/endpoints, "B/endpoint")
		b.ReportMetric((full-empty)/float64(running), "B/running")
		b.ReportMetric((long-full)/float64(max(1, waiting)), "B/queued")
		b.ReportMetric(float64(waiting), "queued")

		idle := newBenchShard(endpoints)
		for i := range organisations {
			if p := grantOf(Reduce(idle.st, Event{At: idle.now, Body: benchRequest(i, organisations, idle.now)})); p != nil {
				idle.completeAttempt(p)
			}
		}
		b.ReportMetric(float64(len(idle.st.Shard.organisations)), "idle-organisations-kept")
		runtime.KeepAlive(ts)
	}
}
