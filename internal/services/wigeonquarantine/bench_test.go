package wigeonquarantine

import (
	"runtime"
	"strconv"
	"testing"
	"time"

	"wigeonshift"

	"github.com/uber-go/tally/v4"
)

// benchCrashes returns n crashes, three for each request, with IDs as long as those of real endpoints.
func benchCrashes(n int) []wigeonshift.Crash {
	crashes := make([]wigeonshift.Crash, 0, n)
	for i := range n {
		crashes = append(crashes, wigeonshift.Crash{
			Fingerprint: wigeonshift.Fingerprint(i/3+1) << 40, Endpoint: "i-" + strconv.Itoa(1_000_000_000+i) + "@1796358708000",
			Shared: wigeonshift.SharedFingerprints{Content: wigeonshift.Fingerprint(i/3+1) << 20, Query: wigeonshift.Fingerprint(i/3+1)<<20 + 1, Headers: wigeonshift.Fingerprint(i/3+1)<<20 + 2},
			At:     time.Now(),
		})
	}
	return crashes
}

// BenchmarkServiceHeap measures the heap for each crash that a service keeps, with the copy that it publishes.
func BenchmarkServiceHeap(b *testing.B) {
	const crashes = 30_000
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		s := NewService(nil, func(wigeonshift.CrashEvidence) {}, discardLog(), tally.NoopScope)
		s.Offer(wigeonshift.CrashEvidence{Crashes: benchCrashes(crashes)})
		published := NewRecord(Limit)
		for _, c := range s.Evidence().Crashes {
			published.Add(c)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/crashes, "B/crash")
		runtime.KeepAlive(s)
		runtime.KeepAlive(published)
	}
}

// BenchmarkQuarantined measures the check of each arriving request.
func BenchmarkQuarantined(b *testing.B) {
	r := NewRecord(Limit)
	for _, c := range benchCrashes(30_000) {
		r.Add(c)
	}
	f := wigeonshift.Fingerprint(0)
	for b.Loop() {
		f++
		r.Quarantined(f)
	}
}

// BenchmarkJudge measures the decision on each arriving request whose content has crashes.
func BenchmarkJudge(b *testing.B) {
	r, answers := NewRecord(Limit), NewAnswerCounter()
	for _, c := range benchCrashes(30_000) {
		r.Add(c)
	}
	shared := r.crashes[1<<40][0].Shared
	f := wigeonshift.Fingerprint(0)
	for b.Loop() {
		f++
		r.Judge(f, shared, answers)
	}
}

// BenchmarkAnswerCounter measures the count of each answer.
func BenchmarkAnswerCounter(b *testing.B) {
	answers := NewAnswerCounter()
	f := wigeonshift.Fingerprint(0)
	for b.Loop() {
		f += 3
		answers.Add(0, Identifiers(f, wigeonshift.SharedFingerprints{Query: f + 1, Headers: f + 2}, nil))
	}
}

// BenchmarkCauses measures the explanation of crashes after each change: n endpoints crashed under nine requests each, which have one of
// 50 first parts, and a part of their own.
func BenchmarkCauses(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			r := NewRecord(Limit)
			for k := range n {
				for i := range 9 {
					unique := wigeonshift.Fingerprint(9*k + i + 1)
					popular := wigeonshift.Fingerprint(1_000_000 + 3*((9*k+i)%50))
					r.Add(wigeonshift.Crash{
						Fingerprint: unique << 20, Shared: wigeonshift.SharedFingerprints{Content: unique<<20 + 1, Query: unique<<20 + 2, Headers: unique<<20 + 3},
						Features: []wigeonshift.Fingerprint{popular, popular + 1, popular + 2, unique<<20 + 4},
						Endpoint: "i-" + strconv.Itoa(1_000_000_000+k) + "@1796358708000", At: time.Now(),
					})
				}
			}
			for b.Loop() {
				r.invalidate([]wigeonshift.Fingerprint{1_000_000, 1_000_001, 1_000_002})
				r.Causes()
			}
		})
	}
}
