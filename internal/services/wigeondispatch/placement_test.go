package wigeondispatch

import (
	"math/rand/v2"
	"time"

	"wigeonshift"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const plainEndpoints = "abcdefgh"

// runPlainRequests sends a request without tokens each interval for a time, and returns how many each endpoint got. runTime tells how
// long an endpoint works on a request; it is at most the interval.
func runPlainRequests(h *reducerHarness, d, interval time.Duration, runTime func(endpoint string) time.Duration) map[string]int {
	counts := map[string]int{}
	for end := h.at + d; h.at < end; h.at += interval {
		j := h.newJob()
		j.HasTokens, j.Kind = false, wigeonshift.RouteIdempotent
		endpoint := onlyDispatchEndpoint(h.arrive(j))
		counts[endpoint]++
		sentAt := h.at
		h.at += runTime(endpoint)
		h.state.Reduce(FirstEventReceived{At: h.at, Job: j.ID})
		h.end(j, OutcomeDone, false)
		h.at = sentAt
	}
	return counts
}

var _ = Describe("Placement of requests without tokens", func() {
	var h *reducerHarness
	var random *rand.Rand
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	BeforeEach(func() {
		random = rand.New(rand.NewPCG(1, 1))
		var records []wigeonshift.EndpointRecord
		for _, id := range plainEndpoints {
			records = append(records, newRecord(string(id)))
		}
		h = newHarness(records...)
	})

	It("uses all endpoints whose times differ by chance only", func() {
		alike := func(string) time.Duration { return between(5*time.Millisecond, 30*time.Millisecond) }
		runPlainRequests(h, 2*time.Second, 30*time.Millisecond, alike)
		for range 10 {
			counts := runPlainRequests(h, 12*time.Second, 30*time.Millisecond, alike)
			for _, id := range plainEndpoints {
				Expect(counts[string(id)]).To(BeNumerically(">=", 25), "of 50: %v", counts)
			}
		}
	})

	It("prefers endpoints that are faster by more than chance", func() {
		twoFaster := func(id string) time.Duration {
			if id == "c" || id == "f" {
				return between(5*time.Millisecond, 30*time.Millisecond)
			}
			return between(45*time.Millisecond, 70*time.Millisecond)
		}
		runPlainRequests(h, 20*time.Second, 100*time.Millisecond, twoFaster)
		counts := runPlainRequests(h, 20*time.Second, 100*time.Millisecond, twoFaster)
		Expect(counts["c"]+counts["f"]).To(BeNumerically(">=", 180), "of 200: %v", counts)
	})

	It("prefers an endpoint that is always a little faster", func() {
		oneFaster := func(id string) time.Duration {
			if id == "c" {
				return 18 * time.Millisecond
			}
			return 20 * time.Millisecond
		}
		runPlainRequests(h, 20*time.Second, 100*time.Millisecond, oneFaster)
		counts := runPlainRequests(h, 20*time.Second, 100*time.Millisecond, oneFaster)
		Expect(counts["c"]).To(BeNumerically(">=", 180), "of 200: %v", counts)
	})
})
