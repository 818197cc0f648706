package wigeontrace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"wigeonshift"

	"github.com/cespare/xxhash/v2"
)

// requestKind describes the requests of one tier of a workload.
type requestKind struct {
	rank        wigeonshift.TierRank
	interactive bool
	// loadShare is the kind's share of the offered load.
	loadShare float64
	// sharedTokens is the length range of the prefix that requests on one subject share. ownTokens is the range of the
	// rest of the prompt.
	sharedTokens [2]int
	ownTokens    [2]int
	outputTokens [2]int
	deadline     time.Duration
	// subjectCount is the number of shared prefixes. If it is zero, each organisation has one for each sharedTokens range.
	subjectCount int
	model        string
	// expectedCachedShare is the share of the shared prefix that is expected to be cached; it affects the arrival rate.
	expectedCachedShare float64
}

// midpoint returns the middle of a range.
func midpoint(r [2]int) float64 { return float64(r[0]+r[1]) / 2 }

// rateWindow is a period in which the arrival rate is multiplied by a factor.
type rateWindow struct {
	from, to time.Duration
	factor   float64
}

// workload generates the requests of a trace.
type workload struct {
	product       string
	kinds         []requestKind
	organisations []string
	// organisationWeights are the shares of the requests by organisation.
	organisationWeights []float64
	engines             []Engine
	random              *rand.Rand
}

// costSeconds returns the expected time that all engines together need for one request of a kind.
func (w *workload) costSeconds(k *requestKind) float64 {
	prefillTokensPerSecond, decodeTokensPerSecond := 0.0, 0.0
	for i := range w.engines {
		prefillTokensPerSecond += w.engines[i].PrefillTokensPerSecond
		decodeTokensPerSecond += w.engines[i].DecodeTokensPerSecond()
	}
	uncachedTokens := midpoint(k.ownTokens) + midpoint(k.sharedTokens)*(1-k.expectedCachedShare)
	return uncachedTokens/prefillTokensPerSecond + midpoint(k.outputTokens)/decodeTokensPerSecond
}

// drawRequests draws the requests of all kinds for a duration. load is the offered load outside the rate windows.
// Arrivals are drawn at the peak rate and thinned to the rate that applies at their time.
func (w *workload) drawRequests(load float64, duration time.Duration, rateWindows map[wigeonshift.TierRank][]rateWindow) []Request {
	var requests []Request
	for n := range w.kinds {
		k := &w.kinds[n]
		requestsPerSecond := load * k.loadShare / w.costSeconds(k)
		peakFactor := 1.0
		for _, rw := range rateWindows[k.rank] {
			peakFactor = math.Max(peakFactor, rw.factor)
		}
		atSeconds := 0.0
		for {
			atSeconds += w.random.ExpFloat64() / (requestsPerSecond * peakFactor)
			at := time.Duration(atSeconds * float64(time.Second))
			if at >= duration {
				break
			}
			if w.random.Float64()*peakFactor > rateFactorAt(rateWindows[k.rank], at) {
				continue
			}
			requests = append(requests, w.drawRequest(k, n, at))
		}
	}
	slices.SortStableFunc(requests, func(a, b Request) int { return cmp.Compare(a.Arrival, b.Arrival) })
	for i := range requests {
		requests[i].ID = wigeonshift.RequestID(fmt.Sprintf("r%06d", i))
		w.addOwnBlocks(&requests[i])
	}
	return requests
}

// rateFactorAt returns the factor of the arrival rate at a time.
func rateFactorAt(windows []rateWindow, at time.Duration) float64 {
	for _, rw := range windows {
		if at >= rw.from && at < rw.to {
			return rw.factor
		}
	}
	return 1
}

// drawLogUniform draws from a range with a log-uniform distribution.
func (w *workload) drawLogUniform(r [2]int) int {
	if r[1] <= r[0] {
		return r[0]
	}
	lo, hi := math.Log(float64(r[0])), math.Log(float64(r[1]))
	return int(math.Exp(lo + w.random.Float64()*(hi-lo)))
}

// drawRequest draws a request of a kind, without its ID and the prefix blocks that depend on the ID.
func (w *workload) drawRequest(k *requestKind, n int, at time.Duration) Request {
	organisation := w.drawOrganisation()
	subject := w.drawSubject(k.subjectCount)
	sharedTokens := sharedPrefixTokens(k, subject)
	ownTokens, outputTokens := w.drawLogUniform(k.ownTokens), w.drawLogUniform(k.outputTokens)
	r := Request{
		Arrival: at, Organisation: w.organisations[organisation], Rank: k.rank, Model: k.model, Interactive: k.interactive,
		PromptTokens: sharedTokens + ownTokens, OutputTokens: outputTokens, MaxTokens: int(float64(outputTokens) * (1 + w.random.Float64())),
		Deadline: k.deadline, Fingerprint: wigeonshift.Fingerprint(w.random.Uint64() | 1),
	}
	// Prefix starts with the shared blocks. addOwnBlocks adds the others when the request has its ID.
	prefixName := fmt.Sprintf("%s/%s/%d/%d/%d", w.product, k.model, k.sharedTokens, organisation, subject)
	if k.subjectCount > 0 {
		prefixName = fmt.Sprintf("%s/%s/schema/%d", w.product, k.model, subject)
	}
	r.Prefix = blockHashes(prefixName, 0, sharedTokens/wigeonshift.PrefixBlockTokens)
	_ = n
	return r
}

// addOwnBlocks adds the hashes of the prompt blocks that the request shares with no other.
func (w *workload) addOwnBlocks(r *Request) {
	blockCount := r.PromptTokens / wigeonshift.PrefixBlockTokens
	r.Prefix = append(r.Prefix, blockHashes(w.product+string(r.ID), len(r.Prefix), blockCount)...)
}

// blockHashes returns the hashes of the blocks [from, to) of the named prompt.
func blockHashes(name string, from, to int) []wigeonshift.BlockHash {
	base := xxhash.Sum64String(name)
	hashes := make([]wigeonshift.BlockHash, 0, max(0, to-from))
	for i := from; i < to; i++ {
		hashes = append(hashes, wigeonshift.BlockHash(base+uint64(i)*0x9e3779b97f4a7c15))
	}
	return hashes
}

// drawOrganisation draws the index of an organisation by weight.
func (w *workload) drawOrganisation() int {
	remainder := w.random.Float64()
	for i, weight := range w.organisationWeights {
		if remainder -= weight; remainder < 0 {
			return i
		}
	}
	return len(w.organisationWeights) - 1
}

// drawSubject draws one of n subjects. Low indexes are drawn more often.
func (w *workload) drawSubject(n int) int {
	if n <= 1 {
		return 0
	}
	return int(float64(n) * math.Pow(w.random.Float64(), 2))
}

// sharedPrefixTokens returns the length of a subject's shared prefix in whole blocks. It is a hash of the subject, so
// that it is the same for all its requests.
func sharedPrefixTokens(k *requestKind, subject int) int {
	spanTokens := k.sharedTokens[1] - k.sharedTokens[0]
	tokens := k.sharedTokens[0]
	if spanTokens > 0 {
		tokens += int(uint64(subject+1) * 2654435761 % uint64(spanTokens))
	}
	return tokens / wigeonshift.PrefixBlockTokens * wigeonshift.PrefixBlockTokens
}
